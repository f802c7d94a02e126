package peers

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/board"
	"kingcupcross/wire"
)

var today = map[string]int{"a": 3, "b": 3, "c": 3}

func TestHostsMeet(t *testing.T) {
	withFleet(t, today, func(l *fleet) {
		for _, n := range l.nodes {
			require.True(t, l.sees("abc", n.board.Self.Name, wire.Alive), n.board.Self.Name)
			require.True(t, n.board.Joined())
		}
	})
}

func TestDeathIsNoticed(t *testing.T) {
	cases := []struct {
		name  string
		sizes map[string]int
		fail  func(*fleet, ...string)
		proof bool
		near  time.Duration
		far   time.Duration
	}{
		{name: "killed", sizes: today, fail: (*fleet).kill, proof: true, near: time.Second, far: 2 * time.Second},
		{name: "killed among nine", sizes: map[string]int{"a": 9, "b": 1}, fail: (*fleet).kill, proof: true, near: time.Second, far: 2 * time.Second},
		{name: "silent", sizes: today, fail: (*fleet).freeze, near: 2 * time.Second, far: 3 * time.Second},
		{name: "silent among nine", sizes: map[string]int{"a": 9, "b": 1}, fail: (*fleet).freeze, near: 2 * time.Second, far: 3 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, c.sizes, func(l *fleet) {
				c.fail(l, "a2")
				near := l.until(c.near, "own data centre", func() bool { return l.sees("a", "a2", wire.Dead) })
				far := near + l.until(c.far-near, "others", func() bool { return l.sees("bc", "a2", wire.Dead) })
				t.Logf("own data centre after %v, others after %v", near, far)
				require.Equal(t, c.proof, l.node("a1").member("a2").Proof)
			})
		})
	}
}

// TestSilenceTakesLongerThanTheFence shows that a host which is taken for dead by silence was silent for longer than a pause that it doesn't notice.
func TestSilenceTakesLongerThanTheFence(t *testing.T) {
	require.Greater(t, SilenceBound, board.PulseLimit)
	require.Greater(t, LoneBound, 2*SilenceBound)
}

func TestLeaveIsToldAtOnce(t *testing.T) {
	withFleet(t, today, func(l *fleet) {
		l.node("b2").Leave(context.Background())
		require.True(t, l.sees("b", "b2", wire.Leaving), "without a step of the clock")
		l.until(time.Second, "others", func() bool { return l.sees("ac", "b2", wire.Leaving) })
		l.kill("b2")
		l.until(2*time.Second, "gone", func() bool { return l.sees("abc", "b2", wire.Dead) })
		require.True(t, l.node("b1").member("b2").Proof)
	})
}

func TestSupersedes(t *testing.T) {
	rec := func(incarnation, refutation uint64, s wire.HostState) wire.Member {
		return wire.Member{HostID: wire.HostID{Name: "h", Incarnation: incarnation}, Refutation: refutation, State: s}
	}
	cases := []struct {
		name     string
		new, old wire.Member
		want     bool
	}{
		{name: "the same", new: rec(1, 0, wire.Alive), old: rec(1, 0, wire.Alive), want: false},
		{name: "suspicion", new: rec(1, 0, wire.Suspect), old: rec(1, 0, wire.Alive), want: true},
		{name: "refutation", new: rec(1, 1, wire.Alive), old: rec(1, 0, wire.Suspect), want: true},
		{name: "refutation of death", new: rec(1, 1, wire.Alive), old: rec(1, 0, wire.Dead), want: true},
		{name: "stale life", new: rec(1, 0, wire.Alive), old: rec(1, 0, wire.Dead), want: false},
		{name: "stale suspicion", new: rec(1, 0, wire.Suspect), old: rec(1, 1, wire.Alive), want: false},
		{name: "leaving sticks", new: rec(1, 5, wire.Alive), old: rec(1, 0, wire.Leaving), want: false},
		{name: "leaving of an earlier run", new: rec(2, 0, wire.Alive), old: rec(1, 0, wire.Leaving), want: true},
		{name: "death after leaving", new: rec(1, 0, wire.Dead), old: rec(1, 0, wire.Leaving), want: true},
		{name: "leaving refutes death", new: rec(1, 1, wire.Leaving), old: rec(1, 0, wire.Dead), want: true},
		{name: "earlier run", new: rec(1, 9, wire.Dead), old: rec(2, 0, wire.Alive), want: false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, c.new.Supersedes(&c.old))
		})
	}
}

// TestAddressIsReused has another host answer at the address of one that is gone.
func TestAddressIsReused(t *testing.T) {
	withFleet(t, today, func(l *fleet) {
		n := l.node("a2")
		n.gone = true
		l.net.Register(n.board.Self.Peers, Remote, NewService(l.node("a3").Peers))
		l.until(2*time.Second, "gone", func() bool { return l.sees("abc", "a2", wire.Dead) })
		require.True(t, l.node("a1").member("a2").Proof)
	})
}

// TestCutPairIsNoDeath cuts one pair of hosts only: without the probes that others make, each takes the other for dead again and again.
func TestCutPairIsNoDeath(t *testing.T) {
	for _, relays := range []bool{false, true} {
		t.Run(fmt.Sprintf("relays %t", relays), func(t *testing.T) {
			withFleet(t, map[string]int{"a": 5}, func(l *fleet) {
				one, two := l.node("a1").board.Self.Peers, l.node("a2").board.Self.Peers
				l.net.Cut(func(from, to netip.AddrPort) bool {
					return (from == one && to == two) || (from == two && to == one)
				})
				if !relays {
					for _, n := range l.nodes {
						call := n.call
						n.call = func(ctx context.Context, a netip.AddrPort, method string, args, reply any) error {
							if method == Remote+".Relay" {
								return context.DeadlineExceeded
							}
							return call(ctx, a, method, args, reply)
						}
					}
				}
				suspected := false
				for range 100 {
					l.run(board.PulsePeriod)
					suspected = suspected || l.node("a1").member("a2").State != wire.Alive
				}
				require.Equal(t, !relays, suspected)
			})
		})
	}
}

// TestPausedHost stops a host until its peers count it as dead: it acts again only once it has heard of that; without the rule it acts on its old view.
func TestPausedHost(t *testing.T) {
	for _, guard := range []bool{false, true} {
		t.Run(fmt.Sprintf("guard %t", guard), func(t *testing.T) {
			withFleet(t, today, func(l *fleet) {
				n := l.node("a2")
				if !guard {
					n.mayAct = func(*meeting) bool { return true }
				}
				l.freeze("a2")
				l.run(5 * time.Second)
				require.Equal(t, wire.Dead, l.node("a1").member("a2").State)
				l.thaw("a2")
				// Its own calls fail for a while yet, as they would where the machine has only just come back.
				l.net.Cut(func(from, _ netip.AddrPort) bool { return from == n.board.Self.Peers })
				require.False(t, n.board.Pulse.Awake(), "before the first beat")
				l.run(400 * time.Millisecond)
				require.Equal(t, !guard, n.board.Pulse.Awake())
				l.heal()
				l.until(2*time.Second, "awake", n.board.Pulse.Awake)
				l.until(2*time.Second, "alive again", func() bool { return l.sees("abc", "a2", wire.Alive) })
				require.Equal(t, n.board.Self.Incarnation, l.node("a1").member("a2").Incarnation)
				require.NotZero(t, l.node("a1").member("a2").Refutation)
			})
		})
	}
}

func TestPausedHostWithoutPeers(t *testing.T) {
	cases := []struct {
		name     string
		peers    func(*fleet)
		platform bool
		least    time.Duration
		most     time.Duration
	}{
		{name: "peers are gone", peers: func(l *fleet) { l.kill("a2", "a3") }, platform: true, most: time.Second},
		{name: "peers are gone and platform down", peers: func(l *fleet) { l.kill("a2", "a3") }, platform: false, most: time.Second},
		{name: "peers are silent", peers: func(l *fleet) { l.freeze("a2", "a3") }, platform: true, least: LoneBound, most: LoneBound + time.Second},
		{name: "peers are silent and platform down", peers: func(l *fleet) { l.freeze("a2", "a3") }, platform: false, least: LoneBound, most: LoneBound + time.Second},
		{name: "all were paused together", peers: func(*fleet) {}, platform: true, most: time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, map[string]int{"a": 3, "b": 1}, func(l *fleet) {
				l.freeze("a1", "a2", "a3")
				l.run(3 * time.Second)
				l.thaw("a1", "a2", "a3")
				c.peers(l)
				l.platform = c.platform
				n := l.node("a1")
				l.run(board.PulsePeriod)
				require.False(t, n.board.Pulse.Awake())
				took := l.until(c.most, "awake", n.board.Pulse.Awake)
				require.GreaterOrEqual(t, took+board.PulsePeriod, c.least)
			})
		})
	}
}

// TestReplacedRunStaysFenced continues a stopped process whose name a later run has by then.
func TestReplacedRunStaysFenced(t *testing.T) {
	withFleet(t, today, func(l *fleet) {
		old := l.node("a2")
		l.freeze("a2")
		l.run(5 * time.Second)
		later := l.add("a2", "a", nil)
		l.until(7*time.Second, "later run", func() bool {
			return l.node("a1").member("a2").Incarnation == later.board.Self.Incarnation
		})
		l.thaw("a2")
		old.frozen = false
		l.run(2 * LoneBound)
		require.False(t, old.board.Pulse.Awake())
		require.True(t, later.board.Pulse.Awake())
	})
}

func TestCutBetweenDatacentres(t *testing.T) {
	cases := []struct {
		name       string
		one, other string
		// lost and kept are what data centre a thinks of hosts b1 and c1, and b of c1.
		b, c, bc wire.HostState
	}{
		{name: "one pair", one: "a", other: "b", b: wire.Unreachable, c: wire.Alive, bc: wire.Alive},
		{name: "one from all", one: "a", other: "", b: wire.Unreachable, c: wire.Unreachable, bc: wire.Alive},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, today, func(l *fleet) {
				l.cut(c.one, c.other)
				l.until(5*time.Second, "cut", func() bool { return l.sees("a", "b1", c.b) && l.sees("a", "c1", c.c) })
				l.run(time.Minute)
				require.True(t, l.sees("a", "b1", c.b) && l.sees("a", "c1", c.c) && l.sees("b", "c1", c.bc))
				require.True(t, l.sees("a", "a1", wire.Alive), "each data centre goes on by itself")
				l.kill("b3")
				l.run(5 * time.Second)
				l.heal()
				l.until(3*time.Second, "healed", func() bool {
					return l.sees("a", "b1", wire.Alive) && l.sees("a", "c1", wire.Alive) && l.sees("bc", "a1", wire.Alive) && l.sees("a", "b3", wire.Dead)
				})
			})
		})
	}
}

func TestFreshHostJoins(t *testing.T) {
	cases := []struct {
		name     string
		platform bool
		listed   bool
		seeds    bool
		most     time.Duration
	}{
		{name: "by the list", platform: true, listed: true, most: time.Second},
		{name: "by seeds while the platform is down", platform: false, seeds: true, most: time.Second},
		{name: "by seeds while the list lags", platform: true, seeds: true, most: time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, today, func(l *fleet) {
				l.platform = c.platform
				var seeds []netip.AddrPort
				if c.seeds {
					seeds = append(seeds, l.node("c1").board.Self.Peers, l.node("a1").board.Self.Peers)
				}
				n := l.start("a9", "a", seeds)
				l.until(c.most, "joined", n.board.Joined)
				require.Len(t, n.board.View.Load().Members, 10)
				l.until(3*time.Second, "known", func() bool { return l.sees("abc", "a9", wire.Alive) })
			})
		})
	}
}

// TestFirstHostJoins starts a host that nobody answers.
func TestFirstHostJoins(t *testing.T) {
	for _, platform := range []bool{true, false} {
		t.Run(fmt.Sprintf("platform %t", platform), func(t *testing.T) {
			withFleet(t, nil, func(l *fleet) {
				l.platform = platform
				n := l.add("a1", "a", nil)
				took := l.until(joinBound+time.Second, "joined", n.board.Joined)
				require.Equal(t, platform, took < time.Second)
			})
		})
	}
}

// TestCostIsConstant counts the calls of a host per second: they must not grow with the number of hosts.
func TestCostIsConstant(t *testing.T) {
	for _, n := range []int{9, 50, 157} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			withFleet(t, map[string]int{"a": n, "b": 2}, func(l *fleet) {
				l.run(20 * time.Second)
				before, syncs := l.net.Calls(Remote+".Probe"), l.net.Calls(Remote+".Sync")
				l.run(10 * time.Second)
				probes := float64(l.net.Calls(Remote+".Probe")-before) / 10 / float64(n+2)
				require.LessOrEqual(t, probes, 6.0)
				require.LessOrEqual(t, l.net.Calls(Remote+".Sync")-syncs, 0)
			})
		})
	}
}

func TestQueueTellsEachOften(t *testing.T) {
	q := queue[string]{}
	for i := range 30 {
		q.add(fmt.Sprint(i))
	}
	told := map[string]int{}
	for range 100 {
		names := q.take(maxNews, 4)
		require.LessOrEqual(t, len(names), maxNews)
		for _, name := range names {
			told[name]++
		}
	}
	require.Len(t, told, 30)
	for _, count := range told {
		require.Equal(t, 4, count)
	}
	require.Empty(t, q)
}
