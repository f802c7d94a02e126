package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/apiv1"
	"kingcupcross/conf"
	"kingcupcross/emul"
	"kingcupcross/units"
)

const (
	testService = "dispatch"
	testShards  = 24
	testTargets = 6
	// patience ends a wait whose event never comes; no verdict depends on how soon it comes.
	patience = 2 * time.Minute
	poll     = 50 * time.Millisecond
)

// fleet is a platform, hosts and targets, each a process of its own.
type fleet struct {
	t        *testing.T
	dir      string
	platform netip.AddrPort
	hosts    map[string]*conf.Host
	targets  map[string]netip.AddrPort
	running  map[string]*exec.Cmd
}

// withFleet builds the programs, starts all processes, runs f once every host sees all others, and ends what still runs.
func withFleet(t *testing.T, f func(*fleet)) {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	l := emul.Layout{
		Places: []emul.Place{
			{Region: "jylland", Datacentre: "aarhus"},
			{Region: "fyn", Datacentre: "odense"},
			{Region: "sjaelland", Datacentre: "roskilde"},
		},
		Hosts:   2,
		Targets: testTargets,
		Shards:  testShards,
		Service: testService,
		Port:    freePorts(t, 40),
		Slots:   3,
		Conns:   100,
		Median:  units.Duration(3 * time.Millisecond),
	}
	fl := &fleet{
		t:       t,
		dir:     t.TempDir(),
		hosts:   map[string]*conf.Host{},
		targets: map[string]netip.AddrPort{},
		running: map[string]*exec.Cmd{},
	}
	require.NoError(t, l.Write(fl.dir))
	fl.build()
	t.Cleanup(fl.end)
	fl.startAll()
	f(fl)
	fl.requireBorne()
}

// freePorts returns the first of n ports on loopback that are free now.
func freePorts(t *testing.T, n int) int {
	t.Helper()
	for first := 23000; first < 30000; first += n {
		if allFree(first, n) {
			return first
		}
	}
	t.Fatal("no free ports on loopback")
	return 0
}

func allFree(first, n int) bool {
	for p := first; p < first+n; p++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

func (f *fleet) build() {
	out, err := exec.Command("go", "build", "-o", f.dir+"/", "kingcupcross/cmd/kingcupcross", "kingcupcross/cmd/standin").CombinedOutput()
	require.NoError(f.t, err, string(out))
}

func (f *fleet) start(name, program string, args ...string) {
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	require.NoError(f.t, err)
	c := exec.Command(filepath.Join(f.dir, program), args...)
	c.Stdout, c.Stderr = log, log
	require.NoError(f.t, c.Start())
	f.running[name] = c
}

func (f *fleet) startAll() {
	f.start("platform", "standin", "platform", "--settings", filepath.Join(f.dir, "platform.json"))
	f.platform = f.readPlatform().Address
	for _, file := range f.files("targets") {
		var t emul.TargetFile
		f.decode(file, &t)
		f.targets[t.Name] = t.Address
		f.start(t.Name, "standin", "target", "--settings", file)
	}
	for _, file := range f.files("hosts") {
		h, err := conf.LoadHost(file)
		require.NoError(f.t, err)
		f.hosts[h.Name] = h
		f.startHost(h.Name)
	}
	f.await("settings put", func() bool {
		return f.run("settings", "put", "--platform", f.platform.String(), "--reason", "test", "--author", "test", "../../_fixtures/saltlade.jsonc") == nil
	})
	for name := range f.hosts {
		f.await(name+" to see all hosts", func() bool { return f.alive(name) == len(f.hosts) })
	}
}

func (f *fleet) startHost(name string) {
	f.start(name, "kingcupcross", "host", "--settings", filepath.Join(f.dir, "hosts", name+".json"))
}

func (f *fleet) readPlatform() (p emul.PlatformFile) {
	f.decode(filepath.Join(f.dir, "platform.json"), &p)
	return p
}

func (f *fleet) decode(file string, into any) {
	text, err := os.ReadFile(file)
	require.NoError(f.t, err)
	require.NoError(f.t, json.Unmarshal(text, into))
}

func (f *fleet) files(kind string) []string {
	all, err := filepath.Glob(filepath.Join(f.dir, kind, "*.json"))
	require.NoError(f.t, err)
	return all
}

// end kills what still runs, each process by its id.
func (f *fleet) end() {
	for name, c := range f.running {
		c.Process.Kill()
		c.Wait()
		if f.t.Failed() {
			f.showLog(name)
		}
	}
}

func (f *fleet) showLog(name string) {
	const tail = 2000
	text, err := os.ReadFile(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return
	}
	f.t.Logf("%s: %s", name, text[max(0, len(text)-tail):])
}

func (f *fleet) signal(name string, s syscall.Signal) {
	require.NoError(f.t, f.running[name].Process.Signal(s))
}

// kill ends a process without warning.
func (f *fleet) kill(name string) {
	f.signal(name, syscall.SIGKILL)
	f.running[name].Wait()
	delete(f.running, name)
}

func (f *fleet) run(args ...string) error {
	out, err := exec.Command(filepath.Join(f.dir, "kingcupcross"), args...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return nil
}

func (f *fleet) await(what string, ready func() bool) {
	f.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(poll) {
		if ready() {
			return
		}
	}
	f.t.Fatalf("gave up waiting for %s", what)
}

func (f *fleet) status(name string) (s apiv1.Status, err error) {
	resp, err := http.Get("http://" + f.hosts[name].Admin.String() + apiv1.PathStatus)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// alive returns the number of living hosts that a ready host sees.
func (f *fleet) alive(name string) int {
	s, err := f.status(name)
	if err != nil || !s.Ready {
		return 0
	}
	n := 0
	for _, p := range s.Peers {
		if p.Phase == "alive" {
			n++
		}
	}
	return n
}

// post sends one request; the failure is empty where the answer is good.
func (f *fleet) post(host, path string, in, out any) (apiv1.Failure, error) {
	body, err := json.Marshal(in)
	require.NoError(f.t, err)
	resp, err := http.Post("http://"+f.hosts[host].Callers.String()+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return apiv1.Failure{}, err
	}
	defer resp.Body.Close()
	var failure apiv1.Failure
	if resp.StatusCode != http.StatusOK {
		return failure, json.NewDecoder(resp.Body).Decode(&failure)
	}
	return failure, json.NewDecoder(resp.Body).Decode(out)
}

// query asks all shards and checks each part of the answer and its label.
func (f *fleet) query(host, text string) (a apiv1.Answer, failure apiv1.Failure, err error) {
	coverage := 0.0
	failure, err = f.post(host, apiv1.PathQuery, apiv1.Query{
		Service:  testService,
		Payload:  []byte(text),
		Class:    apiv1.DefaultClass,
		Coverage: &coverage,
		Deadline: units.Duration(2 * time.Second),
	}, &a)
	if err != nil || failure.Kind != "" {
		return a, failure, err
	}
	require.Equal(f.t, testShards, a.Shards)
	require.Equal(f.t, a.Answered, len(a.Parts))
	require.Equal(f.t, a.Shards-a.Answered, len(a.Missing))
	for _, p := range a.Parts {
		require.Equal(f.t, string(emul.Payload(testService, a.Snapshot, p.Shard, []byte(text))), string(p.Payload))
	}
	return a, failure, nil
}

func (f *fleet) whole(host, text string) bool {
	a, _, err := f.query(host, text)
	return err == nil && a.Shards > 0 && a.Answered == a.Shards
}

func (f *fleet) witness(target string) (w emul.Witness) {
	resp, err := http.Get("http://" + f.targets[target].String() + emul.PathWitness)
	require.NoError(f.t, err)
	defer resp.Body.Close()
	require.NoError(f.t, json.NewDecoder(resp.Body).Decode(&w))
	return w
}

// runs returns how often the orders ran in all, by id.
// requireBorne checks that no target got more than it bore, whatever happened to the hosts.
func (f *fleet) requireBorne() {
	for name := range f.targets {
		if f.running[name] != nil {
			require.Zero(f.t, f.witness(name).Excess, name)
		}
	}
}

func (f *fleet) runs() map[string]int {
	all := map[string]int{}
	for name := range f.targets {
		if f.running[name] == nil {
			continue
		}
		for id, n := range f.witness(name).Runs {
			all[id] += n
		}
	}
	return all
}

// bound requires that no target has had more work than it bore.
func (f *fleet) bound() {
	for name := range f.targets {
		if f.running[name] != nil {
			require.Zero(f.t, f.witness(name).Excess, "requests beyond what %s bore", name)
		}
	}
}

// load sends queries to a host from several callers until the returned function is called.
func (f *fleet) load(host string) (stop func()) {
	const callers = 8
	var group sync.WaitGroup
	var ended atomic.Bool
	url := "http://" + f.hosts[host].Callers.String() + apiv1.PathQuery
	for range callers {
		group.Go(func() {
			for !ended.Load() {
				resp, err := http.Post(url, "application/json", strings.NewReader(`{"service": "`+testService+`"}`))
				if err == nil {
					resp.Body.Close()
				}
			}
		})
	}
	return func() {
		ended.Store(true)
		group.Wait()
	}
}

func (f *fleet) storeFaults(faults emul.StoreFaults) {
	body, err := json.Marshal(faults)
	require.NoError(f.t, err)
	resp, err := http.Post("http://"+f.platform.String()+emul.PathFaults, "application/json", bytes.NewReader(body))
	require.NoError(f.t, err)
	resp.Body.Close()
}

func TestProcessesSurviveTheLossOfAHost(t *testing.T) {
	withFleet(t, func(f *fleet) {
		defer f.bound()
		defer f.load("roskilde-h2")()
		f.await("a whole answer", func() bool { return f.whole("aarhus-h1", "before") })
		f.kill("aarhus-h2")
		f.kill("odense-h1")
		f.await("a whole answer without the two hosts", func() bool { return f.whole("roskilde-h1", "after") })
		f.startHost("aarhus-h2")
		f.await("the new process to be seen", func() bool { return f.alive("roskilde-h1") == len(f.hosts)-1 })
		f.await("a whole answer from the new process", func() bool { return f.whole("aarhus-h2", "again") })
	})
}

func TestProcessesSurviveAFrozenHost(t *testing.T) {
	withFleet(t, func(f *fleet) {
		defer f.bound()
		defer f.load("roskilde-h2")()
		f.signal("odense-h1", syscall.SIGSTOP)
		f.await("a whole answer beside the frozen host", func() bool { return f.whole("aarhus-h1", "frozen") })
		f.await("the frozen host to be missed", func() bool { return f.alive("aarhus-h1") < len(f.hosts) })
		f.signal("odense-h1", syscall.SIGCONT)
		f.await("the host to rejoin", func() bool { return f.alive("aarhus-h1") == len(f.hosts) })
		f.await("a whole answer from the host that was frozen", func() bool { return f.whole("odense-h1", "back") })
	})
}

func TestProcessesServeWhileThePlatformIsDown(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.storeFaults(emul.StoreFaults{Down: true})
		f.await("a whole answer", func() bool { return f.whole("aarhus-h1", "down") })
		f.kill("aarhus-h2")
		f.kill("platform")
		f.await("a whole answer without platform and host", func() bool { return f.whole("odense-h2", "down") })
	})
}

func TestProcessesRunAnOrderOnceWhateverIsKilled(t *testing.T) {
	withFleet(t, func(f *fleet) {
		var minted apiv1.Minted
		failure, err := f.post("aarhus-h1", apiv1.PathTickets, apiv1.Tickets{Count: 20}, &minted)
		require.NoError(t, err)
		require.Empty(t, failure.Kind)
		for i, ticket := range minted.Tickets {
			if i == len(minted.Tickets)/2 {
				f.kill("aarhus-h1")
			}
			f.orderEverywhere(ticket, i%testShards)
		}
		for id, n := range f.runs() {
			require.LessOrEqual(t, n, 1, "order %s", id)
		}
	})
}

// orderEverywhere sends one order to each host that runs and checks that the answers don't contradict each other.
func (f *fleet) orderEverywhere(ticket string, shard int) {
	var outcomes []string
	refused := 0
	for name := range f.hosts {
		if f.running[name] == nil {
			continue
		}
		var o apiv1.Outcome
		failure, err := f.post(name, apiv1.PathOrder, apiv1.Order{
			Service:  testService,
			Shard:    shard,
			Payload:  []byte("reserve"),
			Ticket:   ticket,
			Class:    apiv1.DefaultClass,
			Deadline: units.Duration(2 * time.Second),
		}, &o)
		require.NoError(f.t, err)
		if failure.Kind == "" {
			outcomes = append(outcomes, string(o.Payload))
		}
		if failure.NotRun {
			refused++
		}
	}
	for _, o := range outcomes {
		require.Equal(f.t, outcomes[0], o)
	}
	if runs := f.runs(); runs[ticket] > 0 && len(outcomes) == 0 {
		require.Zero(f.t, refused, "not run was said of an order that ran: %s", strings.Join(outcomes, ", "))
	}
}
