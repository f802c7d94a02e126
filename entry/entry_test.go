package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/apiv1"
	"kingcupcross/board"
	"kingcupcross/emul"
	"kingcupcross/keeper"
	"kingcupcross/order"
	"kingcupcross/shard"
	"kingcupcross/store"
	"kingcupcross/timer"
	"kingcupcross/tree"
	"kingcupcross/wire"
)

// testServer is the API of one host that keeps one target.
type testServer struct {
	*API
	t      *testing.T
	url    string
	target *emul.Target
}

const service = "silo"

// withTestServer runs f with a testServer whose target is kept. The store's address doesn't answer.
func withTestServer(t *testing.T, f func(*testServer)) {
	t.Helper()
	clock := timer.New()
	keeperClock, manual := timer.NewManualClock(time.Unix(1000, 0))
	ts := &testServer{t: t, target: emul.NewTarget(clock, emul.TargetSettings{Name: "t", Slots: 4, Cold: 4})}
	server := httptest.NewServer(ts.target.Handler())
	defer server.Close()
	b := board.New(clock, wire.Member{HostID: wire.HostID{Name: "h", Incarnation: 1}, Region: "r", Datacentre: "a"})
	b.PutShardMap(&shard.Map{
		Service: service,
		Version: 1,
		Index:   1,
		Targets: []shard.Target{{
			Name:       "t",
			Address:    netip.MustParseAddrPort(server.Listener.Addr().String()),
			Datacentre: "a",
			Slots:      4,
			Conns:      4,
		}},
		Shards: [][]int{{0}},
	})
	b.Advance(board.Ready)
	stoppedClock, _ := timer.NewManualClock(time.Unix(1000, 0))
	b.PauseDetector = board.NewPauseDetector(stoppedClock)
	dialer := wire.NewDialer()
	defer dialer.Close()
	b.MarkJoined()
	k := keeper.New(keeperClock, b, zap.NewNop(), tally.NoopScope)
	awaitKept(t, clock, manual, k)
	platform := store.New(clock, netip.MustParseAddrPort("127.0.0.1:1"))
	book := order.New(clock, b, keeper.NewClient("h", k, dialer), dialer, platform, zap.NewNop(), tally.NoopScope)
	ts.API = New(clock, b, nil, book, zap.NewNop(), tally.NoopScope)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ts.url = "http://" + l.Addr().String()
	callers := ts.Server()
	go callers.Serve(l)
	defer callers.Close()
	f(ts)
}

// awaitKept runs the keeper until it has taken the target. The keeper's clock runs fast, since it waits for seconds before
// it takes a target.
func awaitKept(t *testing.T, clock *timer.Clock, manual *timer.ManualClock, k *keeper.Keeper) {
	ctx, cancel := context.WithCancel(t.Context())
	stop := manual.Follow(clock, 20)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		k.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
		stop()
	})
	require.Eventually(t, func() bool {
		kept := k.TargetStatuses()
		return len(kept) == 1 && kept[0].Hold == "held"
	}, 20*time.Second, time.Millisecond)
}

func (f *testServer) applySetting(key, value string) {
	f.board.Tree.Update(func(t *tree.Tree) *tree.Tree {
		next, err := t.Apply(tree.Change{
			N:      t.ChangeNumber + 1,
			ID:     key,
			Author: "test",
			Reason: "test",
			Ops:    []tree.Op{{Path: "org", Key: key, After: json.RawMessage(value)}},
		})
		require.NoError(f.t, err)
		return next
	})
}

// post sends a body, with one header if given, and checks the length and checksum of the answer.
func (f *testServer) post(client *http.Client, path string, body io.Reader, head ...string) (int, []byte) {
	f.t.Helper()
	req, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, f.url+path, body)
	require.NoError(f.t, err)
	if len(head) == 2 {
		req.Header.Set(head[0], head[1])
	}
	resp, err := client.Do(req)
	require.NoError(f.t, err)
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	require.NoError(f.t, err)
	require.Equal(f.t, strconv.Itoa(len(answer)), resp.Header.Get("Content-Length"))
	require.Equal(f.t, checksum(answer), resp.Header.Get(apiv1.ChecksumHeader))
	return resp.StatusCode, answer
}

func (f *testServer) postFailure(path, body string, head ...string) apiv1.Failure {
	f.t.Helper()
	_, answer := f.post(http.DefaultClient, path, strings.NewReader(body), head...)
	var failure apiv1.Failure
	require.NoError(f.t, json.Unmarshal(answer, &failure))
	return failure
}

func (f *testServer) newTicket() string {
	_, answer := f.post(http.DefaultClient, apiv1.PathTickets, strings.NewReader("{}"))
	var m apiv1.TicketsResponse
	require.NoError(f.t, json.Unmarshal(answer, &m))
	return m.Tickets[0]
}

func (f *testServer) orderRuns() int {
	total := 0
	for _, n := range f.target.Stats().Runs {
		total += n
	}
	return total
}

func TestOrderRefusals(t *testing.T) {
	foreign := order.FormatTicket(wire.Ticket{Host: wire.HostID{Name: "other", Incarnation: 3}, Datacentre: "a", Sequence: 1})
	since := `,"since":"` + time.Now().UTC().Format(time.RFC3339) + `"}`
	plain := `{"service":"silo","payload":"b25l"}`
	cases := []struct {
		name   string
		with   func(*testServer)
		body   string
		head   []string
		kind   string
		notRun bool
	}{
		{name: "no JSON", body: "{", kind: "invalid"},
		{name: "wrong checksum", body: plain, head: []string{apiv1.ChecksumHeader, "1"}, kind: "invalid"},
		{name: "no service", body: `{}`, kind: "invalid", notRun: true},
		{name: "key without time", body: `{"service":"silo","key":"k"}`, kind: "invalid"},
		{name: "broken ticket", body: `{"service":"silo","ticket":"k"}`, kind: "invalid", notRun: true},
		{name: "keyless refused by the settings", with: func(f *testServer) { f.applySetting("keyless", "false") }, body: plain, kind: "forbidden", notRun: true},
		{name: "data centre out", with: func(f *testServer) { f.applySetting("out", `["a"]`) }, body: plain, kind: "out", notRun: true},
		{name: "data centre out, another host's ticket", with: func(f *testServer) { f.applySetting("out", `["a"]`) }, body: `{"service":"silo","ticket":"` + foreign + `"}`, kind: "out"},
		{name: "too large", with: func(f *testServer) { f.applySetting("body", `"2B"`) }, body: plain, kind: "toolarge", notRun: true},
		{name: "closed", with: func(f *testServer) { f.board.Advance(board.Closed) }, body: plain, kind: "leaving", notRun: true},
		{name: "closed, another host's ticket", with: func(f *testServer) { f.board.Advance(board.Closed) }, body: `{"service":"silo","ticket":"` + foreign + `"}`, kind: "leaving"},
		{name: "unknown host's ticket", body: `{"service":"silo","ticket":"` + foreign + `"}`, kind: "unknown"},
		{name: "store down", body: `{"service":"silo","key":"k"` + since, kind: "store", notRun: true},
		{name: "store down at a repeat", body: `{"service":"silo","key":"k","repeat":true` + since, kind: "store"},
		{name: "unknown service", body: `{"service":"none"}`, kind: "noservice", notRun: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withTestServer(t, func(f *testServer) {
				if c.with != nil {
					c.with(f)
				}
				failure := f.postFailure(apiv1.PathOrder, c.body, c.head...)
				require.Equal(t, c.kind, failure.Kind, failure.Text)
				require.Equal(t, c.notRun, failure.NotRun)
				require.Zero(t, f.orderRuns())
			})
		})
	}
}

// TestRepeatedOrderGetsOutcomeFromRefusingHost guards against a repeated order that is refused, rather than answered with
// its outcome, because the host refuses new orders by then.
func TestRepeatedOrderGetsOutcomeFromRefusingHost(t *testing.T) {
	for name, change := range map[string]func(*testServer){
		"out":       func(f *testServer) { f.applySetting("out", `["a"]`) },
		"too large": func(f *testServer) { f.applySetting("body", `"2B"`) },
		"closed":    func(f *testServer) { f.board.Advance(board.Closed) },
	} {
		t.Run(name, func(t *testing.T) {
			withTestServer(t, func(f *testServer) {
				body := `{"service":"silo","payload":"b25l","ticket":"` + f.newTicket() + `"}`
				first, _ := f.post(http.DefaultClient, apiv1.PathOrder, strings.NewReader(body))
				change(f)
				again, answer := f.post(http.DefaultClient, apiv1.PathOrder, strings.NewReader(body))
				require.Equal(t, []int{http.StatusOK, http.StatusOK}, []int{first, again}, string(answer))
				require.Equal(t, 1, f.orderRuns())
			})
		})
	}
}

func TestKeylessOrderCanBeRepeatedWithItsTicket(t *testing.T) {
	withTestServer(t, func(f *testServer) {
		body := `{"service":"silo","payload":"b25l"}`
		_, answer := f.post(http.DefaultClient, apiv1.PathOrder, strings.NewReader(body))
		var o apiv1.Outcome
		require.NoError(t, json.Unmarshal(answer, &o))
		again := strings.TrimSuffix(body, "}") + `,"ticket":"` + o.Ticket + `"}`
		_, answer = f.post(http.DefaultClient, apiv1.PathOrder, strings.NewReader(again))
		var repeated apiv1.Outcome
		require.NoError(t, json.Unmarshal(answer, &repeated))
		require.Equal(t, o.Payload, repeated.Payload)
		require.Equal(t, 1, f.orderRuns())
		f.post(http.DefaultClient, apiv1.PathOrder, strings.NewReader(body))
		require.Equal(t, 2, f.orderRuns(), "an order without ticket or key must count as a new one")
	})
}

func TestHTTP1AndHTTP2AnswersAreComplete(t *testing.T) {
	withTestServer(t, func(f *testServer) {
		for _, second := range []bool{false, true} {
			protocols := new(http.Protocols)
			protocols.SetHTTP1(!second)
			protocols.SetUnencryptedHTTP2(second)
			client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
			status, _ := f.post(client, apiv1.PathOrder, strings.NewReader(`{"service":"silo"}`))
			require.Equal(t, http.StatusOK, status)
			client.CloseIdleConnections()
		}
	})
}

func TestSlowBodyTimesOut(t *testing.T) {
	withTestServer(t, func(f *testServer) {
		f.bodyTimeout = 10 * time.Millisecond
		r, w := io.Pipe()
		defer w.Close()
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.url+apiv1.PathOrder, io.MultiReader(strings.NewReader("{"), r))
		require.NoError(t, err)
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			defer resp.Body.Close()
			require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode)
		}
		require.Zero(t, f.orderRuns())
	})
}

func TestReadyFollowsThePhase(t *testing.T) {
	cases := []struct {
		phase board.Phase
		want  string
	}{
		{phase: board.Ready, want: "ready\n"},
		{phase: board.Leaving, want: "leaving"},
		{phase: board.Closed, want: "leaving"},
	}
	withTestServer(t, func(f *testServer) {
		for _, c := range cases {
			f.board.Advance(c.phase)
			resp, err := http.Get(f.url + apiv1.PathReady)
			require.NoError(t, err)
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			resp.Body.Close()
			require.Contains(t, string(body), c.want)
		}
	})
}

// TestOrderRunsAfterCallerDisconnects guards against an order that is cancelled, or runs again, when its caller disconnects
// while it runs.
func TestOrderRunsAfterCallerDisconnects(t *testing.T) {
	withTestServer(t, func(f *testServer) {
		body := []byte(`{"service":"silo","payload":"b25l","ticket":"` + f.newTicket() + `"}`)
		ctx, cancel := context.WithCancel(t.Context())
		gone := make(chan error, 1)
		go func() {
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+apiv1.PathOrder, bytes.NewReader(body))
			if err == nil {
				_, err = http.DefaultClient.Do(req)
			}
			gone <- err
		}()
		require.Eventually(t, func() bool { return f.orderRuns() == 1 || len(gone) > 0 }, 10*time.Second, time.Millisecond)
		cancel()
		if err := <-gone; err != nil {
			require.True(t, errors.Is(err, context.Canceled), err)
		}
		status, answer := f.post(http.DefaultClient, apiv1.PathOrder, bytes.NewReader(body))
		require.Equal(t, http.StatusOK, status, string(answer))
		require.Equal(t, 1, f.orderRuns())
	})
}
