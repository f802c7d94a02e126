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

var start = time.Unix(1_000_000, 0)

// host is one host of a bench.
type host struct {
	board  *board.Board
	keeper *Keeper
	// paused stops its clocks and its answers, and killed ends its process.
	paused bool
	killed bool
}

// flight is a request that a target works on.
type flight struct {
	host *host
	pass *pass
}

// bench is a data centre of hosts with one target, on a manual clock; calls between hosts are direct.
type bench struct {
	t       *testing.T
	clock   *timer.Service
	manual  *timer.Manual
	hosts   map[string]*host
	target  *emul.Target
	flights []*flight
	// unguarded says that a guard is off, so that there may be two keepers.
	unguarded bool
	// cut says whether calls between two hosts get lost, and drop whether an answer does.
	cut  func(from, to string) bool
	drop func(from, to string) bool
}

const (
	benchSlots = 3
	benchStep  = 50 * time.Millisecond
)

var errLost = errors.New("no answer")

// withHost runs f with one host that knows no other.
func withHost(self wire.Member, f func(*host)) {
	clock, _ := timer.NewManual(start)
	f(newHost(clock, self))
}

func newHost(clock *timer.Service, self wire.Member) *host {
	b := board.New(clock, self)
	b.Join()
	k := New(clock, b, zap.NewNop(), tally.NoopScope)
	k.spawn = func(f func()) { f() }
	return &host{board: b, keeper: k}
}

// withBench runs f with n hosts in one data centre that have settled, and the target warm at its keeper.
func withBench(t *testing.T, n int, guard func(*policy), f func(*bench)) {
	t.Helper()
	clock, manual := timer.NewManual(start)
	b := &bench{
		t:      t,
		clock:  clock,
		manual: manual,
		hosts:  map[string]*host{},
		target: emul.NewTarget(clock, emul.TargetSettings{
			Name:   "t1",
			Slots:  benchSlots,
			Cold:   1,
			Warmup: 5,
		}),
		cut:  func(string, string) bool { return false },
		drop: func(string, string) bool { return false },
	}
	view := &board.View{Members: map[string]wire.Member{}}
	for i := range n {
		m := wire.Member{
			HostID:     wire.HostID{Name: fmt.Sprintf("h%d", i), Incarnation: 1},
			Datacentre: "d1",
			State:      wire.Alive,
		}
		view.Members[m.Name] = m
		b.hosts[m.Name] = b.add(m)
	}
	for _, h := range b.hosts {
		h.board.View.Update(func(*board.View) *board.View { return view })
		if guard != nil {
			guard(&h.keeper.policy)
		}
	}
	b.run(settleTime + flightLimit + time.Second)
	b.warm()
	f(b)
}

func (b *bench) add(m wire.Member) *host {
	h := newHost(b.clock, m)
	h.board.Maps.Update(func(*board.Maps) *board.Maps {
		return &board.Maps{"s1": &shard.Map{
			Service: "s1",
			Version: 1,
			Index:   1,
			Targets: []shard.Target{{
				Name:       "t1",
				Address:    netip.MustParseAddrPort("127.0.0.1:1"),
				Datacentre: "d1",
				Slots:      benchSlots,
				Conns:      25,
			}},
			Shards: [][]int{{0}},
		}}
	})
	h.keeper.call = func(_ context.Context, to wire.Member, q wire.Yield) (wire.YieldReply, error) {
		return b.call(m.Name, to, q)
	}
	h.keeper.tell = func(_ context.Context, to wire.Member, s wire.LeavingSignal) error {
		if o := b.hosts[to.Name]; !o.paused && !o.killed && !b.cut(m.Name, to.Name) {
			o.keeper.Sign(s)
		}
		return nil
	}
	return h
}

func (b *bench) call(from string, to wire.Member, q wire.Yield) (wire.YieldReply, error) {
	o := b.hosts[to.Name]
	switch {
	case o.killed:
		return wire.YieldReply{}, syscall.ECONNREFUSED
	case o.paused || b.cut(from, to.Name):
		return wire.YieldReply{}, errLost
	}
	reply := o.keeper.Yield(q)
	if b.drop(to.Name, from) {
		return wire.YieldReply{}, errLost
	}
	return reply, nil
}

// run lets the time pass for all hosts that are neither paused nor killed; the target ends requests at their deadlines.
func (b *bench) run(d time.Duration) {
	for end := b.clock.Now().Add(d); b.clock.Now().Before(end); {
		b.manual.Advance(benchStep)
		b.expire()
		for _, h := range b.hosts {
			if !h.paused && !h.killed {
				h.board.Pulse.Beat()
				h.keeper.tend(context.Background())
			}
		}
	}
}

// expire ends the requests whose deadlines have passed; a host that runs hears nothing of them.
func (b *bench) expire() {
	var open []*flight
	for _, f := range b.flights {
		if b.clock.Now().Before(f.pass.deadline) {
			open = append(open, f)
			continue
		}
		b.target.End()
		if !f.host.paused && !f.host.killed {
			f.pass.done(target.State{}, context.DeadlineExceeded)
		}
	}
	b.flights = open
}

// see changes a host's state in the views of some hosts.
func (b *bench) see(name string, s wire.HostState, proof bool, by ...string) {
	for _, o := range by {
		b.hosts[o].board.View.Update(func(v *board.View) *board.View {
			next := &board.View{Members: map[string]wire.Member{}}
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

// send tries to send one request from a host without waiting and reports whether it left.
func (b *bench) send(h *host) (*flight, error) {
	g, f := h.keeper.gate("s1", "t1")
	if f != nil {
		return nil, f
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	p, err := g.enter(ended, wire.Routine, b.clock.Now().Add(flightLimit))
	if err != nil {
		return nil, err
	}
	if refusal := b.target.Begin(); refusal != nil {
		p.done(refusal.State, refusal)
		return nil, refusal
	}
	l := &flight{host: h, pass: p}
	b.flights = append(b.flights, l)
	return l, nil
}

// flood sends as many requests as a host will, which then stay at the target, and returns their number.
func (b *bench) flood(h *host) int {
	n := 0
	for range 4 * benchSlots {
		if _, err := b.send(h); err == nil {
			n++
		}
	}
	return n
}

// finish ends a request with the target's reply.
func (b *bench) finish(l *flight) {
	for i, f := range b.flights {
		if f == l {
			b.flights = append(b.flights[:i], b.flights[i+1:]...)
			break
		}
	}
	l.pass.done(b.target.End(), nil)
}

// serve ends all requests with replies and floods from all hosts again, for a time.
func (b *bench) serve(d time.Duration, from ...*host) {
	for end := b.clock.Now().Add(d); b.clock.Now().Before(end); {
		for len(b.flights) > 0 {
			b.finish(b.flights[0])
		}
		for _, h := range from {
			b.flood(h)
		}
		b.run(benchStep)
	}
}

// warm serves requests through the keeper until the target is warm there.
func (b *bench) warm() {
	_, k := b.keeper()
	for range 20 {
		if l, err := b.send(k); err == nil {
			b.run(benchStep)
			b.finish(l)
		}
	}
}

// keeper returns the host that has the right to the target, of which there must be one.
func (b *bench) keeper() (string, *host) {
	b.t.Helper()
	var name string
	for n, h := range b.hosts {
		if h.killed || h.paused {
			continue
		}
		if g := (*h.keeper.gates.Load())["t1"]; g != nil && g.hold == held {
			require.True(b.t, name == "" || b.unguarded, "two keepers")
			name = n
		}
	}
	require.NotEmpty(b.t, name, "no keeper")
	return name, b.hosts[name]
}

// successor returns the host that keeps the target once a host is gone, and the third one.
func (b *bench) successor(gone string) (successor, third string) {
	h := b.hosts[gone]
	v := &board.View{Members: map[string]wire.Member{}}
	for n, m := range h.board.View.Load().Members {
		if n != gone {
			v.Members[n] = m
		}
	}
	m, found := newTable(nil, v, h.board.Maps.Load()).Keeper("t1")
	require.True(b.t, found)
	for n := range b.hosts {
		if n != gone && n != m.Name {
			third = n
		}
	}
	return m.Name, third
}
