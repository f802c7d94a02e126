package emul

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"kingcupcross/store"
	"kingcupcross/timer"
)

// HostRow describes a host that the platform checks and, while it answers, lists.
type HostRow struct {
	Name       string         `json:"name"`
	Datacentre string         `json:"datacentre"`
	Peers      netip.AddrPort `json:"peers"`
	// Callers is the address at which the platform's load balancer runs its readiness check.
	Callers netip.AddrPort `json:"callers"`
}

// HostList emulates the platform's list of hosts. The list is refreshed by periodic readiness checks, so it lags behind the hosts by up to one period.
type HostList struct {
	clock  *timer.Clock
	period time.Duration
	rows   []HostRow
	client *http.Client

	mu    sync.Mutex
	hosts []store.Host
}

// checkTimeout bounds one readiness check of one host.
const checkTimeout = time.Second

// NewHostList returns a list that checks every host once per period.
func NewHostList(clock *timer.Clock, period time.Duration, rows []HostRow) *HostList {
	return &HostList{
		clock:  clock,
		period: period,
		rows:   rows,
		client: &http.Client{Timeout: checkTimeout},
	}
}

// Run checks the hosts until the context ends.
func (l *HostList) Run(ctx context.Context) error {
	tick := l.clock.Every(l.period)
	defer tick.Stop()
	for {
		l.checkHosts(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// checkHosts checks every host and replaces the list with those that answered.
func (l *HostList) checkHosts(ctx context.Context) {
	var hosts []store.Host
	for _, r := range l.rows {
		state, answered := l.probeHost(ctx, r)
		if !answered {
			continue
		}
		hosts = append(hosts, store.Host{
			Name:       r.Name,
			Datacentre: r.Datacentre,
			Peers:      r.Peers,
			State:      state,
		})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts = hosts
}

// probeHost returns the state of a host and whether it answered.
// Any answer other than "leaving" counts as live, since a host that is still starting answers that it isn't ready.
func (l *HostList) probeHost(ctx context.Context, r HostRow) (store.HostState, bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.Callers.String()+"/v1/ready", http.NoBody)
	if err != nil {
		return "", false
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return "", false
	}
	defer resp.Body.Close()
	var failure struct {
		Kind string `json:"kind"`
	}
	if json.NewDecoder(resp.Body).Decode(&failure) == nil && failure.Kind == "leaving" {
		return store.Leaving, true
	}
	return store.Live, true
}

// Handler returns the HTTP handler that serves the list as of the last check.
func (l *HostList) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		l.mu.Lock()
		hosts := store.Hosts{Hosts: l.hosts}
		l.mu.Unlock()
		writeJSON(w, http.StatusOK, hosts)
	})
}
