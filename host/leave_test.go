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

// hostPair is two hosts of one data centre with one target, whose work ends only after finishWork is called.
type hostPair struct {
	t           *testing.T
	hosts       [2]*Host
	exited      [2]chan error
	target      *emul.Target
	targetClock *timer.ManualClock
	// repeatOrder sends the order of orderInFlight again, to host 1.
	repeatOrder func() callerReply
	// stopping says that a host was told to stop.
	stopping atomic.Bool
}

const (
	service = "silo"
	shards  = 4
	slots   = 2
)

// withHostPair runs f with two hosts that see each other and one of which keeps the target; change adjusts each host before
// it starts.
func withHostPair(t *testing.T, change func(*Host), f func(*hostPair)) {
	t.Helper()
	clock, work := timer.NewManualClock(time.Unix(1000, 0))
	p := &hostPair{t: t, targetClock: work}
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
		p.startHost(i, ports, m, settings, change)
	}
	p.eventually(func() bool {
		return p.seesState(0, wire.Alive) && p.seesState(1, wire.Alive) && (p.isKeeper(0) || p.isKeeper(1))
	})
	f(p)
	p.finishWork()
	for i, h := range p.hosts {
		h.Stop()
		require.NoError(t, <-p.exited[i])
		p.exited[i] <- nil
	}
}

func (p *hostPair) startHost(i int, ports []netip.AddrPort, m *shard.Map, settings *tree.Tree, change func(*Host)) {
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
	h.noticePeriod, h.lingerPeriod = 50*time.Millisecond, 10*time.Millisecond
	change(h)
	h.board.Tree.Update(func(*tree.Tree) *tree.Tree { return settings })
	h.board.PutShardMap(m)
	h.board.Advance(board.Ready)
	p.hosts[i], p.exited[i] = h, make(chan error, 1)
	go func() { p.exited[i] <- h.Run() }()
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

// seesState reports whether host i sees the other host in state s.
func (p *hostPair) seesState(i int, s wire.HostState) bool {
	return p.hosts[i].board.Membership.Load().Members[p.hosts[1-i].conf.Name].State == s
}

func (p *hostPair) eventually(f func() bool) {
	p.t.Helper()
	require.Eventually(p.t, f, 20*time.Second, time.Millisecond)
}

// clockStep is how far the target's clock advances at a time. It is far less than a sub-request's time limit, which begins
// before the target's work does.
const clockStep = 100 * time.Millisecond

// finishWork advances the target's clock in the background, so that work ends, also work that begins later.
func (p *hostPair) finishWork() {
	go func() {
		for range 2000 {
			p.targetClock.Advance(clockStep)
			time.Sleep(time.Millisecond)
		}
	}()
}

// callerReply is the answer that a caller received; err is set if it was cut off.
type callerReply struct {
	status int
	body   []byte
	err    error
}

func (p *hostPair) post(host int, path string, in any) callerReply {
	body, err := json.Marshal(in)
	require.NoError(p.t, err)
	return postBody(p.hosts[host].conf.Callers, path, bytes.NewReader(body))
}

func postBody(a netip.AddrPort, path string, body io.Reader) callerReply {
	resp, err := http.Post("http://"+a.String()+path, "application/json", body)
	if err != nil {
		return callerReply{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return callerReply{status: resp.StatusCode, body: b, err: err}
}

// queryUntilKept sends a query and repeats it while its answer says that the target has moved to another keeper, until a
// host is stopping.
func (p *hostPair) queryUntilKept(host int) callerReply {
	for {
		r := p.post(host, apiv1.PathQuery, apiv1.Query{Service: service, Class: "routine"})
		if r.err != nil || p.stopping.Load() || !bytes.Contains(r.body, []byte("moved")) {
			return r
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// keeperIndex returns the index of the host that keeps the target. The other host reaches the target through it.
func (p *hostPair) keeperIndex() int {
	if p.isKeeper(0) {
		return 0
	}
	return 1
}

// isKeeper reports whether host i keeps the target.
func (p *hostPair) isKeeper(i int) bool {
	return slices.ContainsFunc(p.hosts[i].keeper.TargetStatuses(), func(k keeper.TargetStatus) bool { return k.Hold == "held" })
}

// awaitBusy waits until the target is working on at least n requests.
func (p *hostPair) awaitBusy(n int) {
	p.eventually(func() bool { return p.targetClock.PendingCalls() >= n })
}

// leaveCase is a graceful stop with count requests in flight.
type leaveCase struct {
	name string
	// begin starts the requests and returns once they are in flight, with the index of the host to stop and a function that
	// lets the requests finish.
	begin func(p *hostPair, replies chan<- callerReply) (leaving int, finish func())
	count int
}

// queriesInFlight returns a begin function that sends n queries to the host that at selects; the keeper is to stop.
func queriesInFlight(n int, at func(*hostPair) int) func(*hostPair, chan<- callerReply) (int, func()) {
	return func(p *hostPair, replies chan<- callerReply) (int, func()) {
		// A first query makes sure that the target is kept.
		first := make(chan callerReply, 1)
		go func() { first <- p.post(0, apiv1.PathQuery, apiv1.Query{Service: service, Class: "routine"}) }()
		for len(first) == 0 {
			p.targetClock.Advance(clockStep)
			time.Sleep(time.Millisecond)
		}
		require.Equal(p.t, http.StatusOK, (<-first).status)
		for range n {
			go func() { replies <- p.queryUntilKept(at(p)) }()
		}
		p.awaitBusy(min(n, slots))
		return p.keeperIndex(), p.finishWork
	}
}

// orderInFlight sends an order to host 0, which is to stop.
func orderInFlight(p *hostPair, replies chan<- callerReply) (int, func()) {
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
	p.awaitBusy(1)
	p.repeatOrder = func() callerReply { return p.post(1, apiv1.PathOrder, o) }
	return 0, p.finishWork
}

// slowUpload sends the first bytes of a query to host 0, which is to stop; the rest follows at the end.
func slowUpload(p *hostPair, replies chan<- callerReply) (int, func()) {
	p.finishWork()
	body, err := json.Marshal(apiv1.Query{Service: service, Class: "routine"})
	require.NoError(p.t, err)
	r, w := io.Pipe()
	go func() { replies <- postBody(p.hosts[0].conf.Callers, apiv1.PathQuery, r) }()
	_, err = w.Write(body[:5])
	require.NoError(p.t, err)
	p.eventually(func() bool { return p.hosts[0].entry.InFlight() == 1 })
	return 0, func() {
		w.Write(body[5:])
		w.Close()
	}
}

var leaveCases = []leaveCase{
	{name: "long query at the leaving host", begin: queriesInFlight(1, (*hostPair).keeperIndex), count: 1},
	{name: "long query of another host at the leaving keeper", begin: queriesInFlight(1, func(p *hostPair) int { return 1 - p.keeperIndex() }), count: 1},
	{name: "keeper with a full queue", begin: queriesInFlight(12, func(p *hostPair) int { return 1 - p.keeperIndex() }), count: 12},
	{name: "order", begin: orderInFlight, count: 1},
	{name: "slow upload", begin: slowUpload, count: 1},
}

// incomplete reports whether a reply is an error, a refusal or an answer without all shards.
func (r callerReply) incomplete() bool {
	var a apiv1.Answer
	return r.err != nil || r.status != http.StatusOK || json.Unmarshal(r.body, &a) != nil || a.Answered < a.Shards
}

// TestGracefulStopFinishesRequestsInFlight guards against requests that are cut off by a graceful stop. Without draining,
// handover and graceful shutdown, each case loses a request or sends it again.
func TestGracefulStopFinishesRequestsInFlight(t *testing.T) {
	withoutDrain := func(h *Host) {
		h.drain = func(context.Context) {}
		h.handOverTargets = func(context.Context) error { return nil }
		h.shutdownServer = func(context.Context, func(context.Context) error) error { return nil }
	}
	for _, c := range leaveCases {
		t.Run(c.name, func(t *testing.T) {
			withHostPair(t, withoutDrain, func(p *hostPair) {
				lost := slices.ContainsFunc(p.leaveDuring(c, true), callerReply.incomplete)
				require.True(t, lost || p.hasResent(c.count), "without the draining a request must be cut off or sent again")
			})
			withHostPair(t, func(*Host) {}, func(p *hostPair) {
				p.awaitLeavingSeen()
				for _, r := range p.leaveDuring(c, false) {
					require.False(t, r.incomplete(), "%v %s", r.err, r.body)
				}
			})
		})
	}
}

// hasResent reports whether the target received more than the first query and the n in flight: a query whose keeper has
// stopped is sent again through the next keeper.
func (p *hostPair) hasResent(n int) bool {
	return p.target.Stats().Served > n+1
}

// awaitLeavingSeen makes each host wait before it drains until the other host has seen that it is leaving, as the default
// notice period is long enough to ensure.
func (p *hostPair) awaitLeavingSeen() {
	for i, h := range p.hosts {
		h.drain = func(ctx context.Context) {
			p.eventually(func() bool { return p.seesState(1-i, wire.Leaving) || len(p.exited[1-i]) > 0 })
			h.drainRequests(ctx)
		}
	}
}

// leaveDuring stops a host while requests are in flight and returns the callers' replies. The requests may finish once the
// host refuses new ones or, if afterExit is set, once its Run has returned. Stop is called twice, as the second call must
// have no effect.
func (p *hostPair) leaveDuring(c leaveCase, afterExit bool) []callerReply {
	replies := make(chan callerReply, c.count)
	leaving, finish := c.begin(p, replies)
	h := p.hosts[leaving]
	p.stopping.Store(true)
	h.Stop()
	h.Stop()
	p.eventually(func() bool { return h.board.Phase() == board.Closed })
	if afterExit {
		p.eventually(func() bool { return len(p.exited[leaving]) == 1 })
	}
	finish()
	var all []callerReply
	for range c.count {
		all = append(all, <-replies)
	}
	return all
}

func TestOtherHostReturnsOutcomeAfterStop(t *testing.T) {
	withHostPair(t, func(*Host) {}, func(p *hostPair) {
		first := p.leaveDuring(leaveCase{begin: orderInFlight, count: 1}, false)[0]
		p.eventually(func() bool { return len(p.exited[0]) == 1 })
		again := p.repeatOrder()
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

func TestReadyFailsBeforeRequestsAreRefused(t *testing.T) {
	withHostPair(t, func(*Host) {}, func(p *hostPair) {
		p.finishWork()
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
	withHostPair(t, func(*Host) {}, func(p *hostPair) {
		replies := make(chan callerReply, 1)
		leaving, finish := queriesInFlight(1, (*hostPair).keeperIndex)(p, replies)
		h := p.hosts[leaving]
		for range 2 {
			require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
			p.eventually(func() bool { return h.board.Phase() >= board.Leaving })
		}
		p.eventually(func() bool { return h.board.Phase() == board.Closed })
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGINT))
		finish()
		r := <-replies
		require.NoError(t, r.err)
		require.Equal(t, http.StatusOK, r.status)
	})
}

func TestServerFailureStopsTheHost(t *testing.T) {
	withHostPair(t, func(*Host) {}, func(p *hostPair) {
		h, err := New(p.hosts[0].conf)
		require.NoError(t, err)
		require.Error(t, h.Run(), "the addresses are taken")
		require.False(t, errors.Is(err, http.ErrServerClosed))
	})
}
