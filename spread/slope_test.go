package spread

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/board"
	"kingcupcross/emul"
	"kingcupcross/timer"
	"kingcupcross/tree"
	"kingcupcross/wire"
)

// treeOfSize returns a settings tree of about size bytes and a change that follows it.
func treeOfSize(size int) (*tree.Tree, tree.Change) {
	c := tree.Change{N: 1, ID: "first", Author: "op", Reason: "size"}
	const bytesPerService = 100
	for i := range max(1, size/bytesPerService) {
		path := tree.Join("org", fmt.Sprintf("r%d", i%2), fmt.Sprintf("service-%05d", i))
		c.Ops = append(c.Ops,
			tree.Op{Path: path, Key: "deadline", After: json.RawMessage(`"900ms"`)},
			tree.Op{Path: path, Key: "queue", After: json.RawMessage("32")},
			tree.Op{Path: path, Key: "coverage", After: json.RawMessage("0.9")})
	}
	t, err := tree.Empty().Apply(c)
	if err != nil {
		panic(err)
	}
	return t, tree.Change{N: 2, ID: "second", Prev: "first", Author: "op", Reason: "one key", Ops: []tree.Op{
		{Path: "org", Key: "queue", After: json.RawMessage("7")},
	}}
}

// BenchmarkSlopeApply measures, for several sizes of the settings tree, the time to apply a change of one key and to decode a snapshot.
func BenchmarkSlopeApply(b *testing.B) {
	for _, size := range []int{1 << 10, 10 << 10, 100 << 10, 1000 << 10} {
		t, c := treeOfSize(size)
		raw, err := t.Encode()
		require.NoError(b, err)
		b.Run(fmt.Sprintf("%dKiB", len(raw)>>10), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := t.Apply(c); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("%dKiB/snapshot", len(raw)>>10), func(b *testing.B) {
			for b.Loop() {
				if _, err := tree.Decode(raw); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// TestSlopeStore logs the rate of calls to the store for several numbers of data centres, before, during and after an outage of the store.
// It runs in real time and only if SLOPE is set.
func TestSlopeStore(t *testing.T) {
	if os.Getenv("SLOPE") == "" {
		t.Skip("a measurement: set SLOPE=1")
	}
	const steady, outage = 20 * time.Second, 15 * time.Second
	for _, datacentres := range []int{1, 3, 6} {
		clock := timer.New()
		fleet := newRealTimeFleet(t, clock, datacentres)
		time.Sleep(5 * time.Second)
		before := fleet.store.Calls()
		time.Sleep(steady)
		now := fleet.store.Calls()
		t.Logf("%d data centres, quiet: lists %.2f/s, watches %.2f/s", datacentres,
			float64(now["list"]-before["list"])/steady.Seconds(), float64(now["watch"]-before["watch"])/steady.Seconds())
		fleet.store.SetFaults(emul.StoreFaults{Down: true})
		before = fleet.store.Calls()
		time.Sleep(outage)
		now = fleet.store.Calls()
		t.Logf("%d data centres, down: %.2f calls/s", datacentres, float64(totalCalls(now)-totalCalls(before))/outage.Seconds())
		fleet.store.SetFaults(emul.StoreFaults{})
		maxCalls, before := uint64(0), fleet.store.Calls()
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			now = fleet.store.Calls()
			maxCalls = max(maxCalls, totalCalls(now)-totalCalls(before))
			before = now
		}
		t.Logf("%d data centres, after the outage: at most %d calls in 100 ms", datacentres, maxCalls)
		fleet.stop()
	}
}

// totalCalls returns the sum of the calls of all kinds.
func totalCalls(calls map[string]uint64) (n uint64) {
	for _, c := range calls {
		n += c
	}
	return n
}

// realTimeFleet is a set of hosts that run this package in real time, four in each data centre, with a fixed view of each other.
type realTimeFleet struct {
	store *emul.Store
	stop  func()
}

func newRealTimeFleet(t *testing.T, clock *timer.Clock, datacentres int) *realTimeFleet {
	t.Helper()
	s := emul.NewStore(clock)
	client, closeStore := serveStore(t, clock, s)
	ctx, cancel := context.WithCancel(context.Background())
	members := map[string]wire.Member{}
	for i := range 4 * datacentres {
		m := wire.Member{HostID: wire.HostID{Name: fmt.Sprintf("h%02d", i)}, Datacentre: fmt.Sprint(i % datacentres), State: wire.Alive}
		members[m.Name] = m
	}
	for _, m := range members {
		b := board.New(clock, m)
		b.Membership.Update(func(*board.Membership) *board.Membership { return &board.Membership{Members: members} })
		b.MarkJoined()
		spread := New(clock, b, client, emul.NewNet().Caller(m.Peers), zap.NewNop(), tally.NoopScope)
		go spread.Run(ctx)
	}
	return &realTimeFleet{store: s, stop: func() {
		cancel()
		closeStore()
	}}
}
