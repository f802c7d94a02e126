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

// Sizes and bounds of a world.
const (
	shards      = 6
	singles     = 3
	drainBound  = 3 * time.Second
	applyBound  = 3 * time.Second
	grace       = 3 * time.Second
	budgetShare = 0.2
	budgetSlack = 50.0
	// slack is added to bounds for the processor of a busy machine, on which all processes share few cores.
	slack = 700 * time.Millisecond
)

var datacentres = map[string]string{"a": "north", "b": "north", "c": "south"}

// host is one process with its settings.
type host struct {
	name     string
	file     string
	log      string
	callers  netip.AddrPort
	ready    netip.AddrPort
	starting sync.Mutex
	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    chan struct{}
	life     int
	harmed   time.Time
	stopping time.Time
}

// world is the platform, the targets and the hosts of one run.
type world struct {
	t       *testing.T
	program string
	dir     string
	store   *mock.Store
	server  *httptest.Server
	gateway *mock.Proxy
	ledger  *mock.Ledger
	mu      sync.Mutex
	targets []*mock.Target
	states  map[string]string
	hosts   []*host
	version uint64
	put     time.Time
	// harmed is the last time at which store, targets or connections were harmed; harm counts harms that go on.
	harmed time.Time
	harm   int
	drains map[string]time.Time
	// words are what targets have said of themselves.
	words []word
}

// word is a span of time in which a target gets no more than the requests by which each process learns that it wants none.
type word struct {
	target, said string
	from, to     time.Time
	lives        int
}

// wordCost is the number of requests that a process may have under way to a target when it is told.
const wordCost = 4

// lives returns the number of processes that were started.
func (w *world) lives() int {
	n := 0
	for _, h := range w.hosts {
		life, _, _ := h.seen()
		n += life
	}
	return n
}

// judgeWords finds requests to targets after they had said that they want none.
func (w *world) judgeWords() (broken []string) {
	for _, d := range w.words {
		if n, most := w.ledger.Between(d.target, d.from, d.to), wordCost*d.lives; n > most {
			broken = append(broken, fmt.Sprintf("%s got %d requests after it said that %s, %d processes may send %d", d.target, n, d.said, d.lives, most))
		}
	}
	return broken
}

var program = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return "", err
	}
	name := filepath.Join(dir, "kingcupcross")
	out, err := exec.Command("go", "build", "-o", name, "kingcupcross/cmd/kingcupcross").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return name, nil
})

func newWorld(t *testing.T, program string) *world {
	w := &world{
		t:       t,
		program: program,
		dir:     logFolder(t),
		store:   mock.NewStore(),
		ledger:  mock.NewLedger(),
		states:  map[string]string{},
		drains:  map[string]time.Time{},
	}
	w.server = httptest.NewServer(w.store)
	t.Cleanup(func() {
		w.server.CloseClientConnections()
		w.server.Close()
	})
	var err error
	w.gateway, err = mock.NewProxy(netip.MustParseAddrPort(w.server.Listener.Addr().String()))
	require.NoError(t, err)
	t.Cleanup(w.gateway.Close)
	for i := range shards {
		for k := range 2 {
			w.addTarget(fmt.Sprintf("shard%d", i), []string{"a", "c"}[k])
		}
	}
	for k := range singles {
		w.addTarget("one", []string{"a", "b", "c"}[k])
	}
	w.configure()
	for i := range *hosts {
		w.addHost(i)
	}
	return w
}

// logFolder is where a run's settings and logs go; with -keep those of a run that fails stay.
func logFolder(t *testing.T) string {
	if *keep == "" {
		return t.TempDir()
	}
	dir := filepath.Join(*keep, filepath.Base(t.Name()))
	require.NoError(t, os.MkdirAll(dir, 0o755))
	t.Cleanup(func() {
		if !t.Failed() {
			require.NoError(t, os.RemoveAll(dir))
		}
	})
	return dir
}

func (w *world) addTarget(service, datacentre string) {
	id := fmt.Sprintf("i-%s-%s-%d", service, datacentre, len(w.targets))
	target, err := mock.NewTarget(id, service, w.ledger, 5*time.Millisecond)
	require.NoError(w.t, err)
	w.t.Cleanup(target.Close)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.targets = append(w.targets, target)
	w.states[id] = datacentre
	w.store.Put("servers/"+id, target.Entry(datacentre, "ready", 1))
}

// drain has a target of a service with several ones leave, and another come.
func (w *world) drain(r *rand.Rand) {
	target, datacentre := w.leaver(r)
	if target == nil {
		return
	}
	w.addTarget(target.Service, datacentre)
	w.store.Put("servers/"+target.ID, target.Entry(datacentre, "draining", 2))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.drains[target.ID] = time.Now()
}

// sayLeaving has a target say in its answers that it leaves, which the store doesn't show, and another come.
func (w *world) sayLeaving(r *rand.Rand) {
	target, datacentre := w.leaver(r)
	if target == nil {
		return
	}
	w.addTarget(target.Service, datacentre)
	target.Says.Store(&http.Header{"Server-Leaving": {"1"}})
	w.mu.Lock()
	defer w.mu.Unlock()
	// It is none that the store is to show as draining.
	w.drains[target.ID] = time.Now().Add(time.Hour)
	w.words = append(w.words, word{
		target: target.ID,
		said:   "it leaves",
		from:   time.Now().Add(drainBound),
	})
}

// sayQuiet has all targets of a service refuse for a time, and say for how long they want nothing.
func (w *world) sayQuiet(all []*mock.Target, d time.Duration) {
	began := time.Now()
	before := w.lives()
	each(all, func(t *mock.Target, on bool) { t.Says.Store(&http.Header{"Retry-After": {"3.5"}}); t.Sheds.Store(on) }, true)
	time.Sleep(d)
	each(all, func(t *mock.Target, on bool) { t.Sheds.Store(on); t.Says.Store(nil) }, false)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range all {
		w.words = append(w.words, word{
			target: t.ID,
			said:   "it wants nothing",
			from:   began,
			to:     began.Add(d),
			lives:  len(w.hosts) + w.lives() - before,
		})
	}
}

// leaver returns a target that hasn't left yet and its data centre, nil where there is none.
func (w *world) leaver(r *rand.Rand) (target *mock.Target, datacentre string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range r.Perm(len(w.targets)) {
		if w.drains[w.targets[i].ID].IsZero() {
			target = w.targets[i]
			break
		}
	}
	if target == nil {
		return nil, ""
	}
	return target, w.states[target.ID]
}

// configure writes the next version, which has a route of its own.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += uint64(1 + w.version%3)
	var all []string
	services := []map[string]any{{"name": "one", "maxConns": 60, "coldStartS": 1.0, "coldPerS": 0.0}}
	for i := range shards {
		s := fmt.Sprintf("shard%d", i)
		all = append(all, s)
		services = append(services, map[string]any{"name": s, "maxConns": 60, "coldStartS": 1.0, "coldPerS": 0.0})
	}
	route := func(name, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": "soak.example", "prefix": "/" + name + "/", "routeKind": kind, "timeoutMs": 1500,
			"targetLatencyMs": 200, "maxAttempts": 2, "priority": 1, "service": "one",
		}
	}
	fanout := route("all", "idempotent")
	delete(fanout, "service")
	fanout["fanoutServices"], fanout["topK"], fanout["minShardShare"] = all, 10, 0.5
	w.store.Put("op/config", map[string]any{
		"version": w.version,
		"routes": []any{
			fanout, route("one", "idempotent"), route("once", "non_idempotent"),
			route(fmt.Sprintf("v%d", w.version), "idempotent"),
		},
		"services": services,
		"limits":   map[string]any{"maxBodyBytes": 100000, "idleTimeoutMs": 15000},
	})
	w.put = time.Now()
}

// Ports of hosts lie below those that the system gives to outgoing connections, so that a restarted process finds its own free.
const (
	firstPort = 23000
	lastPort  = 31000
)

var nextPort atomic.Int64

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

func (w *world) addHost(i int) {
	datacentre := []string{"a", "b", "c"}[i%3]
	h := &host{
		name:    fmt.Sprintf("h%d", i),
		file:    filepath.Join(w.dir, fmt.Sprintf("h%d.json", i)),
		log:     filepath.Join(w.dir, fmt.Sprintf("h%d.log", i)),
		callers: freePort(w.t),
		ready:   freePort(w.t),
	}
	settings, err := json.Marshal(map[string]any{
		"name": h.name, "region": datacentres[datacentre], "datacentre": datacentre, "datacentres": datacentres,
		"callers": h.callers, "ready": h.ready, "requests": freePort(w.t), "views": freePort(w.t),
		"metrics": freePort(w.t).Port(), "store": w.gateway.Address, "grace": grace.String(),
		"apply": applyBound.String(), "extra": budgetShare, "slack": budgetSlack,
	})
	require.NoError(w.t, err)
	require.NoError(w.t, os.WriteFile(h.file, settings, 0o600))
	w.hosts = append(w.hosts, h)
	w.start(h)
	w.t.Cleanup(func() { h.kill() })
}

// start starts a host's process, unless another harm has done so meanwhile.
func (w *world) start(h *host) {
	h.starting.Lock()
	defer h.starting.Unlock()
	if h.runs() {
		return
	}
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(w.t, err)
	cmd := exec.Command(w.program, "front", "--settings", h.file)
	cmd.Stdout, cmd.Stderr = out, out
	require.NoError(w.t, cmd.Start())
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cmd, h.ended = cmd, make(chan struct{})
	h.life++
	h.harmed, h.stopping = time.Now(), time.Time{}
	ended := h.ended
	go func() {
		// How the process ended is what the run brought about.
		_ = cmd.Wait()
		out.Close()
		close(ended)
	}()
}

func (h *host) runs() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended == nil {
		return false
	}
	select {
	case <-h.ended:
		return false
	default:
		return true
	}
}

// end returns what is closed when the process that runs now has ended.
func (h *host) end() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ended
}

// signal sends a signal to the process that was started here, if it still runs.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.ended:
	default:
		// A process that has just ended needs no signal.
		_ = h.cmd.Process.Signal(s)
	}
	switch s {
	case syscall.SIGTERM:
		if h.stopping.IsZero() {
			h.stopping = time.Now()
		}
	case syscall.SIGHUP:
	default:
		h.harmed = time.Now()
	}
}

func (h *host) kill() {
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	<-h.end()
}

// seen returns what is known of the process when a request begins.
func (h *host) seen() (life int, harmed, stopping time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.life, h.harmed, h.stopping
}

func (h *host) isReady() bool {
	r, err := (&http.Client{Timeout: 500 * time.Millisecond}).Get("http://" + h.ready.String() + "/api/ready")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// hurt notes a harm to everything but a single host, until the returned function ends it.
func (w *world) hurt() (end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.harm++
	w.harmed = time.Now()
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.harm--
		w.harmed = time.Now()
	}
}

// calmSince reports whether nothing but single hosts was harmed since a time.
func (w *world) calmSince(t time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.harm == 0 && w.harmed.Before(t)
}
