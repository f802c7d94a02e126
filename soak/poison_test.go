package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"kingcupcross/fault"
	"kingcupcross/mock"
	"kingcupcross/pool"
	"kingcupcross/timer"
)

const (
	// poisonPeriod is the time between two copies of a deadly request.
	poisonPeriod = 100 * time.Millisecond
	// poisonSpread is the time after the third target has ended from which all hosts must know the request.
	poisonSpread = 2 * time.Second
	// maxLateCopies is the number of later copies that may still reach targets.
	maxLateCopies = 3
	// maxEndedBeyondFirst is the number of targets that may end beyond those that the first copy of a request over all shards reaches before anything is known of it.
	maxEndedBeyondFirst = 3
)

// deadlyCopy is one copy of a deadly request.
type deadlyCopy struct {
	id string
	at time.Time
	// disturbed is set if the host was started or disturbed shortly before, or runs another build, which may not know such requests.
	disturbed bool
	status    int
	// retryAfter is the value of the header Retry-After.
	retryAfter string
	took       time.Duration
	err        error
}

// sendDeadly sends copies of one request to all hosts in turn until the context ends, as callers that repeat it do.
func (w *cluster) sendDeadly(ctx context.Context, method, path string) (copies []*deadlyCopy) {
	p := pool.New(timer.New(), pool.DefaultMemory, tally.NoopScope)
	defer p.Close()
	var running sync.WaitGroup
	for i := 0; ctx.Err() == nil; i++ {
		h := w.hosts[i%len(w.hosts)]
		_, lastFault, _ := h.state()
		d := &deadlyCopy{
			id:        fmt.Sprintf("%s-%d", strings.ReplaceAll(path, "/", "-"), i),
			at:        time.Now(),
			disturbed: time.Since(lastFault) < poisonSpread || h.program == *besideFile,
		}
		copies = append(copies, d)
		running.Go(func() {
			r := pool.Request{
				Method:  method,
				URI:     path,
				Host:    "soak.example",
				Header:  http.Header{"X-Request-Id": {d.id}, "X-Deadline-Ms": {"1200"}},
				NewConn: true,
			}
			if method == http.MethodPost {
				r.Body = []byte("the same order")
			}
			answer, err := p.Exchange(context.Background(), h.callers, r, d.at.Add(2500*time.Millisecond))
			d.err, d.took = err, time.Since(d.at)
			if err == nil {
				d.status, d.retryAfter = answer.Status, answer.Header.Get("Retry-After")
			}
		})
		time.Sleep(poisonPeriod)
	}
	running.Wait()
	return copies
}

// deadlyFault sends copies of a deadly request during the harm of a run and records them.
func (w *cluster) deadlyFault(r *rand.Rand, d time.Duration) {
	defer w.beginFault()()
	ctx, cancel := context.WithTimeout(context.Background(), d+poisonSpread+time.Second)
	defer cancel()
	method, path := http.MethodGet, []string{"/all/", "/one/", "/once/"}[r.IntN(3)]
	if path == "/once/" {
		method = http.MethodPost
	}
	copies := w.sendDeadly(ctx, method, fmt.Sprintf("%s%s-%d", path, mock.DeadlyMark, r.Uint32()))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deadlyCopies = append(w.deadlyCopies, copies)
}

// checkDeadly returns a violation if copies still reached targets of undisturbed hosts long after the third target had ended, or if more ended than may.
func (w *cluster) checkDeadly(copies []*deadlyCopy, maxEnded int) (violations []string) {
	var ends []mock.Run
	for _, d := range copies {
		ends = append(ends, w.requestLog.Ends(d.id)...)
	}
	if len(ends) > maxEnded {
		violations = append(violations, fmt.Sprintf("%d targets ended under %s, at most %d may", len(ends), copies[0].id, maxEnded))
	}
	if len(ends) < 3 {
		return violations
	}
	known := ends[2].At.Add(poisonSpread)
	late := 0
	for _, d := range copies {
		if d.at.After(known) && !d.disturbed && len(w.requestLog.Runs(d.id)) > 0 {
			late++
		}
	}
	if late > maxLateCopies {
		violations = append(violations, fmt.Sprintf("%d copies of %s reached targets %s after the third had ended, at most %d may", late, copies[0].id, poisonSpread, maxLateCopies))
	}
	return violations
}

// TestRequestThatEndsItsTargetsIsStopped guards against a request that ends each target which runs it being sent to ever more of them, by retries, hedges, other hosts and hosts that have started since, while proper requests go without targets.
func TestRequestThatEndsItsTargetsIsStopped(t *testing.T) {
	program, err := buildProgram()
	require.NoError(t, err)
	for _, tt := range []struct {
		name, method, path string
		// first is the number of targets that the first copy reaches at once.
		first int
		// disturb is called while copies arrive.
		disturb func(*cluster)
	}{
		{name: "all shards", method: http.MethodGet, path: "/all/deadly", first: shards},
		{name: "one service", method: http.MethodGet, path: "/one/deadly", first: 1},
		{name: "order", method: http.MethodPost, path: "/once/deadly", first: 1},
		{name: "store away", method: http.MethodGet, path: "/all/deadly", first: shards, disturb: func(w *cluster) {
			w.store.SetMode(mock.Silent)
			time.Sleep(3 * time.Second)
			w.store.SetMode(mock.Healthy)
		}},
		{name: "hosts start again", method: http.MethodGet, path: "/all/deadly", first: shards, disturb: func(w *cluster) {
			for _, h := range w.hosts[:3] {
				h.signal(syscall.SIGKILL)
				<-h.exited()
				w.start(h)
				time.Sleep(500 * time.Millisecond)
			}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newCluster(t, program, false)
			w.awaitServing()
			// The hosts learn of each other.
			time.Sleep(2500 * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
			defer cancel()
			var exchanges []*exchange
			var copies []*deadlyCopy
			var callers sync.WaitGroup
			callers.Go(func() { exchanges = w.runCallers(ctx, rand.New(rand.NewPCG(1, 8)), 12) })
			time.Sleep(time.Second)
			callers.Go(func() { copies = w.sendDeadly(ctx, tt.method, tt.path) })
			if tt.disturb != nil {
				time.Sleep(2 * time.Second)
				tt.disturb(w)
			}
			callers.Wait()
			require.Empty(t, w.checkDeadly(copies, tt.first+maxEndedBeyondFirst))
			served, sent := 0, 0
			for _, x := range exchanges {
				if tt.disturb != nil && x.err != nil {
					// The host was killed.
					continue
				}
				sent++
				switch {
				case x.err == nil && x.response.Status == http.StatusOK:
					served++
				case x.err == nil:
					require.NotEqual(t, http.StatusBadRequest, x.response.Status, "%s %s was refused for its content", x.id, x.path)
				}
			}
			require.GreaterOrEqual(t, served*20, sent*19, "%d of %d other requests were served", served, sent)
			last := copies[len(copies)-2]
			require.NoError(t, last.err)
			require.True(t, fault.PromisesNotRun(last.status), "the last copies must be refused, not answered with %d", last.status)
			wait, err := strconv.ParseFloat(last.retryAfter, 64)
			require.NoError(t, err)
			require.Positive(t, wait, "callers are told when to come back")
			require.Less(t, last.took, 500*time.Millisecond, "the last copies must be refused at once")
			require.Empty(t, w.requestLog.Runs(last.id), "the refusal promises that the copy has not run")
			for _, d := range copies {
				require.False(t, d.err == nil && d.status >= 300 && d.status < 500 && !fault.PromisesNotRun(d.status), "copy %s got %d, after which callers stay away", d.id, d.status)
			}
		})
	}
}
