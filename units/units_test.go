package units

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestUnitsMustBeGiven(t *testing.T) {
	for _, text := range []string{"", "800", "1.5", "2 s", "1 day", "64", "64KB", "1.5MiB", "-1B", "MiB", "9223372036854775807GiB"} {
		var d Duration
		var s Size
		require.Error(t, s.UnmarshalText([]byte(text)), text)
		require.Error(t, d.UnmarshalText([]byte(text)), text)
	}
}

func TestUnitsAreReadAsWritten(t *testing.T) {
	var d Duration
	require.NoError(t, d.UnmarshalText([]byte("1m30s")))
	require.Equal(t, 90*time.Second, d.D())
	require.Equal(t, Duration(1200*time.Millisecond), Duration(1234*time.Millisecond).Rounded())
	for text, size := range map[string]Size{"0B": 0, "1B": 1, "64KiB": 64 * KiB, "1MiB": MiB, "3GiB": 3 * GiB} {
		var s Size
		require.NoError(t, s.UnmarshalText([]byte(text)))
		require.Equal(t, size, s)
		require.Equal(t, text, s.String())
	}
}

func FuzzDuration(f *testing.F) {
	for _, s := range []string{"1s", "150ms", "1m30s", "-5us", "800", "", "1h1h", "9999999h"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		var d, again Duration
		if d.UnmarshalText([]byte(text)) != nil {
			return
		}
		b, err := d.MarshalText()
		require.NoError(t, err)
		require.NoError(t, again.UnmarshalText(b))
		require.Equal(t, d, again)
	})
}

func FuzzSize(f *testing.F) {
	for _, s := range []string{"1B", "64KiB", "1MiB", "4GiB", "549755813887GiB", "64KB", "B", "-1B"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		var s, again Size
		if s.UnmarshalText([]byte(text)) != nil {
			return
		}
		require.GreaterOrEqual(t, s, Size(0))
		b, err := s.MarshalText()
		require.NoError(t, err)
		require.NoError(t, again.UnmarshalText(b))
		require.Equal(t, s, again)
	})
}
