package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"kingcupcross/mock"
)

// Bounds of a small deployment, as its settings state them.
const (
	stableWindow = 5 * time.Second
	heartbeat    = 1200 * time.Millisecond
)

// place is a data centre with its region and its number of hosts.
type place struct {
	datacentre, region string
	hosts              int
}

// places are those of the deployment saltlade-soeg.
var places = []place{
	{datacentre: "aarhus-a", region: "jylland", hosts: 4},
	{datacentre: "odense-a", region: "fyn", hosts: 3},
	{datacentre: "roskilde-a", region: "sjaelland", hosts: 2},
}

// host is one process of the program under review.
type host struct {
	name, ip     string
	callers      string
	ready        string
	settingsFile string
	logFile      string
	cmd          *exec.Cmd
	exited       chan struct{}
	status       error
}

// fleet is the deployment of one run.
type fleet struct {
	*record
	program string
	dir     string
	store   *mock.Store
	address string
	hosts   []*host
	server  *http.Server
	version uint64
}

// newFleet starts the platform's store and writes the settings of the hosts.
func newFleet(program, dir string, r *record) (*fleet, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		record:  r,
		program: program,
		dir:     dir,
		store:   mock.NewStore(),
		address: l.Addr().String(),
		version: 3,
	}
	f.server = &http.Server{Handler: f.store}
	go f.server.Serve(l)
	n := 0
	for _, p := range places {
		for i := range p.hosts {
			n++
			if err := f.addHost(fmt.Sprintf("front-%s-%d", p.datacentre, i+1), hostIP(n), p); err != nil {
				return nil, err
			}
		}
	}
	return f, nil
}

// hostIP returns a loopback address of this run's own for a host, since all hosts have the same metrics port by default.
func hostIP(n int) string {
	run := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+run/250%250, 1+run%250, n)
}

// freePort returns a port that nothing listens at.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// addHost writes the settings that deploy/settings.jsonc makes of the platform's. Only the metrics port is added.
func (f *fleet) addHost(name, ip string, p place) error {
	var ports [5]int
	for i := range ports {
		port, err := freePort(ip)
		if err != nil {
			return err
		}
		ports[i] = port
	}
	at := func(i int) string { return fmt.Sprintf("%s:%d", ip, ports[i]) }
	regions := map[string]string{}
	for _, p := range places {
		regions[p.datacentre] = p.region
	}
	settings, err := json.Marshal(map[string]any{
		"name": name, "region": p.region, "datacentre": p.datacentre, "datacentres": regions,
		"callers": at(0), "ready": at(1), "requests": at(2), "views": at(3), "metrics": ports[4],
		"cores": 0.4, "memory": "284MiB", "store": f.address, "first": true,
		"grace": "6s", "apply": "3000ms", "leave": "3000ms", "out": "5000ms", "beat": "1200ms",
		"extra": 0.2, "slack": 58, "heat": 1.5, "margin": 5,
	})
	if err != nil {
		return err
	}
	h := &host{
		name:         name,
		ip:           ip,
		callers:      at(0),
		ready:        at(1),
		settingsFile: filepath.Join(f.dir, name+".jsonc"),
		logFile:      filepath.Join(f.dir, name+".log"),
	}
	f.hosts = append(f.hosts, h)
	return os.WriteFile(h.settingsFile, settings, 0o644)
}

// start starts the process of a host with the command of the deploy file.
func (f *fleet) start(h *host) error {
	out, err := os.OpenFile(h.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	h.cmd = exec.Command(f.program, "front", "--settings", h.settingsFile)
	h.cmd.Stdout, h.cmd.Stderr = out, out
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "KINGCUPCROSS_BOOT=" + h.settingsFile}
	// The process ends with this program, however that ends.
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		h.status = cmd.Wait()
		close(exited)
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
	until := time.Now().Add(15 * time.Second)
	for _, h := range f.hosts {
		for !h.isReady() {
			if time.Now().After(until) {
				return errors.New("host " + h.name + " isn't ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.say("%d hosts are ready", len(f.hosts))
	return nil
}

// isReady asks the balancer's question.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.ready + "/api/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// running reports whether the host's process runs.
func (h *host) running() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// stop ends all processes that the run has started.
func (f *fleet) stop() {
	for _, h := range f.hosts {
		if h.cmd != nil && h.running() {
			h.cmd.Process.Kill()
			<-h.exited
		}
	}
	f.server.Close()
}

// service is a service of the configuration.
type service struct {
	name     string
	conns    int
	coldPerS float64
}

// configure writes the operator's configuration.
func (f *fleet) configure(routes []map[string]any, services ...service) {
	f.version += 2
	var all []map[string]any
	for _, s := range services {
		all = append(all, map[string]any{
			"name": s.name, "healthPath": "/health", "maxConns": s.conns, "protocol": "h1", "tls": false,
			"coldStartS": 3.0, "coldPerS": s.coldPerS,
		})
	}
	f.store.Put("op/config", map[string]any{
		"version": f.version, "routes": routes, "services": all,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// singleRoute is a route to one service.
func singleRoute(prefix, service, kind string) map[string]any {
	return map[string]any{
		"name": "r-" + service, "host": callersHost, "prefix": prefix, "routeKind": kind, "timeoutMs": 2500, "targetLatencyMs": 400,
		"priority": 2, "service": service, "maxAttempts": 2, "allowedRegions": []string{},
	}
}

// callersHost is the Host header of callers' requests.
const callersHost = "pupu76.example"
