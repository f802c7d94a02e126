package coord

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/fault"
	"kingcupcross/pool"
	"kingcupcross/relay"
	"kingcupcross/roster"
	"kingcupcross/route"
	"kingcupcross/timer"
)

// member returns the host with number i.
func member(i int, datacentre string, cores float64) Member {
	return Member{
		Name:       fmt.Sprintf("h%02d", i),
		Datacentre: datacentre,
		Region:     "r",
		Requests:   netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", i+1)),
		Views:      netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:2", i+1)),
		Cores:      cores,
	}
}

// TestStrongHostsPrecedeWeakCoordinators guards against weak coordinators: if the data centre with most targets has fewer strong hosts than coordinators are needed, strong hosts elsewhere must come before its weak ones.
func TestStrongHostsPrecedeWeakCoordinators(t *testing.T) {
	var all []Member
	for i := range 98 {
		m := member(i, []string{"far", "near"}[i%2], 0.192)
		if i < 6 {
			m.Cores = 0.8
		}
		all = append(all, m)
	}
	got := Coordinators(all, "r", map[string]int{"near": 180, "far": 170})
	require.Len(t, got, 5)
	for i, m := range got {
		require.InDelta(t, 0.8, m.Cores, 0, m.Name)
		require.Equal(t, i < 3, m.Datacentre == "near", m.Name)
	}
}

func TestCoordinatorOrder(t *testing.T) {
	var all []Member
	for i := range 40 {
		all = append(all, member(i, []string{"far", "near"}[i%2], 0.2))
	}
	all[7].Cores, all[4].Cores = 0.8, 0.8
	other := member(50, "near", 9)
	other.Region = "elsewhere"
	all = append(all, other)
	got := Coordinators(all, "r", map[string]int{"near": 90, "far": 2})
	require.Len(t, got, 3)
	require.Equal(t, "h07", got[0].Name)
	require.Equal(t, "h04", got[1].Name)
	require.Equal(t, "near", got[2].Datacentre)
	require.Len(t, Coordinators(all[:2], "r", nil), 2)
	require.Len(t, Coordinators(all[:32], "r", nil), 2)
	require.Empty(t, Coordinators(nil, "r", nil))
}

func TestHostsSpreadOverCoordinators(t *testing.T) {
	three := []Member{member(0, "a", 1), member(1, "a", 1), member(2, "a", 1)}
	first := map[string]int{}
	for i := range 100 {
		own := orderForHost(three, fmt.Sprint("host", i))
		first[own[0].Name]++
		require.Equal(t, "h02", own[2].Name)
	}
	require.Greater(t, first["h00"], 30)
	require.Greater(t, first["h01"], 30)
}

func TestMemberIsValidatedWhenDecoded(t *testing.T) {
	good, err := json.Marshal(member(1, "a", 1))
	require.NoError(t, err)
	var m Member
	require.NoError(t, json.Unmarshal(good, &m))
	for _, text := range []string{`{}`, `{"name":"a","datacentre":"b","region":"c"}`, `[]`} {
		require.Error(t, json.Unmarshal([]byte(text), &m), text)
	}
}

// forwardingTest runs one host with two coordinators whose answers a test sets.
type forwardingTest struct {
	coord           *Coord
	config          *route.Config
	answeredLocally int
	requestsSent    map[string]int
	behaviours      map[string]func(context.Context) (*relay.Answer, error)
	answersPing     map[string]bool
	// lastMinVersion is the oldest configuration version that the last forwarded request accepted.
	lastMinVersion uint64
}

func withForwardingTest(t *testing.T, f func(*forwardingTest)) {
	synctest.Test(t, func(t *testing.T) {
		s := &forwardingTest{
			requestsSent: map[string]int{},
			behaviours:   map[string]func(context.Context) (*relay.Answer, error){},
			answersPing:  map[string]bool{"h00": true, "h01": true},
		}
		s.setConfig(t, 5)
		all := []Member{member(0, "near", 1), member(1, "near", 1)}
		for i := range 10 {
			all = append(all, member(10+i, "far", 0.1))
		}
		s.coord = New(timer.New(), Dependencies{
			Self: all[2],
			AnswerLocally: func(context.Context, *relay.Request) *relay.Answer {
				s.answeredLocally++
				return &relay.Answer{Status: 200, Version: s.config.Version}
			},
			Send: func(ctx context.Context, to Member, r *relay.Request, _ time.Time) (*relay.Answer, error) {
				s.requestsSent[to.Name]++
				s.lastMinVersion = r.MinVersion
				if behaviour := s.behaviours[to.Name]; behaviour != nil {
					return behaviour(ctx)
				}
				time.Sleep(10 * time.Millisecond)
				return &relay.Answer{Status: 200, Version: 5}, nil
			},
			Ping: func(_ context.Context, to Member) error {
				if !s.answersPing[to.Name] {
					return errors.New("no answer")
				}
				return nil
			},
			Config: func() *route.Config { return s.config },
			View:   roster.Empty,
		}, zap.NewNop(), tally.NoopScope)
		s.coord.SetMembers(all)
		f(s)
	})
}

func (s *forwardingTest) setConfig(t *testing.T, version uint64) {
	base := route.Route{
		Host:    "h",
		Timeout: time.Second,
		Aim:     100 * time.Millisecond,
		Shares:  []route.WeightedService{{Service: "s", Weight: 1}},
	}
	idempotent, single, restricted := base, base, base
	idempotent.Prefix, idempotent.Idempotent = "/again/", true
	single.Prefix = "/once/"
	restricted.Prefix, restricted.Regions = "/home/", []string{"elsewhere"}
	c, err := route.New(route.Config{Version: version, Routes: []route.Route{idempotent, single, restricted}})
	require.NoError(t, err)
	s.config = c
}

func (s *forwardingTest) handle(path string) *relay.Answer {
	return s.coord.Handle(context.Background(), &relay.Request{Host: "h", Path: path, TimeLeft: time.Second})
}

// hang returns an error after a second or once the context ends, as a coordinator that doesn't answer in time.
func hang(ctx context.Context) (*relay.Answer, error) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Second):
	}
	return nil, &pool.Error{Sent: true, Late: true, Err: context.DeadlineExceeded}
}

func TestForwardsAtLowRequestRate(t *testing.T) {
	withForwardingTest(t, func(s *forwardingTest) {
		a := s.handle("/again/1")
		require.Equal(t, 200, a.Status)
		require.Zero(t, s.answeredLocally)
		for range 30 {
			s.handle("/again/1")
		}
		require.Positive(t, s.answeredLocally, "a host with a high request rate answers requests itself")
		require.False(t, s.coord.LowTraffic())
	})
}

func TestRequestsAnsweredWithoutForwarding(t *testing.T) {
	withForwardingTest(t, func(s *forwardingTest) {
		s.handle("/home/1")
		require.Equal(t, 1, s.answeredLocally, "the route may only be served in another region")
		s.coord.SetMembers(nil)
		s.handle("/again/1")
		require.Equal(t, 2, s.answeredLocally)
		require.Empty(t, s.requestsSent)
	})
}

// TestHangingCoordinatorIsDetected checks that a coordinator that hangs is detected by a ping. The caller gets an error at once, since targets may have been asked already, and later requests go to another coordinator.
func TestHangingCoordinatorIsDetected(t *testing.T) {
	withForwardingTest(t, func(s *forwardingTest) {
		others, _ := s.coord.PreferredCoordinators()
		first, second := others[0].Name, others[1].Name
		s.behaviours[first], s.answersPing[first] = hang, false
		start := time.Now()
		a := s.handle("/again/1")
		require.Equal(t, fault.Failed, a.Fault.Kind)
		require.False(t, a.Fault.NotRun())
		require.Zero(t, s.answeredLocally)
		require.Less(t, time.Since(start), 100*time.Millisecond)
		s.handle("/again/1")
		require.Equal(t, 1, s.requestsSent[second])
	})
}

// TestNoLocalAnswerAfterTheDeadline checks that a coordinator that is up but doesn't answer in time uses up the caller's time: the request is not answered here as well.
func TestNoLocalAnswerAfterTheDeadline(t *testing.T) {
	withForwardingTest(t, func(s *forwardingTest) {
		others, _ := s.coord.PreferredCoordinators()
		s.behaviours[others[0].Name] = hang
		a := s.handle("/again/1")
		require.Equal(t, fault.TooLate, a.Fault.Kind)
		require.False(t, a.Fault.NotRun())
		require.Zero(t, s.answeredLocally)
	})
}

// TestSlowCoordinatorIsWaitedFor checks that a slow coordinator that still answers pings does not cause the work to be started again here.
func TestSlowCoordinatorIsWaitedFor(t *testing.T) {
	withForwardingTest(t, func(s *forwardingTest) {
		others, _ := s.coord.PreferredCoordinators()
		s.behaviours[others[0].Name] = func(context.Context) (*relay.Answer, error) {
			time.Sleep(700 * time.Millisecond)
			return &relay.Answer{Status: 200, Version: 5}, nil
		}
		a := s.handle("/again/1")
		require.Equal(t, 200, a.Status)
		require.Zero(t, s.answeredLocally)
	})
}

func TestLostNonIdempotentRequestIsNotRepeated(t *testing.T) {
	withForwardingTest(t, func(s *forwardingTest) {
		others, _ := s.coord.PreferredCoordinators()
		s.behaviours[others[0].Name] = func(context.Context) (*relay.Answer, error) {
			return nil, &pool.Error{Sent: true, Err: errors.New("reset")}
		}
		a := s.handle("/once/1")
		require.Equal(t, fault.Unknown, a.Fault.Kind)
		require.False(t, a.Fault.NotRun())
		require.Zero(t, s.answeredLocally)
	})
}

func TestUnsentRequestIsAnsweredLocally(t *testing.T) {
	withForwardingTest(t, func(s *forwardingTest) {
		others, _ := s.coord.PreferredCoordinators()
		s.behaviours[others[0].Name] = func(context.Context) (*relay.Answer, error) {
			return nil, &pool.Error{Err: errors.New("refused")}
		}
		a := s.handle("/once/1")
		require.Equal(t, 200, a.Status)
		require.Equal(t, 1, s.answeredLocally)
	})
}

// TestConfigurationVersionNeverDecreases checks that after an answer came from a newer configuration, this host refuses to answer by an older one.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	withForwardingTest(t, func(s *forwardingTest) {
		others, _ := s.coord.PreferredCoordinators()
		s.behaviours[others[0].Name] = func(context.Context) (*relay.Answer, error) {
			return &relay.Answer{Status: 200, Version: 6}, nil
		}
		s.handle("/again/1")
		s.coord.SetMembers(nil)
		a := s.handle("/again/1")
		require.Equal(t, fault.Starting, a.Fault.Kind)
		require.True(t, a.Fault.NotRun())
		s.setConfig(t, 6)
		require.Equal(t, 200, s.handle("/again/1").Status)
		behind := s.coord.Answer(context.Background(), &relay.Request{Host: "h", Path: "/again/1", Origin: "x", MinVersion: 7})
		require.Equal(t, fault.Starting, behind.Fault.Kind)
	})
}

// TestForwardedRequestCarriesMinVersion checks that a coordinator is told the configuration version that this host has in force, even before any answer came from that version.
func TestForwardedRequestCarriesMinVersion(t *testing.T) {
	withForwardingTest(t, func(s *forwardingTest) {
		s.setConfig(t, 9)
		s.handle("/again/1")
		require.EqualValues(t, 9, s.lastMinVersion)
	})
}

// TestReceivedGrantsExpire checks that grants from other hosts are added to this host's share, each host's once, and expire.
func TestReceivedGrantsExpire(t *testing.T) {
	withForwardingTest(t, func(s *forwardingTest) {
		hosts := float64(len(s.coord.Members()))
		require.InDelta(t, distributedShare/hosts, s.coord.LimitShare(), 1e-9)
		for _, name := range []string{"a", "b", "a"} {
			s.coord.Answer(context.Background(), &relay.Request{Host: "h", Path: "/again/1", Origin: name, LimitsShare: distributedShare / hosts, LimitsShareTTL: grantTime})
		}
		require.InDelta(t, 3*distributedShare/hosts, s.coord.LimitShare(), 1e-9)
		time.Sleep(grantTime + time.Second)
		require.InDelta(t, distributedShare/hosts, s.coord.LimitShare(), 1e-9)
	})
}

// TestOnlyMinoritySideReportsPartition checks that only a host on the smaller side of a partition reports it, and that single hosts that are down don't count as a partition.
func TestOnlyMinoritySideReportsPartition(t *testing.T) {
	for _, tc := range []struct {
		name        string
		datacentres int
		unreachable []string
		inMinority  bool
	}{
		{name: "all reachable", datacentres: 3},
		{name: "one of three data centres unreachable", datacentres: 3, unreachable: []string{"d1"}},
		{name: "two of three data centres unreachable", datacentres: 3, unreachable: []string{"d1", "d2"}, inMinority: true},
		{name: "one of three regions unreachable", datacentres: 6, unreachable: []string{"d1", "d2"}},
		{name: "two of three regions unreachable", datacentres: 6, unreachable: []string{"d2", "d3", "d4", "d5"}, inMinority: true},
		{name: "one of two regions unreachable", datacentres: 6, unreachable: []string{"d3", "d4", "d5"}},
		{name: "one of two data centres unreachable", datacentres: 2, unreachable: []string{"d1"}},
		{name: "only one data centre", datacentres: 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var all []Member
			for i := range 3 * tc.datacentres {
				all = append(all, member(i, fmt.Sprintf("d%d", i%tc.datacentres), 1))
			}
			c := New(timer.New(), Dependencies{
				Self: all[0],
				Ping: func(_ context.Context, to Member) error {
					// The first host of each data centre is down.
					if slices.Contains(tc.unreachable, to.Datacentre) || to.Name < fmt.Sprintf("h%02d", tc.datacentres) {
						return errUnresponsive
					}
					return nil
				},
			}, zap.NewNop(), tally.NoopScope)
			c.SetMembers(all)
			require.Equal(t, tc.inMinority, c.InMinorityPartition(context.Background()))
		})
	}
}

// TestEachHostIsNeighbourOfSeveral checks that each host is the neighbour of several hosts in its own data centre and of several hosts in all, while having only a few neighbours itself.
func TestEachHostIsNeighbourOfSeveral(t *testing.T) {
	var all []Member
	for i := range 60 {
		all = append(all, member(i, fmt.Sprintf("d%d", i%6), 1))
	}
	near, anywhere := map[string]int{}, map[string]int{}
	for _, m := range all {
		c := New(timer.New(), Dependencies{Self: m}, zap.NewNop(), tally.NoopScope)
		c.SetMembers(all)
		next := c.Neighbours()
		require.LessOrEqual(t, len(next), neighboursInDatacentre+neighboursAnywhere)
		for _, to := range next {
			require.NotEqual(t, m.Name, to.Name)
			anywhere[to.Name]++
			if to.Datacentre == m.Datacentre {
				near[to.Name]++
			}
		}
	}
	for _, m := range all {
		require.GreaterOrEqual(t, near[m.Name], neighboursInDatacentre)
		require.GreaterOrEqual(t, anywhere[m.Name], neighboursInDatacentre)
	}
}

// TestCheckPeersAreFromOtherDatacentres guards against a host that has lost its way to targets together with its data centre asking only hosts that have lost it too.
func TestCheckPeersAreFromOtherDatacentres(t *testing.T) {
	var all []Member
	for i := range 9 {
		all = append(all, member(i, []string{"a", "b", "c"}[i%3], 1))
	}
	c := New(timer.New(), Dependencies{Self: all[0]}, zap.NewNop(), tally.NoopScope)
	require.Empty(t, c.CheckPeers(3))
	c.SetMembers(all)
	for range 50 {
		var datacentres []string
		for _, m := range c.CheckPeers(3) {
			require.NotEqual(t, all[0].Name, m.Name)
			datacentres = append(datacentres, m.Datacentre)
		}
		slices.Sort(datacentres)
		require.Equal(t, []string{"a", "b", "c"}, datacentres)
		require.NotEqual(t, "a", c.CheckPeers(1)[0].Datacentre)
	}
	c.SetMembers(all[:1])
	require.Empty(t, c.CheckPeers(3))
}

// TestRecipientsIncludeCoordinators guards against news that reach the hosts of a large cluster in random order, those that answer most requests perhaps last.
func TestRecipientsIncludeCoordinators(t *testing.T) {
	var all []Member
	for i := range 200 {
		m := member(i, []string{"a", "b"}[i%2], 1)
		m.Region = m.Datacentre
		all = append(all, m)
	}
	c := New(timer.New(), Dependencies{Self: all[199]}, zap.NewNop(), tally.NoopScope)
	c.SetMembers(all[190:])
	require.Len(t, c.Recipients(24), 9)
	c.SetMembers(all)
	told := map[string]bool{}
	for _, m := range c.Recipients(24) {
		told[m.Name] = true
	}
	require.Len(t, told, 24)
	for _, region := range []string{"a", "b"} {
		for _, m := range Coordinators(all[:199], region, nil) {
			require.True(t, told[m.Name], m.Name)
		}
	}
}
