package follow

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"
	"sync"

	"github.com/rotisserie/eris"

	"kingcupcross/roster"
)

// Packed is a value as it travels between hosts: the same names stand in it many times, so it is compressed.
type Packed []byte

func pack(v any) (Packed, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "set up compression")
	}
	if err := gob.NewEncoder(w).Encode(v); err != nil {
		return nil, eris.Wrap(err, "encode views")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress views")
	}
	return b.Bytes(), nil
}

// maxUnpacked bounds what another host's views may grow to: the entries of 6,400 targets take about a megabyte.
const maxUnpacked = 32 << 20

func (p Packed) unpack(into any) error {
	r := io.LimitReader(flate.NewReader(bytes.NewReader(p)), maxUnpacked)
	return eris.Wrap(gob.NewDecoder(r).Decode(into), "decode views")
}

// packs keeps the last packed form of a part, which many hosts ask for.
type packs struct {
	mu     sync.Mutex
	sum    uint64
	packed Packed
}

// of returns the packed form of a value with a sum.
func (k *packs) of(sum uint64, v any) (Packed, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.packed != nil && k.sum == sum {
		return k.packed, nil
	}
	p, err := pack(v)
	if err != nil {
		return nil, err
	}
	k.sum, k.packed = sum, p
	return p, nil
}

// mostPast is the number of earlier views from which changes are told: a host that asks all the time is one behind, one that was held up a few.
const mostPast = 8

// past keeps the last views.
type past struct {
	mu    sync.Mutex
	views []*roster.View
}

func (h *past) add(v *roster.View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.views = append(h.views, v); len(h.views) > mostPast {
		h.views = h.views[1:]
	}
}

// find returns the view with a sum, or nil.
func (h *past) find(sum uint64) *roster.View {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, v := range h.views {
		if v.Sum == sum {
			return v
		}
	}
	return nil
}
