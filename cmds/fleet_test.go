package cmds

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"kingcupcross/apiv1"
	"kingcupcross/build"
	"kingcupcross/fault"
	"kingcupcross/shard"
	"kingcupcross/store"
	"kingcupcross/wire"
)

// fakeHost serves only the operator interface of a host. With incrementChange set, its change rises by one with each status request.
type fakeHost struct {
	mu              sync.Mutex
	status          apiv1.Status
	incrementChange bool
}

func (h *fakeHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.URL.Path == apiv1.PathExplain {
		w.WriteHeader(http.StatusNotFound)
		json.NewEncoder(w).Encode(apiv1.Failure{Kind: fault.NoService.String(), NotRun: true, Text: "no shard map of " + r.URL.Query().Get("service")})
		return
	}
	if h.incrementChange {
		h.status.Change++
	}
	json.NewEncoder(w).Encode(h.status)
}

// withFakeHosts runs f with two hosts that answer: a1, whose change stays at 5, and o1, whose change rises. With dead, a dead host is added to their peers; with unreachable, a live one that doesn't answer.
func withFakeHosts(t *testing.T, dead, unreachable bool, f func(admin string, first, second *fakeHost)) {
	t.Helper()
	first, second := &fakeHost{}, &fakeHost{incrementChange: true}
	firstServer, secondServer := httptest.NewServer(first), httptest.NewServer(second)
	defer firstServer.Close()
	defer secondServer.Close()
	closed := httptest.NewServer(http.NotFoundHandler())
	closedAddress := serverAddress(closed)
	closed.Close()
	peers := []apiv1.Peer{
		newPeer("a1", "aarhus", serverAddress(firstServer), wire.Alive),
		newPeer("o1", "odense", serverAddress(secondServer), wire.Alive),
	}
	if dead {
		peers = append(peers, newPeer("o2", "odense", closedAddress, wire.Dead))
	}
	if unreachable {
		peers = append(peers, newPeer("r1", "roskilde", closedAddress, wire.Alive))
	}
	for i, h := range []*fakeHost{first, second} {
		h.status = apiv1.Status{Host: peers[i].Member, Ready: true, Peers: peers}
	}
	first.status.Change = 5
	first.status.Out = []string{"odense"}
	first.status.Kept = []apiv1.TargetStatus{{Target: shard.Target{Name: "t1", Datacentre: "aarhus", Slots: 3}, Hold: "held", Phase: "cold", Limit: 2}}
	f(serverAddress(firstServer).String(), first, second)
}

// serverAddress returns the address that a test server listens on.
func serverAddress(s *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

// newPeer returns a peer in state s that has settings change 1.
func newPeer(name, datacentre string, admin netip.AddrPort, s wire.HostState) apiv1.Peer {
	return apiv1.Peer{Member: wire.Member{HostID: wire.HostID{Name: name}, Datacentre: datacentre, Admin: admin, State: s, Settings: 1}, Phase: s.String()}
}

func TestWaitEndsWhenAllLiveHostsHaveTheChange(t *testing.T) {
	withFakeHosts(t, true, false, func(admin string, _, _ *fakeHost) {
		code, out, stderr := runCommand("settings", "wait", "5", "--admin", admin, "--timeout", "1m")
		require.Equal(t, ExitOK, code, stderr)
		require.Regexp(t, `odense +o1 +5 +yes`, out)
		require.Regexp(t, `odense +o2 +1 +dead`, out)
	})
}

func TestWaitTimeoutListsHostsBehind(t *testing.T) {
	withFakeHosts(t, false, true, func(admin string, _, _ *fakeHost) {
		code, out, stderr := runCommand("settings", "wait", "6", "--admin", admin, "--timeout", "1ms")
		require.Equal(t, ExitPending, code)
		require.Regexp(t, `aarhus +a1 +5 +not yet`, out)
		require.Regexp(t, `roskilde +r1 +1 +no answer`, out)
		require.Contains(t, stderr, "change 6 isn't known to be in force at 3 of 3 hosts")
	})
}

func TestWaitCountsExpectedHostsNotYetSeen(t *testing.T) {
	withFakeHosts(t, false, false, func(admin string, _, _ *fakeHost) {
		code, _, stderr := runCommand("settings", "wait", "1", "--admin", admin, "--hosts", "4", "--timeout", "1ms")
		require.Equal(t, ExitPending, code)
		require.Contains(t, stderr, "at 2 of 4 hosts")
	})
}

func TestWaitCountsHostsListedOnlyByPlatform(t *testing.T) {
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(store.Hosts{Hosts: []store.Host{
			{Name: "a1", Datacentre: "aarhus", State: store.Live},
			{Name: "a2", Datacentre: "aarhus", State: store.Live},
			{Name: "a3", Datacentre: "aarhus", State: store.Leaving},
		}})
	}))
	defer platform.Close()
	withFakeHosts(t, false, false, func(admin string, _, _ *fakeHost) {
		code, out, stderr := runCommand("settings", "wait", "1", "--admin", admin, "--platform", serverAddress(platform).String(), "--timeout", "1ms")
		require.Equal(t, ExitPending, code)
		require.Regexp(t, `aarhus +a2 +0 +unseen`, out)
		require.Contains(t, stderr, "at 1 of 3 hosts")
	})
}

func TestStatusShowsAllHosts(t *testing.T) {
	withFakeHosts(t, true, true, func(admin string, _, _ *fakeHost) {
		code, out, stderr := runCommand("status", "--admin", admin)
		require.Equal(t, ExitOK, code, stderr)
		require.Regexp(t, `roskilde +r1 +alive +no answer +1`, out)
		require.Regexp(t, `aarhus +t1 +a1 +held +cold +0 +2 +3 +0`, out)
		require.Contains(t, out, "changes in force: 1 to 5; out: odense")

		_, out, _ = runCommand("status", "--admin", admin, "--json")
		var hosts []HostView
		require.NoError(t, json.Unmarshal([]byte(out), &hosts))
		require.Len(t, hosts, 4)
	})
}

func TestStatusFailsWhereNoHostAnswers(t *testing.T) {
	closed := httptest.NewServer(http.NotFoundHandler())
	address := serverAddress(closed).String()
	closed.Close()
	code, _, stderr := runCommand("status", "--admin", address)
	require.Equal(t, ExitFailed, code)
	require.Contains(t, stderr, "send request to host "+address)
}

func TestHostRefusalKeepsItsKind(t *testing.T) {
	withFakeHosts(t, false, false, func(admin string, _, _ *fakeHost) {
		code, _, stderr := runCommand("explain", "--admin", admin, "barns")
		require.Equal(t, ExitRefused, code)
		require.Contains(t, stderr, "noservice: no shard map of barns (not run: true")
	})
}

func TestInvalidCommandLine(t *testing.T) {
	for _, args := range [][]string{{}, {"salt"}, {"status"}, {"query", "--host", "aarhus", "dispatch"}, {"settings", "wait", "x", "--admin", "127.0.0.1:1"}} {
		code, _, stderr := runCommand(args...)
		require.Equal(t, ExitUsage, code, args)
		require.NotEmpty(t, stderr)
	}
	code, out, _ := runCommand("version")
	require.Equal(t, ExitOK, code)
	require.Equal(t, fmt.Sprintf("kingcupcross %s, build %s\n", build.Version, build.ID()), out)
}
