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

// benchmarkPayloadSize is the payload size of orders and outcomes in the benchmarks.
const benchmarkPayloadSize = 64

// newBenchmarkBook returns a book whose orders get a reply at once, without a target.
func newBenchmarkBook(b *testing.B) *Book {
	b.Helper()
	clock := timer.New()
	detectorClock, _ := timer.NewManualClock(clock.Now())
	hostBoard := board.New(clock, wire.Member{HostID: wire.HostID{Name: "aarhus-h1", Incarnation: 1}, Datacentre: "a"})
	hostBoard.PauseDetector = board.NewPauseDetector(detectorClock)
	hostBoard.PutShardMap(&shard.Map{
		Service: "silo",
		Version: 1,
		Index:   1,
		Targets: []shard.Target{{Name: "t", Datacentre: "a", Slots: 1, Conns: 1}},
		Shards:  [][]int{{0}},
	})
	k := keeper.New(clock, hostBoard, zap.NewNop(), tally.NoopScope)
	book := New(clock, hostBoard, keeper.NewClient("aarhus-h1", k, nil), nil, nil, zap.NewNop(), tally.NoopScope)
	book.send = func(context.Context, wire.Member, wire.Send) (wire.OrderReply, error) {
		return wire.OrderReply{Target: "t", Payload: make([]byte, benchmarkPayloadSize)}, nil
	}
	return book
}

// runOrders runs n orders and returns their tickets.
func runOrders(book *Book, n int) []wire.Ticket {
	tickets := book.IssueTickets(n)
	for _, t := range tickets {
		if r := book.Run(context.Background(), newBenchmarkOrder(t)); r.Fault != nil {
			panic(r.Fault)
		}
	}
	return tickets
}

func newBenchmarkOrder(t wire.Ticket) wire.Order {
	return wire.Order{
		Ticket:  t,
		Service: "silo",
		Left:    1e9,
		Attempt: 1,
		Payload: make([]byte, benchmarkPayloadSize),
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// recordCounts are the numbers of records at which the benchmarks measure.
var recordCounts = []int{1_000, 10_000, 100_000}

// BenchmarkSlopeRecord measures the memory per record and the CPU time of an order in a book that holds many records.
func BenchmarkSlopeRecord(b *testing.B) {
	for _, n := range recordCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			book := newBenchmarkBook(b)
			before := heapBytes()
			runOrders(book, n)
			after := heapBytes()
			tickets := book.IssueTickets(b.N)
			b.ResetTimer()
			for i := range b.N {
				book.Run(context.Background(), newBenchmarkOrder(tickets[i]))
			}
			b.ReportMetric(float64(after-before)/float64(n), "heapB/record")
			b.ReportMetric(float64(book.ledger.recordBytes)/float64(n+b.N), "countedB/record")
		})
	}
}

// BenchmarkSlopeRepeat measures the CPU time of a repeat that is answered from its record.
func BenchmarkSlopeRepeat(b *testing.B) {
	for _, n := range recordCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			book := newBenchmarkBook(b)
			tickets := runOrders(book, n)
			b.ResetTimer()
			for i := range b.N {
				book.Run(context.Background(), newBenchmarkOrder(tickets[i%n]))
			}
		})
	}
}

// BenchmarkSlopeHandOver measures the bytes and the CPU time per record of a hand-over: export, encoding, decoding and adoption.
func BenchmarkSlopeHandOver(b *testing.B) {
	for _, n := range recordCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			book, successor := newBenchmarkBook(b), newBenchmarkBook(b)
			runOrders(book, n)
			var bytes int64
			b.ResetTimer()
			for range b.N {
				for _, pages := range book.exportPages() {
					for _, p := range pages {
						bytes += sendPage(b, p, successor)
					}
				}
			}
			b.ReportMetric(float64(bytes)/float64(b.N)/float64(n), "B/record")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/record")
		})
	}
}

// sendPage encodes a page with gob, as net/rpc does, lets the successor adopt the decoded page and returns the encoded size.
func sendPage(b *testing.B, p wire.Adopt, successor *Book) int64 {
	r, w := io.Pipe()
	go func() { w.CloseWithError(gob.NewEncoder(w).Encode(p)) }()
	counting := &countingReader{r: r}
	var decoded wire.Adopt
	if err := gob.NewDecoder(counting).Decode(&decoded); err != nil {
		b.Fatal(err)
	}
	if err := successor.adopt(decoded); err != nil {
		b.Fatal(err)
	}
	return counting.n
}

// countingReader counts the bytes read through it.
type countingReader struct {
	r io.Reader
	n int64
}

// Read reads from the wrapped reader and adds to the count.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += int64(n)
	return n, err
}
