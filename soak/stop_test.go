package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stopProbe is one request around a planned stop of a host.
type stopProbe struct {
	// at is when the request is sent, from the signal to stop on.
	at time.Duration
	// opened is when its connection is opened; connections that are opened before the signal have carried a request.
	opened time.Duration
	path   string
	// deadline is the time that the caller allows.
	deadline time.Duration
	via      netip.AddrPort

	id     string
	status int
	err    error
	took   time.Duration
}

func (p *stopProbe) String() string {
	return fmt.Sprintf("%s via %s at %s on a connection opened at %s: status %d after %s, %v", p.id, p.via, p.at, p.opened, p.status, p.took.Round(time.Millisecond), p.err)
}

// send sends a request on a connection and reads the whole answer.
func (p *stopProbe) send(c net.Conn, answers *bufio.Reader, id string) (int, error) {
	if err := c.SetDeadline(time.Now().Add(p.deadline + 5*time.Second)); err != nil {
		return 0, err
	}
	if _, err := fmt.Fprintf(c, "GET /%s/x HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", p.path, id, p.deadline.Milliseconds()); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(answers, nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// run opens the connection, waits for the moment of the request, sends it, and records the outcome.
func (p *stopProbe) run(signalled time.Time) {
	time.Sleep(time.Until(signalled.Add(p.opened)))
	c, err := net.DialTimeout("tcp", p.via.String(), time.Second)
	if err != nil {
		p.err = err
		return
	}
	defer c.Close()
	answers := bufio.NewReader(c)
	if p.opened < 0 {
		if _, p.err = p.send(c, answers, p.id+"-before"); p.err != nil {
			return
		}
	}
	time.Sleep(time.Until(signalled.Add(p.at)))
	began := time.Now()
	p.status, p.err = p.send(c, answers, p.id)
	p.took = time.Since(began)
}

// runStopProbes sends SIGTERM to a host, sends the requests at their moments, and starts the host again.
func (w *cluster) runStopProbes(h *host, probes []*stopProbe) {
	const lead = 700 * time.Millisecond
	signalled := time.Now().Add(lead)
	var running sync.WaitGroup
	for _, p := range probes {
		running.Go(func() { p.run(signalled) })
	}
	time.Sleep(time.Until(signalled))
	h.signal(syscall.SIGTERM)
	select {
	case <-h.exited():
	case <-time.After(grace + busyMachineMargin):
		require.Fail(w.t, "the host has not ended within its grace", h.name)
	}
	running.Wait()
	w.start(h)
}

// requireAnsweredOrNotBegun requires that each request was answered whole and in time or has never arrived at a target; a status that promises that a request has not run is held to it. Other statuses than success and refusal are allowed only on the paths in mayFail.
func (w *cluster) requireAnsweredOrNotBegun(probes []*stopProbe, mayFail ...string) {
	// A request that a host passes on in its last moment arrives soon.
	time.Sleep(300 * time.Millisecond)
	for _, p := range probes {
		arrived := w.requestLog.Arrived(p.id, "one") || w.requestLog.Arrived(p.id, "shard0")
		ran := len(w.requestLog.Runs(p.id)) > 0
		switch {
		case p.err != nil:
			require.False(w.t, arrived, "cut off after it was passed on: %s", p)
		case p.status == http.StatusServiceUnavailable || p.status == http.StatusTooManyRequests:
			require.False(w.t, ran && p.path != "all" && p.path != "one", "refused although it has run: %s", p)
		default:
			require.True(w.t, p.status == http.StatusOK || slices.Contains(mayFail, p.path), "failed: %s", p)
		}
		require.LessOrEqual(w.t, p.took, p.deadline+busyMachineMargin, "late: %s", p)
	}
}

// awaitServing waits until each host is ready.
func (w *cluster) awaitServing() {
	w.t.Helper()
	for _, h := range w.hosts {
		require.Eventually(w.t, h.isReady, 20*time.Second, 20*time.Millisecond, h.name)
	}
}

// setExtraWork makes all targets work longer on each request.
func (w *cluster) setExtraWork(d time.Duration) {
	for _, target := range w.targets {
		target.ExtraWork.Store(int64(d))
	}
}

// stopMoments returns a request for each moment of the grace, a step apart, by turns of each kind of route and on connections opened before the signal, soon after it, and shortly before the host stops listening.
func stopMoments(name string, step, offset time.Duration, via ...netip.AddrPort) []*stopProbe {
	const listens = grace / 2
	var all []*stopProbe
	paths := []string{"once", "one", "all"}
	opened := []time.Duration{-500 * time.Millisecond, 50 * time.Millisecond, listens - 100*time.Millisecond}
	for i := 0; ; i++ {
		at := offset + time.Duration(i)*step
		if at > grace {
			return all
		}
		all = append(all, &stopProbe{
			at:       at,
			opened:   min(opened[i/len(paths)%len(opened)], at-10*time.Millisecond),
			path:     paths[i%len(paths)],
			deadline: 1500 * time.Millisecond,
			via:      via[i%len(via)],
			id:       fmt.Sprintf("stop-%s-%d", name, i),
		})
	}
}

// TestRequestsAtEveryMomentOfAStop guards against requests that a stopping host takes late in its grace, passes on, and cuts off at the end without an answer, among them requests that may not be repeated.
func TestRequestsAtEveryMomentOfAStop(t *testing.T) {
	program, err := buildProgram()
	require.NoError(t, err)
	for _, tt := range []struct {
		name string
		work time.Duration
		// low keeps the rate below that at which a host answers its own requests.
		low bool
		// mayFail are the paths of queries that slow shards fail without a stop too, as they don't answer by the objective.
		mayFail []string
	}{
		{name: "fast targets"},
		{name: "slow targets", work: 600 * time.Millisecond, mayFail: []string{"all"}},
		{name: "slow targets, requests passed on by other hosts", work: 300 * time.Millisecond, low: true, mayFail: []string{"all"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newCluster(t, program, false)
			w.awaitServing()
			// The hosts learn of each other.
			time.Sleep(2500 * time.Millisecond)
			w.setExtraWork(tt.work)
			if !tt.low {
				probes := stopMoments("own", 25*time.Millisecond, 0, w.hosts[0].callers)
				w.runStopProbes(w.hosts[0], probes)
				w.requireAnsweredOrNotBegun(probes, tt.mayFail...)
				return
			}
			// Hosts 0 and 3 are the coordinators of the northern region, 1 and 4 pass their requests on to them.
			for round, stopped := range []int{0, 1, 3} {
				name := fmt.Sprintf("passed-%d", round)
				probes := stopMoments(name, 250*time.Millisecond, time.Duration(round)*80*time.Millisecond, w.hosts[1].callers, w.hosts[4].callers)
				w.runStopProbes(w.hosts[stopped], probes)
				w.requireAnsweredOrNotBegun(probes, tt.mayFail...)
				w.awaitServing()
				time.Sleep(2500 * time.Millisecond)
			}
		})
	}
}

// TestRequestThatOutlastsTheGraceIsAnswered guards against requests whose time is above the grace: those in flight at the signal get an answer before the process ends, later ones are refused before anything is sent.
func TestRequestThatOutlastsTheGraceIsAnswered(t *testing.T) {
	program, err := buildProgram()
	require.NoError(t, err)
	w := newCluster(t, program, false)
	w.awaitServing()
	for _, target := range w.targets {
		target.Paused.Store(true)
	}
	probe := func(name string, at time.Duration) *stopProbe {
		return &stopProbe{
			at:       at,
			opened:   min(at, time.Second),
			path:     "long",
			deadline: 20 * time.Second,
			via:      w.hosts[0].callers,
			id:       "long-" + name,
		}
	}
	var inFlight, later []*stopProbe
	var running sync.WaitGroup
	for i := range 3 {
		p := probe(fmt.Sprint("in-flight-", i), 0)
		inFlight = append(inFlight, p)
		running.Go(func() { p.run(time.Now()) })
	}
	for _, p := range inFlight {
		require.Eventually(t, func() bool { return w.requestLog.Arrived(p.id, "one") }, 5*time.Second, 10*time.Millisecond)
	}
	for _, at := range []time.Duration{20, 500, 1200, 2000, 2600} {
		later = append(later, probe(fmt.Sprint("later-", int(at)), at*time.Millisecond))
	}
	w.runStopProbes(w.hosts[0], later)
	running.Wait()
	w.requireAnsweredOrNotBegun(later)
	for _, p := range inFlight {
		require.NoError(t, p.err, p.String())
		require.Equal(t, http.StatusGatewayTimeout, p.status, p.String())
	}
	for _, p := range later {
		require.False(t, w.requestLog.Arrived(p.id, "one"), "passed on although it may outlast the host: %s", p)
	}
}
