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
	// adminTimeout bounds one question to a host.
	adminTimeout = 3 * time.Second
	// asksAtOnce bounds the number of hosts that are asked at the same time.
	asksAtOnce = 32
)

// Watched holds what all commands need that speak to hosts as an operator.
type Watched struct {
	Admin []netip.AddrPort `required:"" env:"KINGCUPCROSS_ADMIN" help:"Operators' addresses of one or more hosts; the others are learnt from them."`
	JSON  bool             `help:"Print JSON."`
	// Platform is an option here: the hosts' own view is enough once they know each other.
	Platform netip.AddrPort `env:"KINGCUPCROSS_PLATFORM" help:"Address of the platform's store; hosts that only its list names are shown as unseen."`
}

// HostView is one host as it describes itself, or as others see it where it gives no answer.
type HostView struct {
	Name       string         `json:"name"`
	Datacentre string         `json:"datacentre"`
	Admin      netip.AddrPort `json:"admin"`
	// State is the host's state as its peers see it.
	State string `json:"state"`
	// Change is the last settings change in force; where the host gives no answer, the last that its peers know of.
	Change uint64 `json:"change"`
	// Status is what the host says of itself, or nil where it gave no answer for the reason in Error.
	Status *apiv1.Status `json:"status,omitempty"`
	Error  string        `json:"error,omitempty"`
}

// fleet asks the given hosts for their peers and then every host that isn't dead; it fails where none of the given ones answers.
func (w *Watched) fleet(ctx context.Context) ([]HostView, error) {
	byName := map[string]*HostView{}
	var failed error
	for _, a := range w.Admin {
		s, err := fetchStatus(ctx, a)
		if err != nil {
			failed = err
			continue
		}
		noteStatus(byName, s)
	}
	if len(byName) == 0 {
		return nil, failed
	}
	w.noteListed(ctx, byName)
	askAll(ctx, byName)
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

func noteStatus(byName map[string]*HostView, s *apiv1.Status) {
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

// unseen is the state of a host that the platform lists and no host that was asked knows.
const unseen = "unseen"

// noteListed adds the hosts that only the platform knows, such as those that start; its list is a hint, so its silence is no error.
func (w *Watched) noteListed(ctx context.Context, byName map[string]*HostView) {
	if !w.Platform.IsValid() {
		return
	}
	hosts, err := store.New(timer.New(), w.Platform).Hosts(ctx)
	if err != nil {
		return
	}
	for _, h := range hosts {
		if byName[h.Name] == nil && h.State == store.Live {
			byName[h.Name] = &HostView{Name: h.Name, Datacentre: h.Datacentre, State: unseen}
		}
	}
}

func askAll(ctx context.Context, byName map[string]*HostView) {
	var group sync.WaitGroup
	room := make(chan struct{}, asksAtOnce)
	for _, h := range byName {
		if h.Status != nil || h.State == wire.Dead.String() || !h.Admin.IsValid() {
			continue
		}
		group.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
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

func fetchStatus(ctx context.Context, a netip.AddrPort) (*apiv1.Status, error) {
	var s apiv1.Status
	return &s, fetch(ctx, a, apiv1.PathStatus, nil, &s)
}

// fetch asks one host a question as an operator.
func fetch(ctx context.Context, a netip.AddrPort, path string, query url.Values, out any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: a.String(), Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), http.NoBody)
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrapf(err, "ask host %s", a)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		var f apiv1.Failure
		if err := json.NewDecoder(resp.Body).Decode(&f); err != nil {
			return eris.Errorf("host %s answers %s", a, resp.Status)
		}
		return asFault(f)
	}
	return eris.Wrapf(json.NewDecoder(resp.Body).Decode(out), "decode the answer of host %s", a)
}
