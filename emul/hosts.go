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

// HostRow is one host that the platform knows of.
type HostRow struct {
	Name       string         `json:"name"`
	Datacentre string         `json:"datacentre"`
	Peers      netip.AddrPort `json:"peers"`
	// Callers is where the platform's balancer checks the host.
	Callers netip.AddrPort `json:"callers"`
}

// HostList emulates the platform's list of hosts, which lags by the period of its checks.
type HostList struct {
	clock  *timer.Clock
	period time.Duration
	rows   []HostRow
	client *http.Client

	mu    sync.Mutex
	hosts []store.Host
}

const checkTimeout = time.Second

// NewHostList returns a list that checks each host once a period.
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
		l.check(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (l *HostList) check(ctx context.Context) {
	var hosts []store.Host
	for _, r := range l.rows {
		state, alive := l.stateOf(ctx, r)
		if !alive {
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

// stateOf takes any answer but "leaving" as a sign of life: a host that starts isn't ready yet.
func (l *HostList) stateOf(ctx context.Context, r HostRow) (store.HostState, bool) {
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

// Handler returns the route of the list.
func (l *HostList) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		l.mu.Lock()
		hosts := store.Hosts{Hosts: l.hosts}
		l.mu.Unlock()
		reply(w, http.StatusOK, hosts)
	})
}
