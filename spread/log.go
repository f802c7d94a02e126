package spread

import (
	"fmt"
	"strconv"
	"strings"
)

// Keys and prefixes of keys in the platform's store.
const (
	// LogPrefix is the prefix of the keys of settings changes; the change's number follows.
	LogPrefix = "settings/log/"
	// SnapshotKey is the key of the whole settings tree as of some change.
	SnapshotKey = "settings/snapshot"
	// MapsPrefix is the prefix of the keys of shard maps; the service's name follows.
	MapsPrefix = "maps/"
)

// snapshotInterval is the number of changes after which a new snapshot is stored.
const snapshotInterval = 32

// LogKey returns the key of change n; keys sort in the order of the numbers.
func LogKey(n uint64) string {
	return fmt.Sprintf("%s%012d", LogPrefix, n)
}

// LogNumber returns the number of the change that a key belongs to, or zero if it is no key of a change.
func LogNumber(key string) uint64 {
	digits, found := strings.CutPrefix(key, LogPrefix)
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
	// maxTailChanges and maxTailBytes limit the changes that a host keeps for other hosts to fetch; both exceed the changes of a day.
	maxTailChanges = 4096
	maxTailBytes   = 16 << 20
)

// loggedChange is a settings change in its encoded form.
type loggedChange struct {
	id  string
	raw []byte
}

// changeTail holds the last applied changes; the newest has number lastNumber.
type changeTail struct {
	changes    []loggedChange
	lastNumber uint64
	// baseID is the id of the change before the first of changes, empty if unknown.
	baseID string
	bytes  int
}

// add appends change n and drops the oldest changes beyond the limits.
func (t *changeTail) add(n uint64, c loggedChange) {
	t.changes = append(t.changes, c)
	t.lastNumber = n
	t.bytes += len(c.raw)
	for len(t.changes) > maxTailChanges || (t.bytes > maxTailBytes && len(t.changes) > 1) {
		t.baseID = t.changes[0].id
		t.bytes -= len(t.changes[0].raw)
		t.changes[0] = loggedChange{}
		t.changes = t.changes[1:]
	}
}

// reset empties the tail after a whole tree at change n was installed.
func (t *changeTail) reset(n uint64, id string) {
	*t = changeTail{lastNumber: n, baseID: id}
}

// id returns the id of change n and whether it is known.
func (t *changeTail) id(n uint64) (string, bool) {
	first := t.lastNumber - uint64(len(t.changes)) + 1
	switch {
	case n+1 == first:
		return t.baseID, t.baseID != ""
	case n < first || n > t.lastNumber:
		return "", false
	default:
		return t.changes[n-first].id, true
	}
}

// after returns the encoded changes that follow change n, up to limit bytes but at least one, and whether there are more.
func (t *changeTail) after(n uint64, limit int) (raw [][]byte, more bool) {
	first := t.lastNumber - uint64(len(t.changes)) + 1
	if n+1 < first || n >= t.lastNumber {
		return nil, false
	}
	for _, c := range t.changes[n+1-first:] {
		if limit -= len(c.raw); limit < 0 && len(raw) > 0 {
			return raw, true
		}
		raw = append(raw, c.raw)
	}
	return raw, false
}
