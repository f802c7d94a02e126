package host

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/apiv1"
	"kingcupcross/board"
	"kingcupcross/conf"
	"kingcupcross/emul"
	"kingcupcross/keeper"
	"kingcupcross/shard"
	"kingcupcross/timer"
	"kingcupcross/tree"
	"kingcupcross/units"
	"kingcupcross/wire"
)

// pair is two hosts of one data centre and a target whose work ends only when release is called.
type pair struct {
	t      *testing.T
	hosts  [2]*Host
	ended  [2]chan error
	target *emul.Target
	work   *timer.ManualClock
	// again repeats the order in flight at host 1.
	again func() reply
	// leaves says that a host has been told to stop.
	leaves atomic.Bool
}

const (
	service = "silo"
	shards  = 4
	slots   = 2
)

func withPair(t *testing.T, change func(*Host), f func(*pair)) {
	t.Helper()
	clock, work := timer.NewManualClock(time.Unix(1000, 0))
	p := &pair{t: t, work: work}
	p.target = emul.NewTarget(clock, emul.TargetSettings{
		Name:     "t",
		Slots:    slots,
		Cold:     slots,
		Median:   units.Duration(time.Second),
		Holdings: []emul.Holding{{Service: service, Map: 1, Shards: []int{0, 1, 2, 3}, Indexes: []uint64{1}}},
	})
	server := httptest.NewServer(p.target.Handler())
	defer server.Close()
	m := &shard.Map{
		Service: service,
		Version: 1,
		Index:   1,
		Targets: []shard.Target{{
			Name:       "t",
			Address:    netip.MustParseAddrPort(server.Listener.Addr().String()),
			Datacentre: "a",
			Slots:      slots,
			Conns:      slots,
		}},
		Shards: [][]int{{0}, {0}, {0}, {0}},
	}
	settings, err := tree.Empty().Apply(tree.Change{
		N:      1,
		ID:     "first",
		Author: "test",
		Reason: "test",
		Ops: []tree.Op{
			{Path: "org", Key: "deadline", After: json.RawMessage(`"30s"`)},
			{Path: "org", Key: "cold", After: json.RawMessage(`2`)},
		},
	})
	require.NoError(t, err)
	ports := freePorts(t, 2*3)
	for i := range p.hosts {
		p.start(i, ports, m, settings, change)
	}
	p.until(func() bool { return p.sees(0, wire.Alive) && p.sees(1, wire.Alive) && (p.keeps(0) || p.keeps(1)) })
	f(p)
	p.release()
	for i, h := range p.hosts {
		h.Stop()
		require.NoError(t, <-p.ended[i])
		p.ended[i] <- nil
	}
}

func (p *pair) start(i int, ports []netip.AddrPort, m *shard.Map, settings *tree.Tree, change func(*Host)) {
	h, err := New(&conf.Host{
		Name:       fmt.Sprintf("h%d", i),
		Region:     "r",
		Datacentre: "a",
		Callers:    ports[3*i],
		Peers:      ports[3*i+1],
		Admin:      ports[3*i+2],
		Platform:   netip.MustParseAddrPort("127.0.0.1:1"),
		Seeds:      []netip.AddrPort{ports[1], ports[4]},
		Grace:      units.Duration(time.Minute),
		Log:        map[string]string{"all": "error"},
	})
	require.NoError(p.t, err)
	h.notice, h.linger = 50*time.Millisecond, 10*time.Millisecond
	change(h)
	h.board.Tree.Update(func(*tree.Tree) *tree.Tree { return settings })
	h.board.PutShardMap(m)
	h.board.Advance(board.Ready)
	p.hosts[i], p.ended[i] = h, make(chan error, 1)
	go func() { p.ended[i] <- h.Run() }()
}

func freePorts(t *testing.T, n int) []netip.AddrPort {
	var all []netip.AddrPort
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		all = append(all, netip.MustParseAddrPort(l.Addr().String()))
	}
	return all
}

// sees reports whether host i knows the other one in a state.
func (p *pair) sees(i int, s wire.HostState) bool {
	return p.hosts[i].board.Membership.Load().Members[p.hosts[1-i].conf.Name].State == s
}

func (p *pair) until(f func() bool) {
	p.t.Helper()
	require.Eventually(p.t, f, 20*time.Second, time.Millisecond)
}

// workStep is how far the target's clock goes at once: far less than a sub-request's time, which begins before its work does.
const workStep = 100 * time.Millisecond

// release lets the target's work end, also that which begins later.
func (p *pair) release() {
	go func() {
		for range 2000 {
			p.work.Advance(workStep)
			time.Sleep(time.Millisecond)
		}
	}()
}

// reply is what a caller got; err is set where the answer was cut off.
type reply struct {
	status int
	body   []byte
	err    error
}

func (p *pair) post(host int, path string, in any) reply {
	body, err := json.Marshal(in)
	require.NoError(p.t, err)
	return exchange(p.hosts[host].conf.Callers, path, bytes.NewReader(body))
}

func exchange(a netip.AddrPort, path string, body io.Reader) reply {
	resp, err := http.Post("http://"+a.String()+path, "application/json", body)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, body: b, err: err}
}

// persist sends a query again for as long as its answer says that the keeper has changed before the query came there, until a host leaves.
func (p *pair) persist(host int) reply {
	for {
		r := p.post(host, apiv1.PathQuery, apiv1.Query{Service: service, Class: "routine"})
		if r.err != nil || p.leaves.Load() || !bytes.Contains(r.body, []byte("moved")) {
			return r
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// keeper returns the host that keeps the target, the other one being a caller's way to it.
func (p *pair) keeper() int {
	if p.keeps(0) {
		return 0
	}
	return 1
}

// keeps reports whether host i has taken the target.
func (p *pair) keeps(i int) bool {
	return slices.ContainsFunc(p.hosts[i].keeper.TargetStatuses(), func(k keeper.TargetStatus) bool { return k.Hold == "held" })
}

// busy waits until the target works on n requests.
func (p *pair) busy(n int) {
	p.until(func() bool { return p.work.PendingCalls() >= n })
}

// leaveCase has work in flight when host 0, or the keeper, gets the signal.
type leaveCase struct {
	name string
	// begin starts the work and returns when it is in flight, with the host that is to leave and a function that lets it end.
	begin func(p *pair, replies chan<- reply) (leaving int, finish func())
	count int
}

func queries(n int, at func(*pair) int) func(*pair, chan<- reply) (int, func()) {
	return func(p *pair, replies chan<- reply) (int, func()) {
		// A first query of its own shows who keeps the target.
		first := make(chan reply, 1)
		go func() { first <- p.post(0, apiv1.PathQuery, apiv1.Query{Service: service, Class: "routine"}) }()
		for len(first) == 0 {
			p.work.Advance(workStep)
			time.Sleep(time.Millisecond)
		}
		require.Equal(p.t, http.StatusOK, (<-first).status)
		for range n {
			go func() { replies <- p.persist(at(p)) }()
		}
		p.busy(min(n, slots))
		return p.keeper(), p.release
	}
}

func orderInFlight(p *pair, replies chan<- reply) (int, func()) {
	var m apiv1.TicketsResponse
	require.NoError(p.t, json.Unmarshal(p.post(0, apiv1.PathTickets, apiv1.TicketsRequest{Count: 1}).body, &m))
	o := apiv1.Order{
		Service: service,
		Payload: []byte("one load"),
		Ticket:  m.Tickets[0],
		Attempt: 1,
		Class:   "routine",
	}
	go func() { replies <- p.post(0, apiv1.PathOrder, o) }()
	p.busy(1)
	p.again = func() reply { return p.post(1, apiv1.PathOrder, o) }
	return 0, p.release
}

func slowUpload(p *pair, replies chan<- reply) (int, func()) {
	p.release()
	body, err := json.Marshal(apiv1.Query{Service: service, Class: "routine"})
	require.NoError(p.t, err)
	r, w := io.Pipe()
	go func() { replies <- exchange(p.hosts[0].conf.Callers, apiv1.PathQuery, r) }()
	_, err = w.Write(body[:5])
	require.NoError(p.t, err)
	p.until(func() bool { return p.hosts[0].entry.Open() == 1 })
	return 0, func() {
		w.Write(body[5:])
		w.Close()
	}
}

var leaveCases = []leaveCase{
	{name: "long query at the leaving host", begin: queries(1, (*pair).keeper), count: 1},
	{name: "long query of another host at the leaving keeper", begin: queries(1, func(p *pair) int { return 1 - p.keeper() }), count: 1},
	{name: "keeper with a full queue", begin: queries(12, func(p *pair) int { return 1 - p.keeper() }), count: 12},
	{name: "order", begin: orderInFlight, count: 1},
	{name: "slow upload", begin: slowUpload, count: 1},
}

// cut reports whether a reply is an error, a refusal or not the whole answer.
func (r reply) cut() bool {
	var a apiv1.Answer
	return r.err != nil || r.status != http.StatusOK || json.Unmarshal(r.body, &a) != nil || a.Answered < a.Shards
}

func TestGracefulStopCutsOffNothing(t *testing.T) {
	withoutDrain := func(h *Host) {
		h.drain = func(context.Context) {}
		h.handOver = func(context.Context) error { return nil }
		h.shutdown = func(context.Context, func(context.Context) error) error { return nil }
	}
	for _, c := range leaveCases {
		t.Run(c.name, func(t *testing.T) {
			withPair(t, withoutDrain, func(p *pair) {
				cut := slices.ContainsFunc(p.leaveDuring(c, true), reply.cut)
				require.True(t, cut || p.resent(c.count), "without the waiting a request must be cut off")
			})
			withPair(t, func(*Host) {}, func(p *pair) {
				p.awaitNews()
				for _, r := range p.leaveDuring(c, false) {
					require.False(t, r.cut(), "%v %s", r.err, r.body)
				}
			})
		})
	}
}

// resent reports whether the target got more than the first query and the n in flight: a query whose keeper ended is sent again through the next keeper.
func (p *pair) resent(n int) bool {
	return p.target.Stats().Served > n+1
}

// awaitNews makes the notice last until the other host knows of the leaving, as its length is chosen to.
func (p *pair) awaitNews() {
	for i, h := range p.hosts {
		h.drain = func(ctx context.Context) {
			p.until(func() bool { return p.sees(1-i, wire.Leaving) || len(p.ended[1-i]) > 0 })
			h.finish(ctx)
		}
	}
}

// leaveDuring signals the leaving host twice, lets the work end once new work is refused there, or the host has ended, and returns the callers' replies.
func (p *pair) leaveDuring(c leaveCase, ended bool) []reply {
	replies := make(chan reply, c.count)
	leaving, finish := c.begin(p, replies)
	h := p.hosts[leaving]
	p.leaves.Store(true)
	h.Stop()
	h.Stop()
	p.until(func() bool { return h.board.Phase() == board.Closed })
	if ended {
		p.until(func() bool { return len(p.ended[leaving]) == 1 })
	}
	finish()
	var all []reply
	for range c.count {
		all = append(all, <-replies)
	}
	return all
}

func TestSuccessorTellsTheOutcomeAfterTheStop(t *testing.T) {
	withPair(t, func(*Host) {}, func(p *pair) {
		first := p.leaveDuring(leaveCase{begin: orderInFlight, count: 1}, false)[0]
		p.until(func() bool { return len(p.ended[0]) == 1 })
		again := p.again()
		require.Equal(t, http.StatusOK, again.status, string(again.body))
		var a, b apiv1.Outcome
		require.NoError(t, json.Unmarshal(first.body, &a))
		require.NoError(t, json.Unmarshal(again.body, &b))
		require.Equal(t, a.Payload, b.Payload)
		for id, n := range p.target.Stats().Runs {
			require.Equal(t, 1, n, id)
		}
	})
}

func TestLeavingTurnsTheBalancerAwayBeforeItRefuses(t *testing.T) {
	withPair(t, func(*Host) {}, func(p *pair) {
		p.release()
		h := p.hosts[0]
		h.board.Advance(board.Leaving)
		resp, err := http.Get("http://" + h.conf.Callers.String() + apiv1.PathReady)
		require.NoError(t, err)
		resp.Body.Close()
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.Equal(t, http.StatusOK, p.post(0, apiv1.PathQuery, apiv1.Query{Service: service, Class: "routine"}).status)
		h.board.Advance(board.Closed)
		r := p.post(0, apiv1.PathQuery, apiv1.Query{Service: service, Class: "routine"})
		var f apiv1.Failure
		require.NoError(t, json.Unmarshal(r.body, &f))
		require.Equal(t, "leaving", f.Kind)
		require.True(t, f.NotRun)
		require.Positive(t, f.Retry)
	})
}

func TestSecondSignalDoesNotHasten(t *testing.T) {
	withPair(t, func(*Host) {}, func(p *pair) {
		replies := make(chan reply, 1)
		leaving, finish := queries(1, (*pair).keeper)(p, replies)
		h := p.hosts[leaving]
		for range 2 {
			require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
			p.until(func() bool { return h.board.Phase() >= board.Leaving })
		}
		p.until(func() bool { return h.board.Phase() == board.Closed })
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGINT))
		finish()
		r := <-replies
		require.NoError(t, r.err)
		require.Equal(t, http.StatusOK, r.status)
	})
}

func TestServerFailureEndsTheHost(t *testing.T) {
	withPair(t, func(*Host) {}, func(p *pair) {
		h, err := New(p.hosts[0].conf)
		require.NoError(t, err)
		require.Error(t, h.Run(), "the addresses are taken")
		require.False(t, errors.Is(err, http.ErrServerClosed))
	})
}
