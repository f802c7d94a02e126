package keeper

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/board"
	"kingcupcross/emul"
	"kingcupcross/shard"
	"kingcupcross/target"
	"kingcupcross/timer"
	"kingcupcross/wire"
)

var startTime = time.Unix(1_000_000, 0)

// host is one host of a cluster.
type host struct {
	board  *board.State
	keeper *Keeper
	// paused stops the host's clocks and its answers. killed means that its process has ended.
	paused bool
	killed bool
}

// request is a request in flight at the target.
type request struct {
	host   *host
	permit *permit
}

// cluster simulates the hosts of a data centre and one target on a manual clock. Hosts call each other directly.
type cluster struct {
	t        *testing.T
	clock    *timer.Clock
	manual   *timer.ManualClock
	hosts    map[string]*host
	target   *emul.Target
	requests []*request
	// guardDisabled is set while a guard is disabled, so that two keepers are possible.
	guardDisabled bool
	// callLost reports whether calls between two hosts get lost, and replyLost whether only the reply does.
	callLost  func(from, to string) bool
	replyLost func(from, to string) bool
}

const (
	targetSlots = 3
	stepTime    = 50 * time.Millisecond
)

// errNoReply is the error of a lost call.
var errNoReply = errors.New("no answer")

// withHost runs f with a host that knows no other host.
func withHost(self wire.Member, f func(*host)) {
	clock, _ := timer.NewManualClock(startTime)
	f(newHost(clock, self))
}

// newHost returns a host that runs spawned functions synchronously.
func newHost(clock *timer.Clock, self wire.Member) *host {
	b := board.New(clock, self)
	b.MarkJoined()
	k := New(clock, b, zap.NewNop(), tally.NoopScope)
	k.spawn = func(f func()) { f() }
	return &host{board: b, keeper: k}
}

// withCluster runs f with n settled hosts of one data centre and the target warm at its keeper. disableGuard may disable a guard of each host; nil leaves all enabled.
func withCluster(t *testing.T, n int, disableGuard func(*guards), f func(*cluster)) {
	t.Helper()
	clock, manual := timer.NewManualClock(startTime)
	b := &cluster{
		t:      t,
		clock:  clock,
		manual: manual,
		hosts:  map[string]*host{},
		target: emul.NewTarget(clock, emul.TargetSettings{
			Name:   "t1",
			Slots:  targetSlots,
			Cold:   1,
			Warmup: 5,
		}),
		callLost:  func(string, string) bool { return false },
		replyLost: func(string, string) bool { return false },
	}
	view := &board.Membership{Members: map[string]wire.Member{}}
	for i := range n {
		m := wire.Member{
			HostID:     wire.HostID{Name: fmt.Sprintf("h%d", i), Incarnation: 1},
			Datacentre: "d1",
			State:      wire.Alive,
		}
		view.Members[m.Name] = m
		b.hosts[m.Name] = b.addHost(m)
	}
	for _, h := range b.hosts {
		h.board.Membership.Update(func(*board.Membership) *board.Membership { return view })
		if disableGuard != nil {
			disableGuard(&h.keeper.guards)
		}
	}
	b.run(settleTime + maxRequestTime + time.Second)
	b.warmUp()
	f(b)
}

// addHost returns a host that knows the target and whose calls go through the cluster.
func (b *cluster) addHost(m wire.Member) *host {
	h := newHost(b.clock, m)
	h.board.ShardMaps.Update(func(*board.ShardMaps) *board.ShardMaps {
		return &board.ShardMaps{"s1": &shard.Map{
			Service: "s1",
			Version: 1,
			Index:   1,
			Targets: []shard.Target{{
				Name:       "t1",
				Address:    netip.MustParseAddrPort("127.0.0.1:1"),
				Datacentre: "d1",
				Slots:      targetSlots,
				Conns:      25,
			}},
			Shards: [][]int{{0}},
		}}
	})
	h.keeper.callYield = func(_ context.Context, to wire.Member, q wire.Yield) (wire.YieldReply, error) {
		return b.call(m.Name, to, q)
	}
	h.keeper.sendSignal = func(_ context.Context, to wire.Member, s wire.LeavingSignal) error {
		if o := b.hosts[to.Name]; !o.paused && !o.killed && !b.callLost(m.Name, to.Name) {
			o.keeper.HandleLeavingSignal(s)
		}
		return nil
	}
	return h
}

// call delivers a Yield call from one host to another, unless the callee is down or the call or its reply gets lost.
func (b *cluster) call(from string, to wire.Member, q wire.Yield) (wire.YieldReply, error) {
	o := b.hosts[to.Name]
	switch {
	case o.killed:
		return wire.YieldReply{}, syscall.ECONNREFUSED
	case o.paused || b.callLost(from, to.Name):
		return wire.YieldReply{}, errNoReply
	}
	reply := o.keeper.Yield(q)
	if b.replyLost(to.Name, from) {
		return wire.YieldReply{}, errNoReply
	}
	return reply, nil
}

// run advances the clock. Hosts that are neither paused nor killed reconcile at each step, and the target ends requests at their deadlines.
func (b *cluster) run(d time.Duration) {
	for end := b.clock.Now().Add(d); b.clock.Now().Before(end); {
		b.manual.Advance(stepTime)
		b.expireRequests()
		for _, h := range b.hosts {
			if !h.paused && !h.killed {
				h.board.PauseDetector.Heartbeat()
				h.keeper.reconcile(context.Background())
			}
		}
	}
}

// expireRequests ends the requests whose deadlines have passed. A host that is neither paused nor killed sees a timeout.
func (b *cluster) expireRequests() {
	var running []*request
	for _, r := range b.requests {
		if b.clock.Now().Before(r.permit.deadline) {
			running = append(running, r)
			continue
		}
		b.target.ReleaseSlot()
		if !r.host.paused && !r.host.killed {
			r.permit.done(target.State{}, context.DeadlineExceeded)
		}
	}
	b.requests = running
}

// setHostState changes a host's state in the views of the hosts named last.
func (b *cluster) setHostState(name string, s wire.HostState, proof bool, viewers ...string) {
	for _, o := range viewers {
		b.hosts[o].board.Membership.Update(func(v *board.Membership) *board.Membership {
			next := &board.Membership{Members: map[string]wire.Member{}}
			for n, m := range v.Members {
				if n == name {
					m.State, m.Proof = s, proof
				}
				next.Members[n] = m
			}
			return next
		})
	}
}

// send tries to send a request from a host without waiting for a slot.
func (b *cluster) send(h *host) (*request, error) {
	g, f := h.keeper.gateFor("s1", "t1")
	if f != nil {
		return nil, f
	}
	// With a cancelled context, acquire fails instead of waiting.
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	p, err := g.acquire(cancelled, wire.Routine, b.clock.Now().Add(maxRequestTime))
	if err != nil {
		return nil, err
	}
	if refusal := b.target.AcquireSlot(); refusal != nil {
		p.done(refusal.State, refusal)
		return nil, refusal
	}
	r := &request{host: h, permit: p}
	b.requests = append(b.requests, r)
	return r, nil
}

// flood sends as many requests as the host admits, leaves them in flight, and returns their number.
func (b *cluster) flood(h *host) int {
	n := 0
	for range 4 * targetSlots {
		if _, err := b.send(h); err == nil {
			n++
		}
	}
	return n
}

// finish ends a request with a reply from the target.
func (b *cluster) finish(finished *request) {
	for i, r := range b.requests {
		if r == finished {
			b.requests = append(b.requests[:i], b.requests[i+1:]...)
			break
		}
	}
	finished.permit.done(b.target.ReleaseSlot(), nil)
}

// serve repeatedly answers all requests in flight and floods from the given hosts again, for d.
func (b *cluster) serve(d time.Duration, from ...*host) {
	for end := b.clock.Now().Add(d); b.clock.Now().Before(end); {
		for len(b.requests) > 0 {
			b.finish(b.requests[0])
		}
		for _, h := range from {
			b.flood(h)
		}
		b.run(stepTime)
	}
}

// warmUp sends requests through the keeper until the target is warm there.
func (b *cluster) warmUp() {
	_, k := b.keeper()
	for range 20 {
		if r, err := b.send(k); err == nil {
			b.run(stepTime)
			b.finish(r)
		}
	}
}

// keeper returns the host that holds the target. There must be exactly one, unless a guard is disabled.
func (b *cluster) keeper() (string, *host) {
	b.t.Helper()
	var name string
	for n, h := range b.hosts {
		if h.killed || h.paused {
			continue
		}
		if g := (*h.keeper.gates.Load())["t1"]; g != nil && g.ownership == held {
			require.True(b.t, name == "" || b.guardDisabled, "two keepers")
			name = n
		}
	}
	require.NotEmpty(b.t, name, "no keeper")
	return name, b.hosts[name]
}

// expectedSuccessor returns the host that keeps the target once the host gone has left, and the remaining host.
func (b *cluster) expectedSuccessor(gone string) (successor, third string) {
	h := b.hosts[gone]
	v := &board.Membership{Members: map[string]wire.Member{}}
	for n, m := range h.board.Membership.Load().Members {
		if n != gone {
			v.Members[n] = m
		}
	}
	m, found := newTable(nil, v, h.board.ShardMaps.Load()).Keeper("t1")
	require.True(b.t, found)
	for n := range b.hosts {
		if n != gone && n != m.Name {
			third = n
		}
	}
	return m.Name, third
}
