package spread

import (
	"fmt"
	"strconv"
	"strings"
)

// Keys and prefixes of keys in the platform's store.
const (
	// Log holds the settings changes, each under its number.
	Log = "settings/log/"
	// Snapshot holds the whole tree at some change.
	Snapshot = "settings/snapshot"
	// Maps holds the shard maps, each under its service.
	Maps = "maps/"
)

// snapshotEvery is the number of changes between two snapshots in the store.
const snapshotEvery = 32

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

const (
	// keepChanges and keepBytes bound the changes that a host keeps for others: more than a day's.
	keepChanges = 4096
	keepBytes   = 16 << 20
)

// record is one change as it stands in the log.
type record struct {
	id  string
	raw []byte
}

// tail holds the last changes in force, the newest of which has number last.
type tail struct {
	records []record
	last    uint64
	// base is the id of the change before the first record.
	base string
	size int
}

func (t *tail) add(n uint64, r record) {
	t.records = append(t.records, r)
	t.last = n
	t.size += len(r.raw)
	for len(t.records) > keepChanges || (t.size > keepBytes && len(t.records) > 1) {
		t.base = t.records[0].id
		t.size -= len(t.records[0].raw)
		t.records[0] = record{}
		t.records = t.records[1:]
	}
}

// reset starts anew after a whole tree was put in force.
func (t *tail) reset(n uint64, id string) {
	*t = tail{last: n, base: id}
}

// id returns the id of change n, where it is known.
func (t *tail) id(n uint64) (string, bool) {
	first := t.last - uint64(len(t.records)) + 1
	switch {
	case n+1 == first:
		return t.base, t.base != ""
	case n < first || n > t.last:
		return "", false
	default:
		return t.records[n-first].id, true
	}
}

// after returns the changes that follow change n, as far as they fit into limit bytes, and whether there are more.
func (t *tail) after(n uint64, limit int) (raw [][]byte, more bool) {
	first := t.last - uint64(len(t.records)) + 1
	if n+1 < first || n >= t.last {
		return nil, false
	}
	for _, r := range t.records[n+1-first:] {
		if limit -= len(r.raw); limit < 0 && len(raw) > 0 {
			return raw, true
		}
		raw = append(raw, r.raw)
	}
	return raw, false
}
