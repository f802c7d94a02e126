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

var threeDatacentres = map[string]int{"a": 3, "b": 3, "c": 3}

func TestHostsSeeEachOtherAfterJoining(t *testing.T) {
	withFleet(t, threeDatacentres, func(l *fleet) {
		for _, n := range l.hosts {
			require.True(t, l.everyHostSees("abc", n.board.Self.Name, wire.Alive), n.board.Self.Name)
			require.True(t, n.board.Joined())
		}
	})
}

func TestDeadHostIsDetected(t *testing.T) {
	cases := []struct {
		name  string
		sizes map[string]int
		fail  func(*fleet, ...string)
		proof bool
		near  time.Duration
		far   time.Duration
	}{
		{name: "killed", sizes: threeDatacentres, fail: (*fleet).kill, proof: true, near: time.Second, far: 2 * time.Second},
		{name: "killed among nine", sizes: map[string]int{"a": 9, "b": 1}, fail: (*fleet).kill, proof: true, near: time.Second, far: 2 * time.Second},
		{name: "silent", sizes: threeDatacentres, fail: (*fleet).freeze, near: 2 * time.Second, far: 3 * time.Second},
		{name: "silent among nine", sizes: map[string]int{"a": 9, "b": 1}, fail: (*fleet).freeze, near: 2 * time.Second, far: 3 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, c.sizes, func(l *fleet) {
				c.fail(l, "a2")
				near := l.runUntil(c.near, "own data centre", func() bool { return l.everyHostSees("a", "a2", wire.Dead) })
				far := near + l.runUntil(c.far-near, "others", func() bool { return l.everyHostSees("bc", "a2", wire.Dead) })
				t.Logf("own data centre after %v, others after %v", near, far)
				require.Equal(t, c.proof, l.host("a1").member("a2").Proof)
			})
		})
	}
}

// TestDetectionTimeExceedsPauseThreshold checks that a host is only declared dead for not replying after a time in which it would notice that it was paused.
func TestDetectionTimeExceedsPauseThreshold(t *testing.T) {
	require.Greater(t, MinDetectionTime, board.PauseThreshold)
	require.Greater(t, IsolatedRejoinDelay, 2*MinDetectionTime)
}

func TestLeaveNotifiesHostsAtOnce(t *testing.T) {
	withFleet(t, threeDatacentres, func(l *fleet) {
		l.host("b2").Leave(context.Background())
		require.True(t, l.everyHostSees("b", "b2", wire.Leaving), "Leave must notify the hosts before it returns")
		l.runUntil(time.Second, "others", func() bool { return l.everyHostSees("ac", "b2", wire.Leaving) })
		l.kill("b2")
		l.runUntil(2*time.Second, "gone", func() bool { return l.everyHostSees("abc", "b2", wire.Dead) })
		require.True(t, l.host("b1").member("b2").Proof)
	})
}

func TestSupersedes(t *testing.T) {
	record := func(incarnation, refutation uint64, s wire.HostState) wire.Member {
		return wire.Member{HostID: wire.HostID{Name: "h", Incarnation: incarnation}, Refutation: refutation, State: s}
	}
	cases := []struct {
		name     string
		new, old wire.Member
		want     bool
	}{
		{name: "the same", new: record(1, 0, wire.Alive), old: record(1, 0, wire.Alive), want: false},
		{name: "suspicion", new: record(1, 0, wire.Suspect), old: record(1, 0, wire.Alive), want: true},
		{name: "refutation", new: record(1, 1, wire.Alive), old: record(1, 0, wire.Suspect), want: true},
		{name: "refutation of death", new: record(1, 1, wire.Alive), old: record(1, 0, wire.Dead), want: true},
		{name: "stale alive record", new: record(1, 0, wire.Alive), old: record(1, 0, wire.Dead), want: false},
		{name: "stale suspicion", new: record(1, 0, wire.Suspect), old: record(1, 1, wire.Alive), want: false},
		{name: "alive record after leaving", new: record(1, 5, wire.Alive), old: record(1, 0, wire.Leaving), want: false},
		{name: "leaving of an earlier incarnation", new: record(2, 0, wire.Alive), old: record(1, 0, wire.Leaving), want: true},
		{name: "death after leaving", new: record(1, 0, wire.Dead), old: record(1, 0, wire.Leaving), want: true},
		{name: "leaving refutes death", new: record(1, 1, wire.Leaving), old: record(1, 0, wire.Dead), want: true},
		{name: "earlier incarnation", new: record(1, 9, wire.Dead), old: record(2, 0, wire.Alive), want: false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, c.new.Supersedes(&c.old))
		})
	}
}

// TestReplyOfAnotherHostProvesDeath lets another host reply at the address of one that is gone, which proves the death of the latter.
func TestReplyOfAnotherHostProvesDeath(t *testing.T) {
	withFleet(t, threeDatacentres, func(l *fleet) {
		n := l.host("a2")
		n.killed = true
		l.net.Register(n.board.Self.Peers, ServiceName, NewService(l.host("a3").Peers))
		l.runUntil(2*time.Second, "gone", func() bool { return l.everyHostSees("abc", "a2", wire.Dead) })
		require.True(t, l.host("a1").member("a2").Proof)
	})
}

// TestIndirectProbesPreventFalseSuspicion drops the calls between two hosts only: with indirect probes a1 doesn't suspect a2, without them it does.
func TestIndirectProbesPreventFalseSuspicion(t *testing.T) {
	for _, relays := range []bool{false, true} {
		t.Run(fmt.Sprintf("relays %t", relays), func(t *testing.T) {
			withFleet(t, map[string]int{"a": 5}, func(l *fleet) {
				one, two := l.host("a1").board.Self.Peers, l.host("a2").board.Self.Peers
				l.net.DropCalls(func(from, to netip.AddrPort) bool {
					return (from == one && to == two) || (from == two && to == one)
				})
				if !relays {
					for _, n := range l.hosts {
						call := n.call
						n.call = func(ctx context.Context, a netip.AddrPort, method string, args, reply any) error {
							if method == ServiceName+".Relay" {
								return context.DeadlineExceeded
							}
							return call(ctx, a, method, args, reply)
						}
					}
				}
				suspected := false
				for range 100 {
					l.run(board.HeartbeatPeriod)
					suspected = suspected || l.host("a1").member("a2").State != wire.Alive
				}
				require.Equal(t, !relays, suspected)
			})
		})
	}
}

// TestPausedHostDoesNotActBeforeRejoining pauses a host until its peers declare it dead: it must not act again before it has reached its peers; without canAct it acts on its outdated view.
func TestPausedHostDoesNotActBeforeRejoining(t *testing.T) {
	for _, guard := range []bool{false, true} {
		t.Run(fmt.Sprintf("guard %t", guard), func(t *testing.T) {
			withFleet(t, threeDatacentres, func(l *fleet) {
				n := l.host("a2")
				if !guard {
					n.canAct = func(*joinAttempt) bool { return true }
				}
				l.freeze("a2")
				l.run(5 * time.Second)
				require.Equal(t, wire.Dead, l.host("a1").member("a2").State)
				l.unfreeze("a2")
				// Its own calls fail for a while longer, as if its machine had only just come back.
				l.net.DropCalls(func(from, _ netip.AddrPort) bool { return from == n.board.Self.Peers })
				require.False(t, n.board.PauseDetector.MaySend(), "the pause must be noticed before the first heartbeat")
				l.run(400 * time.Millisecond)
				require.Equal(t, !guard, n.board.PauseDetector.MaySend())
				l.reconnect()
				l.runUntil(2*time.Second, "may send", n.board.PauseDetector.MaySend)
				l.runUntil(2*time.Second, "alive again", func() bool { return l.everyHostSees("abc", "a2", wire.Alive) })
				require.Equal(t, n.board.Self.Incarnation, l.host("a1").member("a2").Incarnation)
				require.NotZero(t, l.host("a1").member("a2").Refutation)
			})
		})
	}
}

func TestPausedHostRejoinsWithoutPeers(t *testing.T) {
	cases := []struct {
		name     string
		peers    func(*fleet)
		platform bool
		least    time.Duration
		most     time.Duration
	}{
		{name: "peers are gone", peers: func(l *fleet) { l.kill("a2", "a3") }, platform: true, most: time.Second},
		{name: "peers are gone and platform down", peers: func(l *fleet) { l.kill("a2", "a3") }, platform: false, most: time.Second},
		{name: "peers are silent", peers: func(l *fleet) { l.freeze("a2", "a3") }, platform: true, least: IsolatedRejoinDelay, most: IsolatedRejoinDelay + time.Second},
		{name: "peers are silent and platform down", peers: func(l *fleet) { l.freeze("a2", "a3") }, platform: false, least: IsolatedRejoinDelay, most: IsolatedRejoinDelay + time.Second},
		{name: "all were paused together", peers: func(*fleet) {}, platform: true, most: time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, map[string]int{"a": 3, "b": 1}, func(l *fleet) {
				l.freeze("a1", "a2", "a3")
				l.run(3 * time.Second)
				l.unfreeze("a1", "a2", "a3")
				c.peers(l)
				l.platformUp = c.platform
				n := l.host("a1")
				l.run(board.HeartbeatPeriod)
				require.False(t, n.board.PauseDetector.MaySend())
				took := l.runUntil(c.most, "may send", n.board.PauseDetector.MaySend)
				require.GreaterOrEqual(t, took+board.HeartbeatPeriod, c.least)
			})
		})
	}
}

// TestReplacedProcessStaysFenced resumes a paused process after another process has started under the same name: the resumed one must not act again.
func TestReplacedProcessStaysFenced(t *testing.T) {
	withFleet(t, threeDatacentres, func(l *fleet) {
		old := l.host("a2")
		l.freeze("a2")
		l.run(5 * time.Second)
		later := l.add("a2", "a", nil)
		l.runUntil(7*time.Second, "later incarnation", func() bool {
			return l.host("a1").member("a2").Incarnation == later.board.Self.Incarnation
		})
		l.unfreeze("a2")
		old.frozen = false
		l.run(2 * IsolatedRejoinDelay)
		require.False(t, old.board.PauseDetector.MaySend())
		require.True(t, later.board.PauseDetector.MaySend())
	})
}

func TestPartitionBetweenDatacentres(t *testing.T) {
	cases := []struct {
		name       string
		one, other string
		// b and c are the states of hosts b1 and c1 as data centre a sees them, bc that of c1 as b sees it.
		b, c, bc wire.HostState
	}{
		{name: "between two data centres", one: "a", other: "b", b: wire.Unreachable, c: wire.Alive, bc: wire.Alive},
		{name: "one data centre from all others", one: "a", other: "", b: wire.Unreachable, c: wire.Unreachable, bc: wire.Alive},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, threeDatacentres, func(l *fleet) {
				l.cut(c.one, c.other)
				l.runUntil(5*time.Second, "cut", func() bool { return l.everyHostSees("a", "b1", c.b) && l.everyHostSees("a", "c1", c.c) })
				l.run(time.Minute)
				require.True(t, l.everyHostSees("a", "b1", c.b) && l.everyHostSees("a", "c1", c.c) && l.everyHostSees("b", "c1", c.bc))
				require.True(t, l.everyHostSees("a", "a1", wire.Alive), "the hosts of a data centre that is cut off must stay alive to each other")
				l.kill("b3")
				l.run(5 * time.Second)
				l.reconnect()
				l.runUntil(3*time.Second, "healed", func() bool {
					return l.everyHostSees("a", "b1", wire.Alive) && l.everyHostSees("a", "c1", wire.Alive) && l.everyHostSees("bc", "a1", wire.Alive) && l.everyHostSees("a", "b3", wire.Dead)
				})
			})
		})
	}
}

func TestNewHostJoins(t *testing.T) {
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
			withFleet(t, threeDatacentres, func(l *fleet) {
				l.platformUp = c.platform
				var seeds []netip.AddrPort
				if c.seeds {
					seeds = append(seeds, l.host("c1").board.Self.Peers, l.host("a1").board.Self.Peers)
				}
				n := l.start("a9", "a", seeds)
				l.runUntil(c.most, "joined", n.board.Joined)
				require.Len(t, n.board.Membership.Load().Members, 10)
				l.runUntil(3*time.Second, "known", func() bool { return l.everyHostSees("abc", "a9", wire.Alive) })
			})
		})
	}
}

// TestFirstHostJoins starts the only host of the fleet: it joins at once if the platform's list shows that there is no other, and else after isolatedJoinDelay.
func TestFirstHostJoins(t *testing.T) {
	for _, platform := range []bool{true, false} {
		t.Run(fmt.Sprintf("platform %t", platform), func(t *testing.T) {
			withFleet(t, nil, func(l *fleet) {
				l.platformUp = platform
				n := l.add("a1", "a", nil)
				took := l.runUntil(isolatedJoinDelay+time.Second, "joined", n.board.Joined)
				require.Equal(t, platform, took < time.Second)
			})
		})
	}
}

// TestCallsPerHostDoNotGrowWithFleet checks that the number of calls per host and second doesn't grow with the number of hosts, and that settled hosts exchange no tables.
func TestCallsPerHostDoNotGrowWithFleet(t *testing.T) {
	for _, n := range []int{9, 50, 157} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			withFleet(t, map[string]int{"a": n, "b": 2}, func(l *fleet) {
				l.run(20 * time.Second)
				before, syncs := l.net.Calls(ServiceName+".Probe"), l.net.Calls(ServiceName+".Sync")
				l.run(10 * time.Second)
				probes := float64(l.net.Calls(ServiceName+".Probe")-before) / 10 / float64(n+2)
				require.LessOrEqual(t, probes, 6.0)
				require.LessOrEqual(t, l.net.Calls(ServiceName+".Sync")-syncs, 0)
			})
		})
	}
}

func TestQueueSendsEachEntryUpToTheLimit(t *testing.T) {
	q := queue[string]{}
	for i := range 30 {
		q.add(fmt.Sprint(i))
	}
	sent := map[string]int{}
	for range 100 {
		names := q.take(maxRecords, 4)
		require.LessOrEqual(t, len(names), maxRecords)
		for _, name := range names {
			sent[name]++
		}
	}
	require.Len(t, sent, 30)
	for _, count := range sent {
		require.Equal(t, 4, count)
	}
	require.Empty(t, q)
}
