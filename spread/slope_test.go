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

// bigTree returns a tree of about size bytes and the next change of it.
func bigTree(size int) (*tree.Tree, tree.Change) {
	c := tree.Change{N: 1, ID: "first", Author: "op", Reason: "size"}
	const perService = 100
	for i := range max(1, size/perService) {
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

// BenchmarkSlopeApply measures a change of one key by the size of the tree.
func BenchmarkSlopeApply(b *testing.B) {
	for _, size := range []int{1 << 10, 10 << 10, 100 << 10, 1000 << 10} {
		t, c := bigTree(size)
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

// TestSlopeStore prints the calls to the store by the number of data centres and around an outage, in real time; it runs only where SLOPE is set.
func TestSlopeStore(t *testing.T) {
	if os.Getenv("SLOPE") == "" {
		t.Skip("a measurement: set SLOPE=1")
	}
	const steady, outage = 20 * time.Second, 15 * time.Second
	for _, datacentres := range []int{1, 3, 6} {
		clock := timer.New()
		rig := newSlopeRig(t, clock, datacentres)
		time.Sleep(5 * time.Second)
		before := rig.store.Calls()
		time.Sleep(steady)
		now := rig.store.Calls()
		t.Logf("%d data centres, quiet: lists %.2f/s, watches %.2f/s", datacentres,
			float64(now["list"]-before["list"])/steady.Seconds(), float64(now["watch"]-before["watch"])/steady.Seconds())
		rig.store.SetFaults(emul.StoreFaults{Down: true})
		before = rig.store.Calls()
		time.Sleep(outage)
		now = rig.store.Calls()
		t.Logf("%d data centres, down: %.2f calls/s", datacentres, float64(total(now)-total(before))/outage.Seconds())
		rig.store.SetFaults(emul.StoreFaults{})
		most, before := uint64(0), rig.store.Calls()
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			now = rig.store.Calls()
			most = max(most, total(now)-total(before))
			before = now
		}
		t.Logf("%d data centres, after the outage: at most %d calls in 100 ms", datacentres, most)
		rig.stop()
	}
}

func total(calls map[string]uint64) (n uint64) {
	for _, c := range calls {
		n += c
	}
	return n
}

// slopeRig is a set of followers in real time, four in each data centre, that know each other.
type slopeRig struct {
	store *emul.Store
	stop  func()
}

func newSlopeRig(t *testing.T, clock *timer.Service, datacentres int) *slopeRig {
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
		b.View.Update(func(*board.View) *board.View { return &board.View{Members: members} })
		b.Join()
		p := New(clock, b, client, emul.NewNet().Caller(m.Peers), zap.NewNop(), tally.NoopScope)
		go p.Run(ctx)
	}
	return &slopeRig{store: s, stop: func() {
		cancel()
		closeStore()
	}}
}
