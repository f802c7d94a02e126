package spread

import (
	"fmt"
	"strconv"
	"strings"
)

// Prefixes of keys in the platform's store.
const (
	// Log holds the settings changes, each under its number.
	Log = "settings/log/"
	// Maps holds the shard maps, each under its service.
	Maps = "maps/"
)

// LogKey returns the key of change n; keys sort in the order of numbers.
func LogKey(n uint64) string {
	return fmt.Sprintf("%s%012d", Log, n)
}

// LogNumber returns the number of the change under a key, or zero.
func LogNumber(key string) uint64 {
	digits, found := strings.CutPrefix(key, Log)
	if !found {
		return 0
	}
	n, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return 0
	}
	return n
}
