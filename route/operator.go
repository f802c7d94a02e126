package route

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"kingcupcross/epoch"
)

// OperatorState is the state that the operator sets in the store.
type OperatorState struct {
	// Config is the configuration, nil where none can be read.
	Config *Config
	// Unreadable is the reason why the configuration can't be read, empty where it can.
	Unreadable string
	// Out holds the data centres that are to get no work.
	Out map[string]bool
	// Revision is the store's revision at the time of reading, Epoch the store's epoch.
	Revision uint64
	Epoch    uint64
}

// At returns the state of the store that was read.
func (o *OperatorState) At() epoch.Revision {
	return epoch.Revision{Epoch: o.Epoch, Number: o.Revision}
}

// Hash returns a hash of the configuration's version and the data centres that are out of service.
func (o *OperatorState) Hash() uint64 {
	h := xxhash.New()
	var version uint64
	if o.Config != nil {
		version = o.Config.Version
	}
	names := make([]string, 0, len(o.Out)+1)
	for d, out := range o.Out {
		if out {
			names = append(names, d)
		}
	}
	slices.Sort(names)
	for _, n := range names {
		// Writing to a hash can't fail.
		_, _ = h.WriteString(n + "/")
	}
	return h.Sum64() ^ (version * 0x9e3779b97f4a7c15)
}
