package cmds

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"kingcupcross/apiv1"
	"kingcupcross/store"
	"kingcupcross/timer"
	"kingcupcross/wire"
)

const (
	// adminTimeout bounds one request to a host's operator interface.
	adminTimeout = 3 * time.Second
	// maxConcurrentRequests bounds the number of hosts that are queried at the same time.
	maxConcurrentRequests = 32
)

// Watched holds the flags shared by all commands that query the operator interface of several hosts.
type Watched struct {
	Admin []netip.AddrPort `required:"" env:"KINGCUPCROSS_ADMIN" help:"Operators' addresses of one or more hosts; the others are learnt from them."`
	JSON  bool             `help:"Print JSON."`
	// Platform is optional, because the peers that hosts report cover all hosts once they know each other.
	Platform netip.AddrPort `env:"KINGCUPCROSS_PLATFORM" help:"Address of the platform's store; hosts that only its list names are shown as unseen."`
}

// HostView is the state of one host as reported by itself, or by its peers if it doesn't answer.
type HostView struct {
	Name       string         `json:"name"`
	Datacentre string         `json:"datacentre"`
	Admin      netip.AddrPort `json:"admin"`
	// State is the host's membership state as seen by its peers, or stateUnseen.
	State string `json:"state"`
	// Change is the number of the last settings change in force at the host; if the host doesn't answer, the last one that its peers know of.
	Change uint64 `json:"change"`
	// Status is the host's own status, or nil if the request failed with the reason in Error.
	Status *apiv1.Status `json:"status,omitempty"`
	Error  string        `json:"error,omitempty"`
}

// collectHosts reads the status of the given hosts, and then of all their peers that aren't dead. It returns all hosts, sorted by data centre and name, and fails if none of the given hosts answers.
func (w *Watched) collectHosts(ctx context.Context) ([]HostView, error) {
	byName := map[string]*HostView{}
	var lastErr error
	for _, a := range w.Admin {
		s, err := fetchStatus(ctx, a)
		if err != nil {
			lastErr = err
			continue
		}
		addStatus(byName, s)
	}
	if len(byName) == 0 {
		return nil, lastErr
	}
	w.addListedHosts(ctx, byName)
	fetchStatuses(ctx, byName)
	all := make([]HostView, 0, len(byName))
	for _, h := range byName {
		all = append(all, *h)
	}
	slices.SortFunc(all, func(a, b HostView) int {
		if c := strings.Compare(a.Datacentre, b.Datacentre); c != 0 {
			return c
		}
		return strings.Compare(a.Name, b.Name)
	})
	return all, nil
}

// addStatus records a host's own status and its view of its peers.
func addStatus(byName map[string]*HostView, s *apiv1.Status) {
	for _, p := range s.Peers {
		h := byName[p.Name]
		if h == nil {
			h = &HostView{
				Name:       p.Name,
				Datacentre: p.Datacentre,
				Admin:      p.Admin,
				State:      p.Phase,
			}
			byName[p.Name] = h
		}
		h.Change = max(h.Change, p.Settings)
	}
	h := byName[s.Host.Name]
	h.Status, h.Change = s, s.Change
}

// stateUnseen is the state of a host that is in the platform's list but known to none of the queried hosts.
const stateUnseen = "unseen"

// addListedHosts adds the live hosts that only the platform's list names, such as hosts that are starting. The list is a hint, so a failure to read it is ignored.
func (w *Watched) addListedHosts(ctx context.Context, byName map[string]*HostView) {
	if !w.Platform.IsValid() {
		return
	}
	hosts, err := store.New(timer.New(), w.Platform).Hosts(ctx)
	if err != nil {
		return
	}
	for _, h := range hosts {
		if byName[h.Name] == nil && h.State == store.Live {
			byName[h.Name] = &HostView{Name: h.Name, Datacentre: h.Datacentre, State: stateUnseen}
		}
	}
}

// fetchStatuses reads the status of all hosts that can be reached and have none yet.
func fetchStatuses(ctx context.Context, byName map[string]*HostView) {
	var group sync.WaitGroup
	sem := make(chan struct{}, maxConcurrentRequests)
	for _, h := range byName {
		if h.Status != nil || h.State == wire.Dead.String() || !h.Admin.IsValid() {
			continue
		}
		group.Go(func() {
			sem <- struct{}{}
			defer func() { <-sem }()
			s, err := fetchStatus(ctx, h.Admin)
			if err != nil {
				h.Error = err.Error()
				return
			}
			h.Status, h.Change = s, s.Change
		})
	}
	group.Wait()
}

// fetchStatus reads the status of the host at operator address a.
func fetchStatus(ctx context.Context, a netip.AddrPort) (*apiv1.Status, error) {
	var s apiv1.Status
	return &s, getJSON(ctx, a, apiv1.PathStatus, nil, &s)
}

// getJSON sends a GET request to a host's operator interface and decodes the JSON answer; a refusal is returned as a fault.Error.
func getJSON(ctx context.Context, a netip.AddrPort, path string, query url.Values, out any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: a.String(), Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), http.NoBody)
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	resp, body, err := commandClient.do(req)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		var f apiv1.Failure
		if err := json.Unmarshal(body, &f); err != nil {
			return eris.Errorf("host %s returned status %s", a, resp.Status)
		}
		return faultFromFailure(f)
	}
	return eris.Wrapf(json.Unmarshal(body, out), "decode answer of host %s", a)
}
