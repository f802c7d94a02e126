package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"kingcupcross/mock"
)

// regionOf holds the region of each data centre.
var regionOf = map[string]string{"caspian-aktau": "caspian", "aral-aralsk": "aral", "ili-bakanas": "ili"}

// hostNames lists the hosts with their data centres, as in the small deployment.
var hostNames = [][2]string{
	{"front-caspian-aktau-1", "caspian-aktau"},
	{"front-caspian-aktau-2", "caspian-aktau"},
	{"front-caspian-aktau-3", "caspian-aktau"},
	{"front-aral-aralsk-1", "aral-aralsk"},
	{"front-aral-aralsk-2", "aral-aralsk"},
	{"front-ili-bakanas-1", "ili-bakanas"},
	{"front-ili-bakanas-2", "ili-bakanas"},
}

// host is a process of the program in its front role.
type host struct {
	name, datacentre, settings string
	callers, ready             string
	cmd                        *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
}

// fleet is the store, the targets and the hosts of one run.
type fleet struct {
	dir    string
	store  *mock.Store
	server *httptest.Server
	hosts  []*host
	record *record
}

// record writes what happens to record.txt.
type record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	began time.Time
}

func newRecord(name string) (*record, error) {
	f, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &record{out: bufio.NewWriter(f), file: f, began: time.Now()}, nil
}

// add writes a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}

// freeAddress returns a loopback address with a port that is free and outside of the ephemeral range.
func freeAddress() string {
	for {
		port := 23000 + (nextPort+os.Getpid()*97)%8000
		nextPort++
		a := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", a)
		if err == nil {
			l.Close()
			return a
		}
	}
}

var nextPort int

// newFleet starts the store and writes the settings of the hosts.
func newFleet(r *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, store: mock.NewStore(), record: r}
	f.server = httptest.NewServer(f.store)
	for _, n := range hostNames {
		if _, err := f.addHost(n[0], n[1]); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// addHost writes the settings of a host.
func (f *fleet) addHost(name, datacentre string) (*host, error) {
	h := &host{
		name:       name,
		datacentre: datacentre,
		settings:   filepath.Join(f.dir, name+".json"),
		callers:    freeAddress(),
		ready:      freeAddress(),
	}
	text, err := json.Marshal(map[string]any{
		"name": h.name, "region": regionOf[h.datacentre], "datacentre": h.datacentre, "datacentres": regionOf,
		"callers": h.callers, "ready": h.ready, "requests": freeAddress(), "views": freeAddress(),
		"metrics": netip.MustParseAddrPort(freeAddress()).Port(), "cores": 0.4, "memory": "284MiB",
		"store": f.server.Listener.Addr().String(), "first": true, "grace": "6s", "apply": "3000ms", "leave": "3000ms", "out": "5000ms",
		"beat": "1200ms", "extra": 0.2, "slack": 54, "heat": 1.5, "margin": 5,
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(h.settings, text, 0o600); err != nil {
		return nil, err
	}
	f.hosts = append(f.hosts, h)
	return h, nil
}

// start starts a host's process with the command of the deploy file.
func (f *fleet) start(h *host) error {
	out, err := os.OpenFile(filepath.Join(f.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.cmd = exec.Command("target/kingcupcross", "front", "--settings", h.settings)
	h.cmd.Stdout, h.cmd.Stderr = out, out
	h.exited = make(chan struct{})
	if err := h.cmd.Start(); err != nil {
		return err
	}
	go func(c *exec.Cmd, done chan struct{}) {
		c.Wait()
		out.Close()
		close(done)
	}(h.cmd, h.exited)
	return nil
}

// startAll starts all hosts and waits until they are ready.
func (f *fleet) startAll() error {
	for _, h := range f.hosts {
		if err := f.start(h); err != nil {
			return err
		}
	}
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		missing := 0
		for _, h := range f.hosts {
			if !h.isReady() {
				missing++
			}
		}
		if missing == 0 {
			f.record.add("all %d hosts are ready", len(f.hosts))
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d hosts are not ready", missing)
		}
	}
}

// isReady asks the host as the platform does.
func (h *host) isReady() bool {
	r, err := (&http.Client{Timeout: time.Second}).Get("http://" + h.ready + "/api/ready")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// stop ends all processes and removes the folder. With KEEP set, the folder stays.
func (f *fleet) stop() {
	for _, h := range f.hosts {
		if h.cmd != nil && h.cmd.Process != nil {
			h.cmd.Process.Signal(syscall.SIGCONT)
			h.cmd.Process.Kill()
			<-h.exited
		}
	}
	f.server.CloseClientConnections()
	f.server.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	}
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// client sends requests over connections of its own, one request at a time on each.
type client struct {
	http *http.Client
}

// newClient returns a client that keeps its connections open if keep is set.
func newClient(keep bool) *client {
	return &client{http: &http.Client{
		Transport: &http.Transport{DisableKeepAlives: !keep, DisableCompression: true, MaxIdleConnsPerHost: 4},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}}
}

// send sends one request to an address and returns the complete answer.
func (c *client) send(address, method, path, id string, body []byte, deadline time.Duration) (*answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	var in io.Reader
	if body != nil {
		in = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, in)
	if err != nil {
		return nil, err
	}
	req.Host = "review.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	return &answer{status: resp.StatusCode, header: resp.Header, body: b}, nil
}

// route returns a route of the configuration to a single service.
func route(name, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "host": "review.example", "prefix": "/" + name + "/", "routeKind": kind, "timeoutMs": 3000,
		"targetLatencyMs": 300, "maxAttempts": 2, "priority": 2, "service": service, "allowedRegions": []string{},
	}
}

// service returns a service of the configuration.
func service(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConns": 49, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 0.0}
}

// configure writes a version of the configuration.
func (f *fleet) configure(version int, services []string, routes ...map[string]any) {
	var all []map[string]any
	for _, s := range services {
		all = append(all, service(s))
	}
	f.store.Put("op/config", map[string]any{
		"version": version, "routes": routes, "services": all,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	f.record.add("store acknowledges version %d", version)
}

// register writes the entry of a target.
func (f *fleet) register(id, service, address, datacentre, state string, seq int, born time.Time) {
	f.store.Put("servers/"+id, map[string]any{
		"service": service, "address": address, "zone": datacentre, "version": "v1", "slots": 6,
		"state": state, "coldRemainingMs": 0, "seq": seq, "born": born.UnixMilli(),
	})
	f.record.add("store acknowledges %s of %s as %s", id, service, state)
}

// trouble reports whether the run includes the disruption.
func trouble() bool { return strings.TrimSpace(os.Getenv("TROUBLE")) != "0" }
