package units

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Duration is a time.Duration that is written with its unit, such as "150ms".
type Duration time.Duration

// D returns the value as a time.Duration.
func (d Duration) D() time.Duration {
	return time.Duration(d)
}

// String returns the duration with its unit.
func (d Duration) String() string {
	return time.Duration(d).String()
}

// Rounded returns the duration rounded to a tenth of a second, for display.
func (d Duration) Rounded() Duration {
	return Duration(time.Duration(d).Round(100 * time.Millisecond))
}

// MarshalText writes the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText reads a duration with its unit; it fails if the unit is missing or unknown.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is no duration: write a number and a unit, such as \"150ms\" or \"2s\"", b)
	}
	*d = Duration(v)
	return nil
}

// Size is a number of bytes that is written with its unit, such as "64KiB".
type Size int64

// Units of sizes in bytes.
const (
	Byte Size = 1
	KiB       = 1024 * Byte
	MiB       = 1024 * KiB
	GiB       = 1024 * MiB
)

var sizeUnits = []struct {
	name string
	unit Size
}{
	{name: "GiB", unit: GiB},
	{name: "MiB", unit: MiB},
	{name: "KiB", unit: KiB},
	{name: "B", unit: Byte},
}

// String returns the size in the largest unit that divides it.
func (s Size) String() string {
	for _, u := range sizeUnits {
		if s%u.unit == 0 && (s != 0 || u.unit == Byte) {
			return strconv.FormatInt(int64(s/u.unit), 10) + u.name
		}
	}
	return "0B"
}

// MarshalText writes the size with its unit.
func (s Size) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// UnmarshalText reads a whole number with one of the units B, KiB, MiB, GiB.
func (s *Size) UnmarshalText(b []byte) error {
	t := string(b)
	for _, u := range sizeUnits {
		digits, found := strings.CutSuffix(t, u.name)
		if !found {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n < 0 || n > int64(math.MaxInt64/u.unit) {
			break
		}
		*s = Size(n) * u.unit
		return nil
	}
	return fmt.Errorf("%q is no size: write a whole number and a unit, such as \"64KiB\" or \"1MiB\"", b)
}
