package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/mock"
)

// Sizes of the cluster under test and bounds of its guarantees.
const (
	// shards is the number of shards of the route "all"; each is a service with two targets.
	shards = 6
	// unshardedTargets is the number of targets of the service "one", which isn't sharded.
	unshardedTargets = 3
	// drainBound is the time after which a draining target may get no more requests.
	drainBound = 3 * time.Second
	// applyBound is the time within which a new configuration must be applied.
	applyBound = 3 * time.Second
	// grace is the time that a graceful stop may take.
	grace = 3 * time.Second
	// budgetShare and budgetSlack bound the repeated arrivals at the targets of a service: at most budgetShare per request, plus budgetSlack.
	budgetShare = 0.2
	budgetSlack = 50.0
	// busyMachineMargin is added to time bounds, since all processes share few cores on a busy machine.
	busyMachineMargin = 700 * time.Millisecond
)

// regionOf holds the region of each data centre.
var regionOf = map[string]string{"a": "north", "b": "north", "c": "south"}

// host is one host of the cluster: its settings and its current process.
type host struct {
	name         string
	program      string
	settingsFile string
	logFile      string
	callers      netip.AddrPort
	ready        netip.AddrPort
	// startMu is held while a process is started, so that concurrent faults don't start two processes.
	startMu sync.Mutex
	// path is the host's way to the targets.
	path *hostPath

	mu  sync.Mutex
	cmd *exec.Cmd
	// exitedCh is closed when the current process has ended.
	exitedCh chan struct{}
	// processNumber counts the processes started for the host.
	processNumber int
	// lastFault is the time of the latest start or disruptive signal.
	lastFault time.Time
	// stopRequested is the time of the first SIGTERM to the current process, zero if there was none.
	stopRequested time.Time
}

// cluster holds the emulated platform, the targets and the host processes of one run.
type cluster struct {
	t       *testing.T
	program string
	dir     string
	store   *mock.Store
	// gateways are the proxies through which the hosts reach the store.
	gateways       []*mock.Proxy
	requestLog     *mock.RequestLog
	mu             sync.Mutex
	targets        []*mock.Target
	startedTargets atomic.Int64
	datacentreOf   map[string]string
	hosts          []*host
	version        uint64
	versionWritten time.Time
	// lastFault is the latest time at which a fault of the store, targets or connections began or ended; activeFaults counts those that are active.
	// Faults of single hosts are recorded at the host.
	lastFault    time.Time
	activeFaults int
	// statesEpoch is set if the store states its epoch, without which a restore can't be noticed.
	statesEpoch bool
	// written holds the last value of each key that the operator or a target has written.
	written map[string]any
	// deadlyCopies holds the copies of each request that ends its targets.
	deadlyCopies [][]*deadlyCopy
	// drainStart holds the time at which each draining target began to drain.
	drainStart map[string]time.Time
	// quietPeriods are the periods in which targets announced that they want no requests.
	quietPeriods []quietPeriod
}

// quietPeriod is a period for which a target has announced that it wants no requests. It may still get a few from each process,
// because a process learns of the announcement only from the answers to its requests.
type quietPeriod struct {
	target, announced string
	from, to          time.Time
	// processes is the largest number of processes that may have requests in flight to the target when they learn of the announcement.
	processes int
}

// maxInFlightPerProcess is the number of requests that a process may have in flight to a target when it learns of the announcement.
const maxInFlightPerProcess = 4

// processesStarted returns the number of host processes that were started so far.
func (w *cluster) processesStarted() int {
	n := 0
	for _, h := range w.hosts {
		processNumber, _, _ := h.state()
		n += processNumber
	}
	return n
}

// checkQuietPeriods returns a violation for each target that got more requests in a quiet period than the processes may have had in flight.
func (w *cluster) checkQuietPeriods() (violations []string) {
	for _, d := range w.quietPeriods {
		if n, limit := w.requestLog.ArrivalsBetween(d.target, d.from, d.to), maxInFlightPerProcess*d.processes; n > limit {
			violations = append(violations, fmt.Sprintf("%s got %d requests after it announced that %s, %d processes may send %d", d.target, n, d.announced, d.processes, limit))
		}
	}
	return violations
}

// buildProgram builds the program once and returns the name of its file.
var buildProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return "", err
	}
	executable := filepath.Join(dir, "kingcupcross")
	out, err := exec.Command("go", "build", "-o", executable, "kingcupcross/cmd/kingcupcross").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return executable, nil
})

// newCluster starts the store behind a proxy, two targets of each shard's service, the targets of the service "one", and the hosts.
// The store states its epoch if statesEpoch is set.
func newCluster(t *testing.T, program string, statesEpoch bool) *cluster {
	w := &cluster{
		t:            t,
		program:      program,
		dir:          runFolder(t),
		store:        mock.NewStore(),
		requestLog:   mock.NewRequestLog(),
		datacentreOf: map[string]string{},
		drainStart:   map[string]time.Time{},
		written:      map[string]any{},
		statesEpoch:  statesEpoch,
	}
	if statesEpoch {
		w.store.StateEpoch()
	}
	for i := range shards {
		for k := range 2 {
			w.addTarget(fmt.Sprintf("shard%d", i), []string{"a", "c"}[k])
		}
	}
	for k := range unshardedTargets {
		w.addTarget("one", []string{"a", "b", "c"}[k])
	}
	w.configure()
	for i := range *hostCount {
		w.addHost(i)
	}
	return w
}

// runFolder returns the directory for a run's settings and logs. With -keep, those of a failed run are kept.
func runFolder(t *testing.T) string {
	if *keepDir == "" {
		return t.TempDir()
	}
	dir := filepath.Join(*keepDir, filepath.Base(t.Name()))
	require.NoError(t, os.MkdirAll(dir, 0o755))
	t.Cleanup(func() {
		if !t.Failed() {
			require.NoError(t, os.RemoveAll(dir))
		}
	})
	return dir
}

// addTarget starts a target and registers it in the store.
func (w *cluster) addTarget(service, datacentre string) {
	id := fmt.Sprintf("i-%s-%s-%d", service, datacentre, w.startedTargets.Add(1)-1)
	target, err := mock.NewTarget(id, service, w.requestLog, 5*time.Millisecond)
	require.NoError(w.t, err)
	w.t.Cleanup(target.Close)
	target.OnEnd = func() {
		for _, h := range w.hosts {
			h.path.end(target.Proxy.Address)
		}
		go w.replaceEnded(target)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.targets = append(w.targets, target)
	w.datacentreOf[id] = datacentre
	w.put("servers/"+id, target.Entry(datacentre, "ready", 1))
}

const (
	// expiryDelay is the time after which the entry of a target that has ended is removed from the store.
	expiryDelay = time.Second
	// restartDelay is the time after which a target that has ended is back under another id.
	restartDelay = 2 * time.Second
)

// replaceEnded removes the entry of a target that has ended, and starts the target again.
func (w *cluster) replaceEnded(target *mock.Target) {
	w.mu.Lock()
	datacentre := w.datacentreOf[target.ID]
	// It can't be drained any more.
	w.drainStart[target.ID] = time.Now().Add(time.Hour)
	w.mu.Unlock()
	time.Sleep(expiryDelay)
	w.mu.Lock()
	w.store.Delete("servers/" + target.ID)
	delete(w.written, "servers/"+target.ID)
	w.mu.Unlock()
	time.Sleep(restartDelay - expiryDelay)
	if w.t.Context().Err() == nil {
		w.addTarget(target.Service, datacentre)
	}
}

// drain adds a replacement for a random target and then marks the target as draining in the store.
func (w *cluster) drain(r *rand.Rand) {
	target, datacentre := w.pickTargetToDrain(r)
	if target == nil {
		return
	}
	w.addTarget(target.Service, datacentre)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.put("servers/"+target.ID, target.Entry(datacentre, "draining", 2))
	w.drainStart[target.ID] = time.Now()
}

// announceLeaving adds a replacement for a random target and then makes the target announce in its answers that it leaves. The store doesn't show that it leaves.
func (w *cluster) announceLeaving(r *rand.Rand) {
	target, datacentre := w.pickTargetToDrain(r)
	if target == nil {
		return
	}
	w.addTarget(target.Service, datacentre)
	target.SetAnswerHeader("Server-Leaving", "1")
	w.mu.Lock()
	defer w.mu.Unlock()
	// The store never shows this target as draining, so the check of drains must not apply to it: its start lies in the future.
	w.drainStart[target.ID] = time.Now().Add(time.Hour)
	w.quietPeriods = append(w.quietPeriods, quietPeriod{
		target:    target.ID,
		announced: "it leaves",
		from:      time.Now().Add(drainBound),
	})
}

// announceRetryAfter makes targets refuse requests for a duration and announce with Retry-After that they want none.
// The announced time exceeds the duration, so no target may get more requests during it than processes had in flight.
func (w *cluster) announceRetryAfter(targets []*mock.Target, d time.Duration) {
	began := time.Now()
	startedBefore := w.processesStarted()
	// The end of another fault or announcement must not end this one, so they are counted.
	for _, t := range targets {
		t.Backoffs.Add(1)
	}
	time.Sleep(d)
	for _, t := range targets {
		t.Backoffs.Add(-1)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range targets {
		w.quietPeriods = append(w.quietPeriods, quietPeriod{
			target:    t.ID,
			announced: "it wants no requests",
			from:      began,
			to:        began.Add(d),
			processes: len(w.hosts) + w.processesStarted() - startedBefore,
		})
	}
}

// pickTargetToDrain returns a random target that isn't draining or leaving, and its data centre; nil if there is none.
func (w *cluster) pickTargetToDrain(r *rand.Rand) (target *mock.Target, datacentre string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range r.Perm(len(w.targets)) {
		if w.drainStart[w.targets[i].ID].IsZero() {
			target = w.targets[i]
			break
		}
	}
	if target == nil {
		return nil, ""
	}
	return target, w.datacentreOf[target.ID]
}

// configure writes the next version of the configuration. Each version has a route of its own, by which checkVersion recognises it.
func (w *cluster) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += uint64(1 + w.version%3)
	var shardServices []string
	services := []map[string]any{{"name": "one", "maxConns": 60, "coldStartS": 1.0, "coldPerS": 0.0}}
	for i := range shards {
		s := fmt.Sprintf("shard%d", i)
		shardServices = append(shardServices, s)
		services = append(services, map[string]any{"name": s, "maxConns": 60, "coldStartS": 1.0, "coldPerS": 0.0})
	}
	route := func(name, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": "soak.example", "prefix": "/" + name + "/", "routeKind": kind, "timeoutMs": 1500,
			"targetLatencyMs": 200, "maxAttempts": 2, "priority": 1, "service": "one",
		}
	}
	// The time-out of this route is above the grace of a stop.
	long := route("long", "non_idempotent")
	long["timeoutMs"] = 20000
	fanout := route("all", "idempotent")
	delete(fanout, "service")
	fanout["fanoutServices"], fanout["topK"], fanout["minShardShare"] = shardServices, 10, 0.5
	w.put("op/config", map[string]any{
		"version": w.version,
		"routes": []any{
			fanout, route("one", "idempotent"), route("once", "non_idempotent"), long,
			route(fmt.Sprintf("v%d", w.version), "idempotent"),
		},
		"services": services,
		"limits":   map[string]any{"maxBodyBytes": 100000, "idleTimeoutMs": 15000},
	})
	w.versionWritten = time.Now()
}

// Ports of hosts lie from firstPort up to lastPort, below the system's ephemeral range. Otherwise an outgoing connection could take the port of a host while its process restarts.
const (
	firstPort = 23000
	lastPort  = 31000
)

// nextPort counts the ports that freePort has tried.
var nextPort atomic.Int64

// freePort returns a loopback address whose port is free. Ports start at an offset that depends on the process id, so that parallel runs use different ones.
func freePort(t *testing.T) netip.AddrPort {
	for {
		port := firstPort + (nextPort.Add(1)+int64(os.Getpid()*97))%(lastPort-firstPort)
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
		l, err := net.Listen("tcp", a.String())
		if err != nil {
			continue
		}
		require.NoError(t, l.Close())
		return a
	}
}

// addHost writes the settings of a host and starts its process.
func (w *cluster) addHost(i int) {
	datacentre := []string{"a", "b", "c"}[i%3]
	h := &host{
		name:         fmt.Sprintf("h%d", i),
		program:      w.program,
		settingsFile: filepath.Join(w.dir, fmt.Sprintf("h%d.json", i)),
		logFile:      filepath.Join(w.dir, fmt.Sprintf("h%d.log", i)),
		callers:      freePort(w.t),
		ready:        freePort(w.t),
		path:         newHostPath(w.t),
	}
	if *besideFile != "" && i%2 == 1 {
		h.program = *besideFile
	}
	settings, err := json.Marshal(map[string]any{
		"name": h.name, "region": regionOf[datacentre], "datacentre": datacentre, "datacentres": regionOf,
		"callers": h.callers, "ready": h.ready, "requests": freePort(w.t), "views": freePort(w.t),
		"metrics": freePort(w.t).Port(), "store": w.addGateway(h).Address, "grace": grace.String(),
		"apply": applyBound.String(), "extra": budgetShare, "slack": budgetSlack,
	})
	require.NoError(w.t, err)
	require.NoError(w.t, os.WriteFile(h.settingsFile, settings, 0o600))
	w.hosts = append(w.hosts, h)
	w.start(h)
	w.t.Cleanup(func() { h.kill() })
}

// addGateway starts a proxy through which a host reaches the store, which shows it the host's own way to the targets.
func (w *cluster) addGateway(h *host) *mock.Proxy {
	server := httptest.NewServer(w.store.View(h.path.rewrite))
	w.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	gateway, err := mock.NewProxy(netip.MustParseAddrPort(server.Listener.Addr().String()))
	require.NoError(w.t, err)
	w.t.Cleanup(gateway.Close)
	w.gateways = append(w.gateways, gateway)
	return gateway
}

// eachGateway applies a fault to the links of all hosts to the store.
func (w *cluster) eachGateway(apply func(*mock.Proxy)) {
	for _, g := range w.gateways {
		apply(g)
	}
}

// start starts a host's process, unless a concurrent fault has already restarted it.
func (w *cluster) start(h *host) {
	h.startMu.Lock()
	defer h.startMu.Unlock()
	if h.isRunning() {
		return
	}
	out, err := os.OpenFile(h.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(w.t, err)
	cmd := exec.Command(h.program, "front", "--settings", h.settingsFile)
	cmd.Stdout, cmd.Stderr = out, out
	require.NoError(w.t, cmd.Start())
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cmd, h.exitedCh = cmd, make(chan struct{})
	h.processNumber++
	h.lastFault, h.stopRequested = time.Now(), time.Time{}
	ended := h.exitedCh
	go func() {
		// The exit status is ignored, since the run kills processes on purpose.
		_ = cmd.Wait()
		out.Close()
		close(ended)
	}()
}

// isRunning reports whether the host's process has been started and hasn't ended.
func (h *host) isRunning() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.exitedCh == nil {
		return false
	}
	select {
	case <-h.exitedCh:
		return false
	default:
		return true
	}
}

// exited returns a channel that is closed once the current process has ended.
func (h *host) exited() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.exitedCh
}

// signal sends a signal to the host's process if it is still running. SIGTERM is recorded as a requested stop
// and SIGHUP not at all; any other signal counts as a fault of the host.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.exitedCh:
	default:
		// An error means that the process has just ended.
		_ = h.cmd.Process.Signal(s)
	}
	switch s {
	case syscall.SIGTERM:
		if h.stopRequested.IsZero() {
			h.stopRequested = time.Now()
		}
	case syscall.SIGHUP:
	default:
		h.lastFault = time.Now()
	}
}

// kill kills the host's process, also if it is stopped, and waits until it has ended.
func (h *host) kill() {
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	<-h.exited()
}

// state returns the number of the current process, the time of the latest fault or start, and the time of the first SIGTERM
// to the current process, zero if there was none.
func (h *host) state() (processNumber int, lastFault, stopRequested time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.processNumber, h.lastFault, h.stopRequested
}

// isReady reports whether the host's readiness endpoint answers 200.
func (h *host) isReady() bool {
	r, err := (&http.Client{Timeout: 500 * time.Millisecond}).Get("http://" + h.ready.String() + "/api/ready")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// beginFault records a fault of the store, targets or connections as active until the returned function is called.
func (w *cluster) beginFault() (end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.activeFaults++
	w.lastFault = time.Now()
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.activeFaults--
		w.lastFault = time.Now()
	}
}

// noFaultSince reports whether no fault of the store, targets or connections was active since a time; faults of single hosts don't count.
func (w *cluster) noFaultSince(t time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.activeFaults == 0 && w.lastFault.Before(t)
}
