package roster

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkSlopeUpdate measures the cost of one target's change by the size of the roster.
func BenchmarkSlopeUpdate(b *testing.B) {
	for _, n := range []int{64, 640, 6400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := Listing{Revision: 1}
			for i := range n {
				p.Targets = append(p.Targets, Target{
					ID:       fmt.Sprintf("i-%08x", i),
					Service:  fmt.Sprint("s", i/3),
					Revision: 1,
				})
			}
			v := Empty().Merge(p, start, time.Time{})
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				t := p.Targets[i%n]
				t.Revision = uint64(i + 2)
				v = v.Update(Update{Changed: []Target{t}, Revision: t.Revision}, start, time.Time{})
			}
		})
	}
}
