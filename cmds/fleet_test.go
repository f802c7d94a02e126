package cmds

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"kingcupcross/apiv1"
	"kingcupcross/fault"
	"kingcupcross/shard"
	"kingcupcross/store"
	"kingcupcross/wire"
)

// hostAt is a host of which only the operators' interface stands; its change goes up by one with each question.
type hostAt struct {
	mu     sync.Mutex
	status apiv1.Status
	rising bool
}

func (h *hostAt) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.URL.Path == apiv1.PathExplain {
		w.WriteHeader(http.StatusNotFound)
		json.NewEncoder(w).Encode(apiv1.Failure{Kind: fault.NoService.String(), NotRun: true, Text: "no shard map of " + r.URL.Query().Get("service")})
		return
	}
	if h.rising {
		h.status.Change++
	}
	json.NewEncoder(w).Encode(h.status)
}

// withFleet starts a living host and a rising one; a dead host and one that gives no answer are among the peers where told.
func withFleet(t *testing.T, dead, mute bool, f func(admin string, first, second *hostAt)) {
	t.Helper()
	first, second := &hostAt{}, &hostAt{rising: true}
	one, two := httptest.NewServer(first), httptest.NewServer(second)
	defer one.Close()
	defer two.Close()
	gone := httptest.NewServer(http.NotFoundHandler())
	nobody := addressOf(gone)
	gone.Close()
	peers := []apiv1.Peer{
		peerAt("a1", "aarhus", addressOf(one), wire.Alive),
		peerAt("o1", "odense", addressOf(two), wire.Alive),
	}
	if dead {
		peers = append(peers, peerAt("o2", "odense", nobody, wire.Dead))
	}
	if mute {
		peers = append(peers, peerAt("r1", "roskilde", nobody, wire.Alive))
	}
	for i, h := range []*hostAt{first, second} {
		h.status = apiv1.Status{Host: peers[i].Member, Ready: true, Peers: peers}
	}
	first.status.Change = 5
	first.status.Out = []string{"odense"}
	first.status.Kept = []apiv1.Kept{{Target: shard.Target{Name: "t1", Datacentre: "aarhus", Slots: 3}, Hold: "held", Phase: "cold", Limit: 2}}
	f(addressOf(one).String(), first, second)
}

func addressOf(s *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

func peerAt(name, datacentre string, admin netip.AddrPort, s wire.HostState) apiv1.Peer {
	return apiv1.Peer{Member: wire.Member{HostID: wire.HostID{Name: name}, Datacentre: datacentre, Admin: admin, State: s, Settings: 1}, Phase: s.String()}
}

func TestWaitEndsOnceEveryLivingHostHasTheChange(t *testing.T) {
	withFleet(t, true, false, func(admin string, _, _ *hostAt) {
		code, out, problems := runIt("settings", "wait", "5", "--admin", admin, "--timeout", "1m")
		require.Equal(t, ExitOK, code, problems)
		require.Regexp(t, `odense +o1 +5 +yes`, out)
		require.Regexp(t, `odense +o2 +1 +dead`, out)
	})
}

func TestWaitSaysHostByHostWhatIsMissing(t *testing.T) {
	withFleet(t, false, true, func(admin string, _, _ *hostAt) {
		code, out, problems := runIt("settings", "wait", "6", "--admin", admin, "--timeout", "1ms")
		require.Equal(t, ExitPending, code)
		require.Regexp(t, `aarhus +a1 +5 +not yet`, out)
		require.Regexp(t, `roskilde +r1 +1 +no answer`, out)
		require.Contains(t, problems, "change 6 isn't known to be in force at 3 of 3 hosts")
	})
}

func TestWaitCountsHostsThatNobodyKnowsYet(t *testing.T) {
	withFleet(t, false, false, func(admin string, _, _ *hostAt) {
		code, _, problems := runIt("settings", "wait", "1", "--admin", admin, "--hosts", "4", "--timeout", "1ms")
		require.Equal(t, ExitPending, code)
		require.Contains(t, problems, "at 2 of 4 hosts")
	})
}

func TestWaitCountsHostsThatOnlyThePlatformLists(t *testing.T) {
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(store.Hosts{Hosts: []store.Host{
			{Name: "a1", Datacentre: "aarhus", State: store.Live},
			{Name: "a2", Datacentre: "aarhus", State: store.Live},
			{Name: "a3", Datacentre: "aarhus", State: store.Leaving},
		}})
	}))
	defer platform.Close()
	withFleet(t, false, false, func(admin string, _, _ *hostAt) {
		code, out, problems := runIt("settings", "wait", "1", "--admin", admin, "--platform", addressOf(platform).String(), "--timeout", "1ms")
		require.Equal(t, ExitPending, code)
		require.Regexp(t, `aarhus +a2 +0 +unseen`, out)
		require.Contains(t, problems, "at 1 of 3 hosts")
	})
}

func TestStatusShowsAllHosts(t *testing.T) {
	withFleet(t, true, true, func(admin string, _, _ *hostAt) {
		code, out, problems := runIt("status", "--admin", admin)
		require.Equal(t, ExitOK, code, problems)
		require.Regexp(t, `roskilde +r1 +alive +no answer +1`, out)
		require.Regexp(t, `aarhus +t1 +a1 +held +cold +0 +2 +3 +0`, out)
		require.Contains(t, out, "changes in force: 1 to 5; out: odense")

		_, out, _ = runIt("status", "--admin", admin, "--json")
		var hosts []HostView
		require.NoError(t, json.Unmarshal([]byte(out), &hosts))
		require.Len(t, hosts, 4)
	})
}

func TestStatusFailsWhereNoHostAnswers(t *testing.T) {
	gone := httptest.NewServer(http.NotFoundHandler())
	address := addressOf(gone).String()
	gone.Close()
	code, _, problems := runIt("status", "--admin", address)
	require.Equal(t, ExitFailed, code)
	require.Contains(t, problems, "ask host "+address)
}

func TestRefusalOfAHostKeepsItsKind(t *testing.T) {
	withFleet(t, false, false, func(admin string, _, _ *hostAt) {
		code, _, problems := runIt("explain", "--admin", admin, "barns")
		require.Equal(t, ExitRefused, code)
		require.Contains(t, problems, "noservice: no shard map of barns (not run: true")
	})
}

func TestWrongCommandLine(t *testing.T) {
	for _, args := range [][]string{{}, {"salt"}, {"status"}, {"query", "--host", "aarhus", "dispatch"}, {"settings", "wait", "x", "--admin", "127.0.0.1:1"}} {
		code, _, problems := runIt(args...)
		require.Equal(t, ExitUsage, code, args)
		require.NotEmpty(t, problems)
	}
	code, out, _ := runIt("version")
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, Version)
}
