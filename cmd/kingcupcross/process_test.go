package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
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
	// waitTimeout fails a test whose awaited event never occurs. It is generous, since no test checks how soon events occur.
	waitTimeout  = 2 * time.Minute
	pollInterval = 50 * time.Millisecond
)

// cluster holds an emulated platform, hosts and emulated targets, each running as its own process.
type cluster struct {
	t        *testing.T
	dir      string
	platform netip.AddrPort
	hosts    map[string]*conf.Host
	targets  map[string]netip.AddrPort
	running  map[string]*exec.Cmd
}

// withCluster builds the programs, starts all processes, runs f once every host sees all others, and kills the processes that still run when the test ends.
func withCluster(t *testing.T, f func(*cluster)) {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	layout := emul.Layout{
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
	c := &cluster{
		t:       t,
		dir:     t.TempDir(),
		hosts:   map[string]*conf.Host{},
		targets: map[string]netip.AddrPort{},
		running: map[string]*exec.Cmd{},
	}
	require.NoError(t, layout.WriteSettings(c.dir))
	c.buildPrograms()
	t.Cleanup(c.killAll)
	c.startAllProcesses()
	f(c)
	c.requireNoExcess()
}

// freePorts returns the first of n consecutive ports on loopback that are currently free.
func freePorts(t *testing.T, n int) int {
	t.Helper()
	for first := 23000; first < 30000; first += n {
		if allPortsFree(first, n) {
			return first
		}
	}
	t.Fatal("no free ports on loopback")
	return 0
}

// allPortsFree reports whether n ports on loopback, starting with first, can be listened on.
func allPortsFree(first, n int) bool {
	for p := first; p < first+n; p++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

// buildPrograms builds kingcupcross and standin in the cluster's directory.
func (c *cluster) buildPrograms() {
	out, err := exec.Command("go", "build", "-o", c.dir+"/", "kingcupcross/cmd/kingcupcross", "kingcupcross/cmd/standin").CombinedOutput()
	require.NoError(c.t, err, string(out))
}

// startProcess starts a program whose output goes to a log file named after the process.
func (c *cluster) startProcess(name, program string, args ...string) {
	log, err := os.Create(filepath.Join(c.dir, name+".log"))
	require.NoError(c.t, err)
	cmd := exec.Command(filepath.Join(c.dir, program), args...)
	cmd.Stdout, cmd.Stderr = log, log
	require.NoError(c.t, cmd.Start())
	c.running[name] = cmd
}

// startAllProcesses starts the platform, the targets and the hosts, puts the settings and waits until every host sees all others.
func (c *cluster) startAllProcesses() {
	c.startProcess("platform", "standin", "platform", "--settings", filepath.Join(c.dir, "platform.json"))
	c.platform = c.readPlatform().Address
	for _, file := range c.settingsFiles("targets") {
		var t emul.TargetFile
		c.decode(file, &t)
		c.targets[t.Name] = t.Address
		c.startProcess(t.Name, "standin", "target", "--settings", file)
	}
	for _, file := range c.settingsFiles("hosts") {
		h, err := conf.LoadHost(file)
		require.NoError(c.t, err)
		c.hosts[h.Name] = h
		c.startHost(h.Name)
	}
	c.waitFor("the settings to be put", func() bool {
		return c.runCommand("settings", "put", "--platform", c.platform.String(), "--reason", "test", "--author", "test", "../../_fixtures/saltlade.jsonc") == nil
	})
	for name := range c.hosts {
		c.waitFor(name+" to see all hosts", func() bool { return c.countAlive(name) == len(c.hosts) })
	}
}

// startHost starts the process of a host from its settings file.
func (c *cluster) startHost(name string) {
	c.startProcess(name, "kingcupcross", "host", "--settings", filepath.Join(c.dir, "hosts", name+".json"))
}

// readPlatform reads the platform's settings file.
func (c *cluster) readPlatform() (p emul.PlatformFile) {
	c.decode(filepath.Join(c.dir, "platform.json"), &p)
	return p
}

// decode decodes a JSON file.
func (c *cluster) decode(file string, into any) {
	text, err := os.ReadFile(file)
	require.NoError(c.t, err)
	require.NoError(c.t, json.Unmarshal(text, into))
}

// settingsFiles returns the settings files in a subdirectory: hosts or targets.
func (c *cluster) settingsFiles(kind string) []string {
	all, err := filepath.Glob(filepath.Join(c.dir, kind, "*.json"))
	require.NoError(c.t, err)
	return all
}

// killAll kills the processes that still run, each by its id, and shows their logs if the test failed.
func (c *cluster) killAll() {
	for name, cmd := range c.running {
		cmd.Process.Kill()
		cmd.Wait()
		if c.t.Failed() {
			c.showLog(name)
		}
	}
}

// showLog adds the end of a process's log to the test's log.
func (c *cluster) showLog(name string) {
	const maxBytes = 2000
	text, err := os.ReadFile(filepath.Join(c.dir, name+".log"))
	if err != nil {
		return
	}
	c.t.Logf("%s: %s", name, text[max(0, len(text)-maxBytes):])
}

// signal sends a signal to a process.
func (c *cluster) signal(name string, s syscall.Signal) {
	require.NoError(c.t, c.running[name].Process.Signal(s))
}

// kill kills a process with SIGKILL and waits for its end.
func (c *cluster) kill(name string) {
	c.signal(name, syscall.SIGKILL)
	c.running[name].Wait()
	delete(c.running, name)
}

// runCommand runs a kingcupcross command and returns an error with its output if it fails.
func (c *cluster) runCommand(args ...string) error {
	out, err := exec.Command(filepath.Join(c.dir, "kingcupcross"), args...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return nil
}

// waitFor polls until ready returns true and fails the test after waitTimeout.
func (c *cluster) waitFor(event string, ready func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if ready() {
			return
		}
	}
	c.t.Fatalf("timed out waiting for %s; processes: %s", event, c.processStates())
}

// processStates describes which processes run, are stopped or have ended.
func (c *cluster) processStates() string {
	var states []string
	for _, name := range slices.Sorted(maps.Keys(c.running)) {
		var status syscall.WaitStatus
		pid, err := syscall.Wait4(c.running[name].Process.Pid, &status, syscall.WNOHANG|syscall.WUNTRACED, nil)
		state := "runs"
		switch {
		case err != nil:
			state = err.Error()
		case pid == 0:
		case status.Stopped():
			state = "stopped by " + status.StopSignal().String()
		case status.Signaled():
			state = "ended by " + status.Signal().String()
		case status.Exited():
			state = fmt.Sprint("exited with ", status.ExitStatus())
		}
		states = append(states, name+" "+state)
	}
	return strings.Join(states, ", ")
}

// status reads a host's status from its operator interface.
func (c *cluster) status(name string) (s apiv1.Status, err error) {
	resp, err := http.Get("http://" + c.hosts[name].Admin.String() + apiv1.PathStatus)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// countAlive returns the number of hosts that a host sees as alive, or 0 if the host doesn't answer or isn't ready.
func (c *cluster) countAlive(name string) int {
	s, err := c.status(name)
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

// post sends one request to a host as a caller and decodes the answer into out. The failure is empty if the host answered with status 200.
func (c *cluster) post(host, path string, in, out any) (apiv1.Failure, error) {
	body, err := json.Marshal(in)
	require.NoError(c.t, err)
	resp, err := http.Post("http://"+c.hosts[host].Callers.String()+path, "application/json", bytes.NewReader(body))
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

// queryAllShards sends a query that accepts any coverage, and checks the answer's counts and the payload of each part. The failure is empty if the query was answered.
func (c *cluster) queryAllShards(host, text string) (a apiv1.Answer, failure apiv1.Failure, err error) {
	coverage := 0.0
	failure, err = c.post(host, apiv1.PathQuery, apiv1.Query{
		Service:  testService,
		Payload:  []byte(text),
		Class:    apiv1.DefaultClass,
		Coverage: &coverage,
		Deadline: units.Duration(2 * time.Second),
	}, &a)
	if err != nil || failure.Kind != "" {
		return a, failure, err
	}
	require.Equal(c.t, testShards, a.Shards)
	require.Equal(c.t, a.Answered, len(a.Parts))
	require.Equal(c.t, a.Shards-a.Answered, len(a.Missing))
	for _, p := range a.Parts {
		require.Equal(c.t, string(emul.PartPayload(testService, a.Snapshot, p.Shard, []byte(text))), string(p.Payload))
	}
	return a, failure, nil
}

// allShardsAnswer reports whether a query is answered by all shards.
func (c *cluster) allShardsAnswer(host, text string) bool {
	a, _, err := c.queryAllShards(host, text)
	return err == nil && a.Shards > 0 && a.Answered == a.Shards
}

// targetStats reads an emulated target's own counts of the requests and orders that it received.
func (c *cluster) targetStats(target string) (s emul.TargetStats) {
	resp, err := http.Get("http://" + c.targets[target].String() + emul.PathStats)
	require.NoError(c.t, err)
	defer resp.Body.Close()
	require.NoError(c.t, json.NewDecoder(resp.Body).Decode(&s))
	return s
}

// requireNoExcess requires that no running target refused a request because all of its slots were taken, whatever happened to the hosts.
func (c *cluster) requireNoExcess() {
	for name := range c.targets {
		if c.running[name] != nil {
			require.Zero(c.t, c.targetStats(name).Excess, name)
		}
	}
}

// orderRuns returns how often each order ran at all running targets together, by the order's id.
func (c *cluster) orderRuns() map[string]int {
	all := map[string]int{}
	for name := range c.targets {
		if c.running[name] == nil {
			continue
		}
		for id, n := range c.targetStats(name).Runs {
			all[id] += n
		}
	}
	return all
}

// requireNoExcessUnderLoad requires the same as requireNoExcess right after the load of a test has ended.
func (c *cluster) requireNoExcessUnderLoad() {
	for name := range c.targets {
		if c.running[name] != nil {
			require.Zero(c.t, c.targetStats(name).Excess, "requests beyond the limit of %s", name)
		}
	}
}

// startLoad sends queries to a host from several callers until the returned function is called; it ignores the answers.
func (c *cluster) startLoad(host string) (stop func()) {
	const callers = 8
	var group sync.WaitGroup
	var stopped atomic.Bool
	url := "http://" + c.hosts[host].Callers.String() + apiv1.PathQuery
	for range callers {
		group.Go(func() {
			for !stopped.Load() {
				resp, err := http.Post(url, "application/json", strings.NewReader(`{"service": "`+testService+`"}`))
				if err == nil {
					resp.Body.Close()
				}
			}
		})
	}
	return func() {
		stopped.Store(true)
		group.Wait()
	}
}

// setStoreFaults sets the faults of the platform's store.
func (c *cluster) setStoreFaults(faults emul.StoreFaults) {
	body, err := json.Marshal(faults)
	require.NoError(c.t, err)
	resp, err := http.Post("http://"+c.platform.String()+emul.PathFaults, "application/json", bytes.NewReader(body))
	require.NoError(c.t, err)
	resp.Body.Close()
}

// TestProcessesSurviveTheLossOfAHost kills two hosts under load and restarts one. Queries must again be answered by all shards.
func TestProcessesSurviveTheLossOfAHost(t *testing.T) {
	withCluster(t, func(c *cluster) {
		defer c.requireNoExcessUnderLoad()
		defer c.startLoad("roskilde-h2")()
		c.waitFor("an answer from all shards", func() bool { return c.allShardsAnswer("aarhus-h1", "before") })
		c.kill("aarhus-h2")
		c.kill("odense-h1")
		c.waitFor("an answer from all shards without the two hosts", func() bool { return c.allShardsAnswer("roskilde-h1", "after") })
		c.startHost("aarhus-h2")
		c.waitFor("the new process to be seen", func() bool { return c.countAlive("roskilde-h1") == len(c.hosts)-1 })
		c.waitFor("an answer from all shards by the new process", func() bool { return c.allShardsAnswer("aarhus-h2", "again") })
	})
}

// TestProcessesSurviveAFrozenHost stops a host with SIGSTOP under load and resumes it. The others must answer without it, and it must rejoin.
func TestProcessesSurviveAFrozenHost(t *testing.T) {
	withCluster(t, func(c *cluster) {
		defer c.requireNoExcessUnderLoad()
		defer c.startLoad("roskilde-h2")()
		c.signal("odense-h1", syscall.SIGSTOP)
		c.waitFor("an answer from all shards without the frozen host", func() bool { return c.allShardsAnswer("aarhus-h1", "frozen") })
		c.waitFor("the frozen host to be detected", func() bool { return c.countAlive("aarhus-h1") < len(c.hosts) })
		c.signal("odense-h1", syscall.SIGCONT)
		c.waitFor("the host to rejoin", func() bool { return c.countAlive("aarhus-h1") == len(c.hosts) })
		c.waitFor("an answer from all shards by the resumed host", func() bool { return c.allShardsAnswer("odense-h1", "back") })
	})
}

// TestProcessesServeWhileThePlatformIsDown checks that hosts answer without the platform's store, also after another host is lost.
func TestProcessesServeWhileThePlatformIsDown(t *testing.T) {
	withCluster(t, func(c *cluster) {
		c.setStoreFaults(emul.StoreFaults{Down: true})
		c.waitFor("an answer from all shards", func() bool { return c.allShardsAnswer("aarhus-h1", "down") })
		c.kill("aarhus-h2")
		c.kill("platform")
		c.waitFor("an answer from all shards without platform and host", func() bool { return c.allShardsAnswer("odense-h2", "down") })
	})
}

// TestProcessesRunAnOrderOnceWhateverIsKilled repeats orders at all hosts while the host that minted their tickets is killed. No order may run twice.
func TestProcessesRunAnOrderOnceWhateverIsKilled(t *testing.T) {
	withCluster(t, func(c *cluster) {
		var minted apiv1.TicketsResponse
		failure, err := c.post("aarhus-h1", apiv1.PathTickets, apiv1.TicketsRequest{Count: 20}, &minted)
		require.NoError(t, err)
		require.Empty(t, failure.Kind)
		for i, ticket := range minted.Tickets {
			if i == len(minted.Tickets)/2 {
				c.kill("aarhus-h1")
			}
			c.sendOrderToAllHosts(ticket, i%testShards)
		}
		for id, n := range c.orderRuns() {
			require.LessOrEqual(t, n, 1, "order %s", id)
		}
	})
}

// sendOrderToAllHosts sends the same order to each running host. It requires that all outcomes are equal and that, if the order ran but no host returned its outcome, no host reported it as not run.
func (c *cluster) sendOrderToAllHosts(ticket string, shard int) {
	var outcomes []string
	notRun := 0
	for name := range c.hosts {
		if c.running[name] == nil {
			continue
		}
		var o apiv1.Outcome
		failure, err := c.post(name, apiv1.PathOrder, apiv1.Order{
			Service:  testService,
			Shard:    shard,
			Payload:  []byte("reserve"),
			Ticket:   ticket,
			Class:    apiv1.DefaultClass,
			Deadline: units.Duration(2 * time.Second),
		}, &o)
		require.NoError(c.t, err)
		if failure.Kind == "" {
			outcomes = append(outcomes, string(o.Payload))
		}
		if failure.NotRun {
			notRun++
		}
	}
	for _, o := range outcomes {
		require.Equal(c.t, outcomes[0], o)
	}
	if runs := c.orderRuns(); runs[ticket] > 0 && len(outcomes) == 0 {
		require.Zero(c.t, notRun, "an order that ran was reported as not run: %s", strings.Join(outcomes, ", "))
	}
}
