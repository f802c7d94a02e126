package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// fleet is a small deployment on loopback: the store, targets in this process, and hosts as processes of the deploy file.
type fleet struct {
	folder  string
	program string
	record  *os.File
	began   time.Time
	store   *store
	// storeAt is the store's address; behindAt is that of a replica whose stale reads are older by staleAge.
	storeAt, behindAt netip.AddrPort
	targets           []*target
	hosts             []*host
	judge             *judge
	// silentEnds is set if targets that a request crashes send nothing any more, instead of resetting their connections.
	silentEnds bool

	mu sync.Mutex
}

// host is one process of the role.
type host struct {
	name, zone, region             string
	callers, ready, requests, view netip.AddrPort
	metrics                        uint16
	// store is the address at which the host calls the store.
	store    netip.AddrPort
	settings string
	command  *exec.Cmd
	exited   chan struct{}
}

// zones of the fleet, each a region of its own, as at the small sites.
var zones = []struct{ name, region string }{{"aktau", "caspian"}, {"aralsk", "aral"}, {"bakanas", "ili"}}

// firstPort and portCount are the ports from which addresses are taken: below those that the system gives to outgoing connections, which could take the port of a process that is down for a moment.
const (
	firstPort = 18000
	portCount = 14000
)

// taken holds the ports that were given out, so that none is given to two processes.
var taken sync.Map

// listenAt listens at an address of loopback; an invalid one stands for any that is free.
func listenAt(a netip.AddrPort) (net.Listener, error) {
	if a.IsValid() {
		return net.Listen("tcp", a.String())
	}
	err := errors.New("no port is free")
	for range 200 {
		port := firstPort + rand.IntN(portCount)
		if _, given := taken.LoadOrStore(port, true); given {
			continue
		}
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			return l, nil
		}
	}
	return nil, err
}

// freeAddress returns a free address of loopback.
func freeAddress() (netip.AddrPort, error) {
	l, err := listenAt(netip.AddrPort{})
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String()), nil
}

// staleAge is the age of the reads with allowStale at the replica.
const staleAge = 6 * time.Second

// newFleet starts the store.
func newFleet(folder, program string, record *os.File) (*fleet, error) {
	f := &fleet{
		folder:  folder,
		program: program,
		record:  record,
		began:   time.Now(),
		store:   newStore(),
	}
	f.judge = newJudge(f)
	l, err := listenAt(netip.AddrPort{})
	if err != nil {
		return nil, err
	}
	f.storeAt = netip.MustParseAddrPort(l.Addr().String())
	go (&http.Server{Handler: f.store}).Serve(l)
	replica, err := listenAt(netip.AddrPort{})
	if err != nil {
		return nil, err
	}
	f.behindAt = netip.MustParseAddrPort(replica.Addr().String())
	go (&http.Server{Handler: f.store.behind(staleAge)}).Serve(replica)
	return f, nil
}

// note writes a line to the record.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%8.3f  %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...))
}

// since returns the seconds from the start of the record.
func (f *fleet) since(t time.Time) float64 { return t.Sub(f.began).Seconds() }

// addTargets starts targets of a service, one in each of the first zones.
func (f *fleet) addTargets(service string, count int, work time.Duration) error {
	for i := range count {
		t := &target{fleet: f, service: service, zone: zones[i%len(zones)].name, work: work}
		if err := t.start(); err != nil {
			return err
		}
		f.targets = append(f.targets, t)
	}
	return nil
}

// beats renews the entries of all targets.
func (f *fleet) beats() {
	for range time.Tick(beat) {
		for _, t := range f.targets {
			t.beat()
		}
	}
}

// addHosts starts hosts. Those for which behind is true call the replica of the store.
func (f *fleet) addHosts(count int, behind func(name string) bool) error {
	for i := range count {
		z := zones[i%len(zones)]
		h := &host{name: fmt.Sprintf("front-%s-%d", z.name, i/len(zones)+1), zone: z.name, region: z.region, store: f.storeAt}
		if behind(h.name) {
			h.store = f.behindAt
		}
		if err := f.prepare(h); err != nil {
			return err
		}
		if err := f.startHost(h); err != nil {
			return err
		}
		f.hosts = append(f.hosts, h)
	}
	return nil
}

// prepare gives a host free addresses and writes its settings for the first start.
func (f *fleet) prepare(h *host) error {
	metrics := netip.AddrPort{}
	for _, a := range []*netip.AddrPort{&h.callers, &h.ready, &h.requests, &h.view, &metrics} {
		var err error
		if *a, err = freeAddress(); err != nil {
			return err
		}
	}
	h.metrics = metrics.Port()
	h.settings = filepath.Join(f.folder, h.name+".jsonc")
	return f.writeSettings(h, true)
}

// writeSettings writes a host's settings, as the template of the deploy file does; first is set if the whole fleet starts for the first time.
func (f *fleet) writeSettings(h *host, first bool) error {
	places := map[string]string{}
	for _, p := range zones {
		places[p.name] = p.region
	}
	b, err := json.MarshalIndent(map[string]any{
		"name": h.name, "region": h.region, "datacentre": h.zone, "datacentres": places,
		"callers": h.callers, "ready": h.ready, "requests": h.requests, "views": h.view,
		"cores": 0.4, "memory": "284MiB", "metrics": h.metrics, "store": h.store, "first": first,
		"grace": "6s", "apply": "3000ms", "leave": "3000ms", "out": "5000ms", "beat": "1200ms",
		"extra": 0.2, "slack": 54, "heat": 1.5, "margin": 5,
	}, "", "\t")
	if err != nil {
		return err
	}
	return os.WriteFile(h.settings, b, 0o600)
}

// restartHost stops a host as the platform does, with SIGTERM, and starts it again once its process has ended. It returns after the start.
func (f *fleet) restartHost(h *host) error {
	f.note("%s gets SIGTERM", h.name)
	if err := h.command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-h.exited:
	case <-time.After(6 * time.Second):
		if err := h.command.Process.Kill(); err != nil {
			return err
		}
		<-h.exited
	}
	f.note("%s has ended and starts again", h.name)
	if err := f.writeSettings(h, false); err != nil {
		return err
	}
	return f.startHost(h)
}

// startHost starts a host's process with the command of the deploy file.
func (f *fleet) startHost(h *host) error {
	log, err := os.OpenFile(filepath.Join(f.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.command = exec.Command(f.program, "front", "--settings", h.settings)
	h.command.Stdout, h.command.Stderr = log, log
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		return err
	}
	h.exited = make(chan struct{})
	go func() {
		_ = h.command.Wait()
		log.Close()
		close(h.exited)
	}()
	return nil
}

// awaitReady waits until all hosts are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	client := &http.Client{Timeout: time.Second}
	for _, h := range f.hosts {
		for {
			resp, err := client.Get("http://" + h.ready.String() + "/api/ready")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			select {
			case <-h.exited:
				// Another process has taken one of its ports.
				f.note("%s has ended before it was ready and starts at other addresses", h.name)
				if err := f.prepare(h); err != nil {
					return err
				}
				if err := f.startHost(h); err != nil {
					return err
				}
			default:
			}
			if time.Now().After(end) {
				return fmt.Errorf("host %s is not ready after %s", h.name, limit)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// stop ends all hosts.
func (f *fleet) stop() {
	for _, h := range f.hosts {
		_ = h.command.Process.Kill()
		<-h.exited
	}
}
