package relay

import (
	"container/heap"
	"encoding/binary"
	"slices"

	"kingcupcross/pool"
)

// recordSize is the size of a record in bytes.
const recordSize = 16

const (
	// leastPart is the least bound on a part's body: a part holds some records more than the answer takes of it.
	leastPart = 256 << 10
	// partRecords is the number of records of a part, for each one of the answer, from which the bound grows with the answer.
	partRecords = 64
)

// bounds returns the most bytes that are read of a target's answer.
func (q *run) bounds() pool.Bounds {
	bounds := pool.DefaultBounds
	if q.route.Fanout() {
		bounds.Body = min(bounds.Body, max(leastPart, int64(partRecords*q.route.Top*recordSize)))
	}
	return bounds
}

// record is a record as two numbers, which compare as its bytes do.
type record struct {
	high, low uint64
}

func (r record) less(o record) bool {
	return r.high < o.high || (r.high == o.high && r.low < o.low)
}

// smallest is a heap with the smallest record first.
type smallest []record

func (s smallest) Len() int           { return len(s) }
func (s smallest) Less(i, j int) bool { return s[i].less(s[j]) }
func (s smallest) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }

// Push adds a record at the end.
func (s *smallest) Push(x any) { *s = append(*s, x.(record)) }

// Pop removes the last record.
func (s *smallest) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// greatest returns the top greatest records of all parts, the greatest first; what follows the last whole record of a part is left out.
func greatest(parts [][]byte, top int) []byte {
	kept := make(smallest, 0, top)
	for _, p := range parts {
		for ; len(p) >= recordSize; p = p[recordSize:] {
			r := record{high: binary.BigEndian.Uint64(p), low: binary.BigEndian.Uint64(p[8:])}
			switch {
			case len(kept) < top:
				heap.Push(&kept, r)
			case kept[0].less(r):
				kept[0] = r
				heap.Fix(&kept, 0)
			}
		}
	}
	slices.SortFunc(kept, func(a, b record) int {
		if b.less(a) {
			return -1
		}
		return 1
	})
	out := make([]byte, 0, len(kept)*recordSize)
	for _, r := range kept {
		out = binary.BigEndian.AppendUint64(out, r.high)
		out = binary.BigEndian.AppendUint64(out, r.low)
	}
	return out
}
