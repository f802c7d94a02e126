package emul

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/fault"
	"kingcupcross/store"
	"kingcupcross/timer"
)

// TestHostListLagsBehindHostStates checks what clients may conclude from the platform's list of hosts: the list changes only with the next check,
// and an entry means only that the host answered the last check, ready or not.
func TestHostListLagsBehindHostStates(t *testing.T) {
	var answer string
	alive := true
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !alive {
			panic(http.ErrAbortHandler)
		}
		w.Write([]byte(answer))
	}))
	defer host.Close()
	clock, _ := timer.NewManualClock(time.Unix(1000, 0))
	list := NewHostList(clock, time.Second, []HostRow{{
		Name:       "h1",
		Datacentre: "a",
		Peers:      netip.MustParseAddrPort("127.0.0.1:7001"),
		Callers:    netip.MustParseAddrPort(strings.TrimPrefix(host.URL, "http://")),
	}})
	platform := httptest.NewServer(list.Handler())
	defer platform.Close()
	client := store.New(clock, netip.MustParseAddrPort(strings.TrimPrefix(platform.URL, "http://")))
	steps := []struct {
		name   string
		answer string
		alive  bool
		check  bool
		want   []store.HostState
	}{
		{name: "before the first check", answer: "ready", alive: true},
		{name: "live", answer: "ready", alive: true, check: true, want: []store.HostState{store.Live}},
		{name: "starting counts as live", answer: `{"kind":"starting"}`, alive: true, check: true, want: []store.HostState{store.Live}},
		{name: "leaving is not seen yet", answer: `{"kind":"leaving"}`, alive: true, want: []store.HostState{store.Live}},
		{name: "leaving", answer: `{"kind":"leaving"}`, alive: true, check: true, want: []store.HostState{store.Leaving}},
		{name: "death is not seen yet", want: []store.HostState{store.Leaving}},
		{name: "dead", check: true},
	}
	for _, s := range steps {
		answer, alive = s.answer, s.alive
		if s.check {
			list.checkHosts(context.Background())
		}
		hosts, err := client.Hosts(context.Background())
		require.NoError(t, err, s.name)
		var states []store.HostState
		for _, h := range hosts {
			states = append(states, h.State)
		}
		require.Equal(t, s.want, states, s.name)
	}
	platform.Close()
	_, err := client.Hosts(context.Background())
	require.True(t, fault.Is(err, fault.Store))
}
