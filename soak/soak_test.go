package soak

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"kingcupcross/mock"
	"kingcupcross/pool"
	"kingcupcross/timer"
)

var (
	extraSeeds = flag.Int("seeds", 0, "number of fresh seeds to run beside the fixed ones")
	singleSeed = flag.Uint64("seed", 0, "one seed to run again")
	faultPhase = flag.Duration("length", 5*time.Second, "time of the harm of one run")
	hostCount  = flag.Int("hosts", 6, "number of hosts")
	besideFile = flag.String("beside", "", "program of another build that every second host runs")
	keepDir    = flag.String("keep", "", "folder for the hosts' logs of runs that fail")
)

// fixedSeeds are the seeds that the test runs unless one is given by flag. A seed that finds a failure is added here with a comment on its cause.
var fixedSeeds = []uint64{1, 2}

// endlessParts is the number of mock.EndlessParts that a run draws from. It stays as it is, since another one would change what recorded seeds play.
const endlessParts = 11

// exchange is one request of a caller and its outcome as seen by the caller.
type exchange struct {
	id, path string
	host     *host
	start    time.Time
	end      time.Time
	response *pool.Response
	err      error
	// processNumber, lastFault and stopRequested are the host's at the start of the request.
	processNumber            int
	lastFault, stopRequested time.Time
	// version is the version of the configuration when the request began, versionWritten the time at which it was written.
	version        uint64
	versionWritten time.Time
}

// runCallers runs concurrent callers that send requests until the context ends, and returns all exchanges.
func (w *cluster) runCallers(ctx context.Context, r *rand.Rand, count int) []*exchange {
	var mu sync.Mutex
	var exchanges []*exchange
	var group sync.WaitGroup
	for c := range count {
		callerRand := rand.New(rand.NewPCG(r.Uint64(), uint64(c)))
		group.Go(func() {
			p := pool.New(timer.New(), pool.DefaultMemory, tally.NoopScope)
			defer p.Close()
			for n := 0; ctx.Err() == nil; n++ {
				a := w.sendRequest(p, callerRand, fmt.Sprintf("c%d-%d-%d", c, n, callerRand.Uint32()))
				mu.Lock()
				exchanges = append(exchanges, a)
				mu.Unlock()
				time.Sleep(time.Duration(callerRand.IntN(60)) * time.Millisecond)
			}
		})
	}
	group.Wait()
	return exchanges
}

// sendRequest sends one request on a random route to a random host, over an open connection to it if there is one.
func (w *cluster) sendRequest(p *pool.Pool, r *rand.Rand, id string) *exchange {
	w.mu.Lock()
	version, written := w.version, w.versionWritten
	w.mu.Unlock()
	path := []string{"/all/x", "/all/x", "/one/x", "/once/x", fmt.Sprintf("/v%d/x", version)}[r.IntN(5)]
	a := &exchange{
		id:             id,
		path:           path,
		host:           w.hosts[r.IntN(len(w.hosts))],
		start:          time.Now(),
		version:        version,
		versionWritten: written,
	}
	a.processNumber, a.lastFault, a.stopRequested = a.host.state()
	request := pool.Request{
		Method:       http.MethodGet,
		URI:          path,
		Host:         "soak.example",
		Header:       http.Header{"X-Request-Id": {id}, "X-Deadline-Ms": {"1200"}},
		MaxIdleConns: 4,
	}
	if path == "/once/x" {
		request.Method, request.Body = http.MethodPost, []byte("order "+id)
	}
	a.response, a.err = p.Exchange(context.Background(), a.host.callers, request, a.start.Add(2500*time.Millisecond))
	a.end = time.Now()
	return a
}

// faults returns the faults that are injected at random. Each injects its fault for about the given duration; faults overlap.
func (w *cluster) faults() []func(*rand.Rand, time.Duration) {
	randomTarget := func(r *rand.Rand) *mock.Target {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.targets[r.IntN(len(w.targets))]
	}
	// during calls begin, waits for a duration and calls end. In between, a fault of the cluster is recorded as active, so that checks that require the absence of faults don't apply.
	during := func(d time.Duration, begin, end func()) {
		endFault := w.beginFault()
		begin()
		time.Sleep(d)
		end()
		endFault()
	}
	// process sends signals to a random host and restarts it if they end it. A host that got SIGTERM is killed if it hasn't ended after its grace period.
	process := func(signals ...syscall.Signal) func(*rand.Rand, time.Duration) {
		return func(r *rand.Rand, d time.Duration) {
			h := w.hosts[r.IntN(len(w.hosts))]
			for _, s := range signals {
				h.signal(s)
				time.Sleep(d / 4)
			}
			select {
			case <-h.exited():
				w.start(h)
			case <-time.After(grace + busyMachineMargin):
				if slices.Contains(signals, syscall.SIGTERM) {
					h.kill()
					w.start(h)
				}
			}
		}
	}
	// mode sets the store's mode for the duration.
	mode := func(m mock.Mode) func(*rand.Rand, time.Duration) {
		return func(_ *rand.Rand, d time.Duration) {
			during(d, func() { w.store.SetMode(m) }, func() { w.store.SetMode(mock.Healthy) })
		}
	}
	// target turns on a fault of a random target for the duration.
	target := func(set func(*mock.Target, bool)) func(*rand.Rand, time.Duration) {
		return func(r *rand.Rand, d time.Duration) {
			t := randomTarget(r)
			during(d, func() { set(t, true) }, func() { set(t, false) })
		}
	}
	// service turns on a fault of all targets of a random service for the duration.
	service := func(set func(*mock.Target, bool)) func(*rand.Rand, time.Duration) {
		return func(r *rand.Rand, d time.Duration) {
			targets := w.targetsOf(randomTarget(r).Service)
			during(d, func() { setEach(targets, set, true) }, func() { setEach(targets, set, false) })
		}
	}
	// endless makes a random target send responses without end for the duration.
	endless := func(slow bool) func(*rand.Rand, time.Duration) {
		return func(r *rand.Rand, d time.Duration) {
			p := &mock.EndlessResponse{Part: mock.EndlessParts[r.IntN(endlessParts)], Slow: slow}
			t := randomTarget(r)
			during(d, func() { t.Endless.Store(p) }, func() { t.Endless.Store(nil) })
		}
	}
	return []func(*rand.Rand, time.Duration){
		service(func(t *mock.Target, on bool) { t.Paused.Store(on) }),
		service(func(t *mock.Target, on bool) { t.RefusesRequests.Store(on) }),
		service(func(t *mock.Target, on bool) { t.AbortsConnections.Store(on) }),
		process(syscall.SIGKILL),
		process(syscall.SIGTERM),
		process(syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM),
		process(syscall.SIGHUP),
		process(syscall.SIGSTOP, syscall.SIGCONT),
		process(syscall.SIGSTOP, syscall.SIGKILL),
		mode(mock.Unavailable), mode(mock.Silent), mode(mock.Reset), mode(mock.LoseReplies),
		func(_ *rand.Rand, d time.Duration) { during(d/4, w.store.Compact, func() {}) },
		target(func(t *mock.Target, on bool) { t.Paused.Store(on) }),
		target(func(t *mock.Target, on bool) { t.RefusesRequests.Store(on) }),
		target(func(t *mock.Target, on bool) { t.AbortsConnections.Store(on) }),
		target(func(t *mock.Target, on bool) { t.TruncatesAnswers.Store(on) }),
		endless(false),
		endless(true),
		target(func(t *mock.Target, on bool) { t.Proxy.Stall(on, on) }),
		target(func(t *mock.Target, on bool) { t.Proxy.Stall(false, on) }),
		target(func(t *mock.Target, on bool) { t.Proxy.Delay(map[bool]time.Duration{true: 80 * time.Millisecond}[on]) }),
		target(func(t *mock.Target, _ bool) { t.Proxy.Reset() }),
		func(_ *rand.Rand, d time.Duration) {
			during(d, func() { w.eachGateway(func(g *mock.Proxy) { g.Stall(true, true) }) }, w.releaseGateways)
		},
		func(_ *rand.Rand, d time.Duration) {
			during(d, func() { w.eachGateway(func(g *mock.Proxy) { g.Stall(false, true) }) }, w.releaseGateways)
		},
		func(_ *rand.Rand, d time.Duration) {
			during(d/4, func() { w.eachGateway((*mock.Proxy).Reset) }, func() {})
		},
		// Some hosts lose their way to all targets.
		func(r *rand.Rand, d time.Duration) {
			f, n := pathFault(r.IntN(int(pathFaults))), 1+r.IntN(len(w.hosts)/2)
			during(2*d, func() { w.losePaths(r, n, f) }, w.restorePaths)
		},
		// The store may always return stale reads where they are allowed, so they don't count as a fault of the cluster.
		func(_ *rand.Rand, d time.Duration) {
			w.store.FreezeStaleReads()
			time.Sleep(2 * d)
			w.store.ReleaseStaleReads()
		},
		func(r *rand.Rand, d time.Duration) {
			if w.statesEpoch {
				during(0, func() { w.restoreStore(r, d) }, func() {})
			}
		},
		func(*rand.Rand, time.Duration) { w.configure() },
		func(r *rand.Rand, _ time.Duration) { w.drain(r) },
		func(r *rand.Rand, _ time.Duration) { w.announceLeaving(r) },
		// A target announces that it leaves while the store doesn't answer.
		func(r *rand.Rand, d time.Duration) {
			during(d, func() { w.store.SetMode(mock.Silent); w.announceLeaving(r) }, func() { w.store.SetMode(mock.Healthy) })
		},
		func(r *rand.Rand, d time.Duration) {
			targets := w.targetsOf(randomTarget(r).Service)
			during(0, func() { w.announceRetryAfter(targets, d) }, func() {})
		},
		w.deadlyFault,
		func(r *rand.Rand, d time.Duration) {
			t, value := randomTarget(r), rateLimitValues[r.IntN(len(rateLimitValues))]
			during(d, func() { t.SetAnswerHeader("Server-Limit", value) }, func() { t.RemoveAnswerHeader("Server-Limit") })
		},
	}
}

// setEach turns a fault of all given targets on or off.
func setEach(targets []*mock.Target, set func(*mock.Target, bool), on bool) {
	for _, t := range targets {
		set(t, on)
	}
}

// targetsOf returns the targets of a service.
func (w *cluster) targetsOf(service string) []*mock.Target {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(w.targets), func(t *mock.Target) bool { return t.Service != service })
}

// plannedDrains is the number of targets that makePlannedChanges drains.
const plannedDrains = 3

// makePlannedChanges makes planned changes while no fault is active: it writes a configuration, then drains targets while stale reads
// don't show it, then stops two hosts gracefully while callers keep sending to them.
func (w *cluster) makePlannedChanges(r *rand.Rand) {
	w.configure()
	time.Sleep(time.Second)
	w.store.FreezeStaleReads()
	defer w.store.ReleaseStaleReads()
	for range plannedDrains {
		w.drain(r)
	}
	time.Sleep(applyBound + busyMachineMargin + time.Second)
	for _, h := range w.hosts[:2] {
		h.signal(syscall.SIGTERM)
	}
	for _, h := range w.hosts[:2] {
		select {
		case <-h.exited():
		case <-time.After(grace + busyMachineMargin):
			w.t.Errorf("%s didn't stop within its grace period", h.name)
		}
	}
}

// runSeed runs the program with the random faults of one seed and returns the violations of its guarantees:
// first a phase of faults, then recovery, then a phase in which only some targets state rate limits, then planned changes.
func runSeed(t *testing.T, program string, s uint64) []string {
	r := rand.New(rand.NewPCG(s, 7))
	w := newCluster(t, program, r.IntN(2) == 0)
	require.Eventually(t, func() bool {
		return !slices.ContainsFunc(w.hosts, func(h *host) bool { return !h.isReady() })
	}, 30*time.Second, 20*time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	var exchanges []*exchange
	var group sync.WaitGroup
	group.Go(func() { exchanges = w.runCallers(ctx, rand.New(rand.NewPCG(s, 8)), 12) })
	var activeFaults sync.WaitGroup
	faults := w.faults()
	for end := time.Now().Add(*faultPhase); time.Now().Before(end); {
		time.Sleep(time.Duration(100+r.IntN(400)) * time.Millisecond)
		inject, d, faultRand := faults[r.IntN(len(faults))], time.Duration(300+r.IntN(1500))*time.Millisecond, rand.New(rand.NewPCG(r.Uint64(), 9))
		activeFaults.Go(func() { inject(faultRand, d) })
	}
	activeFaults.Wait()
	w.waitForRecovery()
	recovered := time.Now()
	violations := w.limitRates(r)
	planned := time.Now()
	w.makePlannedChanges(r)
	cancel()
	group.Wait()
	return append(violations, w.checkGuarantees(exchanges, recovered, planned)...)
}

// waitForRecovery resumes stopped processes and restarts those that have ended. It waits until all hosts are ready, and then as long as a drain may take to have effect.
func (w *cluster) waitForRecovery() {
	for _, h := range w.hosts {
		h.signal(syscall.SIGCONT)
		select {
		case <-h.exited():
			w.start(h)
		default:
		}
	}
	require.Eventually(w.t, func() bool {
		return !slices.ContainsFunc(w.hosts, func(h *host) bool { return !h.isReady() })
	}, 30*time.Second, 20*time.Millisecond)
	time.Sleep(drainBound + busyMachineMargin)
}

// checkGuarantees checks the exchanges of callers and the requests that targets recorded against the guarantees of the program. It returns a description of each violation.
// The faults ended before recovered; the planned changes began at planned.
func (w *cluster) checkGuarantees(exchanges []*exchange, recovered, planned time.Time) (violations []string) {
	report := func(a *exchange, format string, args ...any) {
		violations = append(violations, fmt.Sprintf("%s %s at %s, %s: ", a.id, a.path, a.host.name, a.start.Format("05.000"))+fmt.Sprintf(format, args...))
	}
	served, sent := 0, 0
	newest := map[string]uint64{}
	slices.SortFunc(exchanges, func(a, b *exchange) int { return a.start.Compare(b.start) })
	for _, a := range exchanges {
		runs := w.requestLog.Runs(a.id)
		if strings.HasPrefix(a.path, "/once/") && len(runs) > 1 {
			report(a, "ran %d times", len(runs))
		}
		if a.start.After(recovered) && a.start.Before(planned) {
			sent++
			if a.err == nil && a.response.Status == http.StatusOK {
				served++
			}
		}
		if a.err != nil {
			w.checkFailedExchange(a, runs, report)
			continue
		}
		w.checkAnswer(a, runs, report)
		w.checkVersion(a, newest, report)
	}
	if served*10 < sent*9 || sent == 0 {
		violations = append(violations, fmt.Sprintf("after recovery only %d of %d requests were served", served, sent))
	}
	for i, d := range w.quietPeriods {
		if d.to.IsZero() {
			w.quietPeriods[i].to, w.quietPeriods[i].processes = time.Now(), w.processesStarted()
		}
	}
	violations = append(violations, w.checkQuietPeriods()...)
	for _, copies := range w.deadlyCopies {
		violations = append(violations, w.checkDeadly(copies, len(w.targets))...)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, at := range w.drainStart {
		if last := w.requestLog.LastArrival(id); last.After(recovered) && last.After(at.Add(drainBound)) {
			violations = append(violations, fmt.Sprintf("%s got a request %s after it began to drain", id, last.Sub(at)))
		}
	}
	total, extra := w.requestLog.RepeatedArrivals()
	for s, times := range extra {
		if float64(len(times)) > budgetShare*float64(total[s])+budgetSlack {
			violations = append(violations, fmt.Sprintf("%s got %d arrivals beyond the first of %d requests", s, len(times), total[s]))
		}
	}
	return violations
}

// checkFailedExchange checks a request without a complete answer. It is a violation if the request was executed and the host stopped gracefully
// meanwhile, since a graceful stop must wait for open requests. Requests that a fault or a restart of the host may have cut off aren't violations.
func (w *cluster) checkFailedExchange(a *exchange, runs []mock.Run, report func(*exchange, string, ...any)) {
	var poolErr *pool.Error
	processNumber, lastFault, stopRequested := a.host.state()
	stopped := processNumber != a.processNumber || !stopRequested.IsZero()
	undisturbed := w.noFaultSince(a.start.Add(-time.Second)) && lastFault.Before(a.start.Add(-time.Second)) && processNumber == a.processNumber
	if errors.As(a.err, &poolErr) && poolErr.Sent && stopped && undisturbed && len(runs) > 0 {
		report(a, "was cut off at a graceful stop: %v", a.err)
	}
}

// notExecutedStatuses are the statuses that promise that a request was not executed and never will be.
var notExecutedStatuses = []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// checkAnswer checks an answer against its status and route: a status that promises that the request wasn't executed must be true,
// and a successful answer must be complete and belong to the request.
func (w *cluster) checkAnswer(a *exchange, runs []mock.Run, report func(*exchange, string, ...any)) {
	switch status := a.response.Status; {
	case slices.Contains(notExecutedStatuses, status):
		if len(runs) > 0 {
			report(a, "was answered %d although it ran", status)
		}
	case status != http.StatusOK:
	case strings.HasPrefix(a.path, "/all/"):
		w.checkMergedAnswer(a, report)
	default:
		service, _, signed := mock.ParseSignature(a.response.Header.Get("X-Server-Stamp"), a.id)
		if !signed || !bytes.Equal(a.response.Body, mock.Records(service, a.id)) {
			report(a, "got an answer to another request or an incomplete answer")
		}
	}
}

// checkMergedAnswer checks an answer that merges the parts of several shards: its parts and missing parts must add up to all shards,
// at least half of the shards must be present, and the body must hold the ten greatest records of the parts.
func (w *cluster) checkMergedAnswer(a *exchange, report func(*exchange, string, ...any)) {
	missing, err := strconv.Atoi(a.response.Header.Get("X-Missing-Parts"))
	if err != nil {
		report(a, "doesn't state how many parts are missing")
		return
	}
	var records [][]byte
	seen := map[string]bool{}
	for _, text := range strings.Split(a.response.Header.Get("X-Part-Stamps"), ",") {
		service, _, signed := mock.ParseSignature(strings.TrimSpace(text), a.id)
		if !signed || seen[service] {
			report(a, "lists the signature %q, which is invalid for the request or a duplicate", text)
			return
		}
		seen[service] = true
		part := mock.Records(service, a.id)
		for ; len(part) > 0; part = part[16:] {
			records = append(records, part[:16])
		}
	}
	slices.SortFunc(records, func(x, y []byte) int { return bytes.Compare(y, x) })
	if len(seen)+missing != shards || len(seen)*2 < shards {
		report(a, "has %d parts and states that %d are missing", len(seen), missing)
	}
	if !bytes.Equal(bytes.Join(records[:min(10, len(records))], nil), a.response.Body) {
		report(a, "doesn't consist of the greatest records of its parts")
	}
}

// checkVersion checks a request on the route that only one version of the configuration has. A process that has applied a version
// must not revert to an older one, and without faults a new version must be applied in time.
// newest holds the newest version that each process of each host is known to have applied.
func (w *cluster) checkVersion(a *exchange, newest map[string]uint64, report func(*exchange, string, ...any)) {
	if !strings.HasPrefix(a.path, "/v") {
		return
	}
	processNumber, lastFault, _ := a.host.state()
	key := fmt.Sprintf("%s/%d", a.host.name, a.processNumber)
	switch a.response.Status {
	case http.StatusOK:
		newest[key] = max(newest[key], a.version)
	case http.StatusNotFound:
		w.mu.Lock()
		current := w.version
		w.mu.Unlock()
		if newest[key] == a.version && current == a.version && processNumber == a.processNumber {
			report(a, "reverted to a configuration older than version %d", a.version)
		}
		if a.start.Sub(a.versionWritten) > applyBound+busyMachineMargin && current == a.version && w.noFaultSince(a.versionWritten.Add(-time.Second)) && lastFault.Before(a.versionWritten.Add(-time.Second)) {
			report(a, "hasn't applied version %d after %s", a.version, a.start.Sub(a.versionWritten))
		}
	}
}

// TestSoak checks the guarantees of the program under random faults, once for each fixed, fresh or given seed.
func TestSoak(t *testing.T) {
	seeds := slices.Clone(fixedSeeds)
	for n := range *extraSeeds {
		seeds = append(seeds, uint64(time.Now().UnixNano())/1000+uint64(n))
	}
	if *singleSeed != 0 {
		seeds = []uint64{*singleSeed}
	}
	for _, s := range seeds {
		t.Run(fmt.Sprint(s), func(t *testing.T) {
			t.Parallel()
			program, err := buildProgram()
			require.NoError(t, err)
			violations := runSeed(t, program, s)
			require.Empty(t, violations, "go test ./soak -seed %d", s)
		})
	}
}
