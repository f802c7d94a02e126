package follow

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"
	"sync"

	"github.com/rotisserie/eris"

	"kingcupcross/epoch"
	"kingcupcross/roster"
)

// Packed is a gob-encoded and compressed value that hosts send to each other. Compression pays because the same names occur in it many times.
type Packed []byte

// pack encodes and compresses a value.
func pack(v any) (Packed, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "set up compression")
	}
	if err := gob.NewEncoder(w).Encode(v); err != nil {
		return nil, eris.Wrap(err, "encode value")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress value")
	}
	return b.Bytes(), nil
}

// maxUnpacked limits the decompressed size of what another host sends: the entries of 6,400 targets take about a megabyte.
const maxUnpacked = 32 << 20

// unpack decompresses and decodes a value.
func (p Packed) unpack(into any) error {
	r := io.LimitReader(flate.NewReader(bytes.NewReader(p)), maxUnpacked)
	return eris.Wrap(gob.NewDecoder(r).Decode(into), "decode value")
}

// packCache caches the last packed value, because many hosts ask for the same one.
//
// The key includes the revision because the packed value contains it: content that returns at a later revision, such as a data centre that is taken out of service again, would otherwise be sent as of the earlier one and dropped by its readers.
type packCache struct {
	mu     sync.Mutex
	at     epoch.Revision
	hash   uint64
	packed Packed
}

// get returns the packed form of v, which shows the state of the store at a revision and whose content has a hash.
func (k *packCache) get(at epoch.Revision, hash uint64, v any) (Packed, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.packed != nil && k.at == at && k.hash == hash {
		return k.packed, nil
	}
	p, err := pack(v)
	if err != nil {
		return nil, err
	}
	k.at, k.hash, k.packed = at, hash, p
	return p, nil
}

// maxViewHistory is the number of views from which changes can be computed for a reading host: a host that reads continuously is one view behind, one that was delayed a few.
const maxViewHistory = 8

// viewHistory keeps the last maxViewHistory views.
type viewHistory struct {
	mu    sync.Mutex
	views []*roster.View
}

// add adds a view and drops the oldest one if there are more than maxViewHistory.
func (h *viewHistory) add(v *roster.View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.views = append(h.views, v); len(h.views) > maxViewHistory {
		h.views = h.views[1:]
	}
}

// find returns the view with the given hash, or nil.
func (h *viewHistory) find(hash uint64) *roster.View {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, v := range h.views {
		if v.Hash == hash {
			return v
		}
	}
	return nil
}
