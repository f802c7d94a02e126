package order

import (
	"testing"

	"github.com/stretchr/testify/require"

	"kingcupcross/wire"
)

// TestPagesOfLargeRecordsAreSmall guards against a leaving host whose records don't reach its successor because their outcomes are too large for one message.
func TestPagesOfLargeRecordsAreSmall(t *testing.T) {
	records := make([]wire.OrderRecord, 2500)
	for i := range records {
		records[i].Sequence = uint64(i)
		if i < 20 {
			records[i].Reply.Payload = make([]byte, 400<<10)
		}
	}
	next := uint64(0)
	pages := paginate(wire.Adopt{Next: 2500}, records, true)
	for i, p := range pages {
		require.Equal(t, i == len(pages)-1, p.Last)
		require.EqualValues(t, 2500, p.Next)
		require.LessOrEqual(t, len(p.Records), adoptPageSize)
		size := 0
		for _, r := range p.Records {
			require.Equal(t, next, r.Sequence)
			next++
			size += len(r.Reply.Payload)
		}
		require.Less(t, size, 2*adoptPageBytes)
	}
	require.EqualValues(t, 2500, next)
	require.Len(t, paginate(wire.Adopt{}, nil, true), 1)
}
