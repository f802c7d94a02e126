package order

import (
	"context"
	"encoding/gob"
	"fmt"
	"io"
	"runtime"
	"testing"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/board"
	"kingcupcross/keeper"
	"kingcupcross/shard"
	"kingcupcross/timer"
	"kingcupcross/wire"
)

// slopePayload is the size of an outcome's payload in the slopes.
const slopePayload = 64

// slopeBook returns a book whose orders are answered at once without a target.
func slopeBook(b *testing.B) *Book {
	b.Helper()
	clock := timer.New()
	still, _ := timer.NewManual(clock.Now())
	state := board.New(clock, wire.Member{HostID: wire.HostID{Name: "aarhus-h1", Incarnation: 1}, Datacentre: "a"})
	state.Pulse = board.NewPulse(still)
	state.PutMap(&shard.Map{
		Service: "silo",
		Version: 1,
		Index:   1,
		Targets: []shard.Target{{Name: "t", Datacentre: "a", Slots: 1, Conns: 1}},
		Shards:  [][]int{{0}},
	})
	k := keeper.New(clock, state, zap.NewNop(), tally.NoopScope)
	book := New(clock, state, keeper.NewClient("aarhus-h1", k, nil), nil, nil, zap.NewNop(), tally.NoopScope)
	book.send = func(context.Context, wire.Member, wire.Send) (wire.OrderReply, error) {
		return wire.OrderReply{Target: "t", Payload: make([]byte, slopePayload)}, nil
	}
	return book
}

func fill(book *Book, n int) []wire.Ticket {
	tickets := book.Mint(n)
	for _, t := range tickets {
		if r := book.Run(context.Background(), slopeOrder(t)); r.Fault != nil {
			panic(r.Fault)
		}
	}
	return tickets
}

func slopeOrder(t wire.Ticket) wire.Order {
	return wire.Order{
		Ticket:  t,
		Service: "silo",
		Left:    1e9,
		Attempt: 1,
		Payload: make([]byte, slopePayload),
	}
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

var slopeSizes = []int{1_000, 10_000, 100_000}

// BenchmarkSlopeRecord gives the memory of a record and the processor time of an order beside that many records.
func BenchmarkSlopeRecord(b *testing.B) {
	for _, n := range slopeSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			book := slopeBook(b)
			before := heap()
			fill(book, n)
			after := heap()
			tickets := book.Mint(b.N)
			b.ResetTimer()
			for i := range b.N {
				book.Run(context.Background(), slopeOrder(tickets[i]))
			}
			b.ReportMetric(float64(after-before)/float64(n), "heapB/record")
			b.ReportMetric(float64(book.ledger.kept)/float64(n+b.N), "countedB/record")
		})
	}
}

// BenchmarkSlopeRepeat gives the processor time of a repeat that is answered from the record.
func BenchmarkSlopeRepeat(b *testing.B) {
	for _, n := range slopeSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			book := slopeBook(b)
			tickets := fill(book, n)
			b.ResetTimer()
			for i := range b.N {
				book.Run(context.Background(), slopeOrder(tickets[i%n]))
			}
		})
	}
}

// BenchmarkSlopeHandOver gives the bytes and the processor time by which a record is written down for a successor and read there.
func BenchmarkSlopeHandOver(b *testing.B) {
	for _, n := range slopeSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			book, successor := slopeBook(b), slopeBook(b)
			fill(book, n)
			var bytes int64
			b.ResetTimer()
			for range b.N {
				for _, pages := range book.pages() {
					for _, p := range pages {
						bytes += transfer(b, p, successor)
					}
				}
			}
			b.ReportMetric(float64(bytes)/float64(b.N)/float64(n), "B/record")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/record")
		})
	}
}

// transfer sends a page through the codec of the calls between hosts.
func transfer(b *testing.B, p wire.Adopt, successor *Book) int64 {
	r, w := io.Pipe()
	go func() { w.CloseWithError(gob.NewEncoder(w).Encode(p)) }()
	counted := &counter{r: r}
	var got wire.Adopt
	if err := gob.NewDecoder(counted).Decode(&got); err != nil {
		b.Fatal(err)
	}
	if err := successor.adopt(got); err != nil {
		b.Fatal(err)
	}
	return counted.n
}

type counter struct {
	r io.Reader
	n int64
}

// Read counts what it reads.
func (c *counter) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += int64(n)
	return n, err
}
