package relay

import (
	"container/heap"
	"encoding/binary"
	"slices"

	"kingcupcross/pool"
)

// recordSize is the size in bytes of one record in the body of a part or of a merged answer.
const recordSize = 16

const (
	// minPartBytes is the smallest limit on the body of a part. A part holds more records than the merged answer takes from it.
	minPartBytes = 256 << 10
	// partRecordFactor is the number of records allowed in a part per record of the merged answer.
	partRecordFactor = 64
)

// responseBounds returns the limits on the size of a target's response.
func (q *query) responseBounds() pool.Bounds {
	bounds := pool.DefaultBounds
	if q.route.Fanout() {
		bounds.Body = min(bounds.Body, max(minPartBytes, int64(partRecordFactor*q.route.Top*recordSize)))
	}
	return bounds
}

// record is a result record as two big-endian numbers, which compare like its bytes.
type record struct {
	high, low uint64
}

func (r record) less(o record) bool {
	return r.high < o.high || (r.high == o.high && r.low < o.low)
}

// minHeap is a heap.Interface with the smallest record at the root.
type minHeap []record

func (s minHeap) Len() int           { return len(s) }
func (s minHeap) Less(i, j int) bool { return s[i].less(s[j]) }
func (s minHeap) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *minHeap) Push(x any) { *s = append(*s, x.(record)) }

// Pop implements heap.Interface.
func (s *minHeap) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// topRecords returns the top greatest records of all parts in descending order. Trailing bytes that do not form a whole record are ignored.
func topRecords(parts [][]byte, top int) []byte {
	kept := make(minHeap, 0, top)
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
