package epoch

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"sync"
)

// Revision identifies a state of the store. A restore from an older copy begins the next epoch, in which the store gives out revision numbers again.
type Revision struct {
	// Epoch is zero where the store states none.
	Epoch  uint64
	Number uint64
}

// Compare returns -1, 0 or 1 if r is earlier than, the same as or later than other.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Epoch, other.Epoch), cmp.Compare(r.Number, other.Number))
}

// Before reports whether r is earlier than other.
func (r Revision) Before(other Revision) bool {
	return r.Compare(other) < 0
}

// String returns the number, preceded by the epoch if there is one.
func (r Revision) String() string {
	if r.Epoch == 0 {
		return strconv.FormatUint(r.Number, 10)
	}
	return fmt.Sprintf("%d/%d", r.Epoch, r.Number)
}

// Parse returns the epoch that a store states. It fails for anything but a positive decimal number.
func Parse(value string) (uint64, error) {
	value = strings.TrimSpace(value)
	e, err := strconv.ParseUint(value, 10, 64)
	if err != nil || e == 0 || value[0] == '+' {
		return 0, fmt.Errorf("epoch %q is not a positive number", value[:min(len(value), maxQuotedBytes)])
	}
	return e, nil
}

// maxQuotedBytes limits how much of an invalid value is quoted.
const maxQuotedBytes = 64

// Tracker holds the newest epoch of the store that this host knows, whether from the store or from another host.
type Tracker struct {
	mu       sync.Mutex
	current  uint64
	onChange []func(old, current uint64)
}

// Current returns the newest known epoch, zero before the first.
func (t *Tracker) Current() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// Subscribe registers a function that is called at each rise of the epoch, including the first one, before any Observe returns for it. The function must not call the Tracker. Subscribe must be called before the first Observe.
func (t *Tracker) Subscribe(f func(old, current uint64)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onChange = append(t.onChange, f)
}

// Observe records an epoch and reports whether it is the newest one known. An older one belongs to a state of the store that no longer holds.
func (t *Tracker) Observe(e uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.current
	if e <= old {
		return e == old
	}
	t.current = e
	// The lock is held, so that no other caller acts on the new epoch before the subscribers have.
	for _, f := range t.onChange {
		f(old, e)
	}
	return true
}
