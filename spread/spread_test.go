package spread

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/board"
	"kingcupcross/emul"
	"kingcupcross/fault"
	"kingcupcross/store"
	"kingcupcross/tree"
	"kingcupcross/wire"
)

// withAndWithoutMechanism runs f twice: with the mechanism under test disabled, where the fault must show, and with it enabled, where it must not.
func withAndWithoutMechanism(t *testing.T, f func(*testing.T, bool)) {
	t.Helper()
	for _, enabled := range []bool{false, true} {
		t.Run(fmt.Sprintf("mechanism %t", enabled), func(t *testing.T) { f(t, enabled) })
	}
}

// TestChangeReachesAllHostsUnderFaults checks that a change reaches all hosts within changeBound during each fault, and that it doesn't without the offers between hosts.
func TestChangeReachesAllHostsUnderFaults(t *testing.T) {
	cases := []struct {
		name string
		// fault causes the fault and returns the number of the change to wait for and the data centres that must apply it.
		fault func(*fleet) (uint64, string)
		// needed says that the bound is missed without the offers.
		needed bool
	}{
		{name: "no fault", needed: true, fault: func(l *fleet) (uint64, string) {
			return l.mustAppend("deadline", `"2s"`).N, "abc"
		}},
		{name: "store down right after acceptance", needed: true, fault: func(l *fleet) (uint64, string) {
			c := l.mustAppend("deadline", `"2s"`)
			for _, n := range l.nodes {
				if n.distributor.isWatcher() {
					require.NoError(l.t, n.distributor.readLog(context.Background()))
					break
				}
			}
			l.store.SetFaults(emul.StoreFaults{Down: true})
			return c.N, "abc"
		}},
		{name: "new host while the platform is down", needed: true, fault: func(l *fleet) (uint64, string) {
			c := l.mustAppend("deadline", `"2s"`)
			l.advance(changeBound)
			l.store.SetFaults(emul.StoreFaults{Down: true})
			l.cutStore = "abc"
			l.kill("a1")
			l.addHost("a1", "a")
			return c.N, "a"
		}},
		{name: "data centre cut off and reconnected", needed: true, fault: func(l *fleet) (uint64, string) {
			l.cut("b")
			l.cutStore = "b"
			l.advance(5 * time.Second)
			c := l.mustAppend("deadline", `"2s"`)
			l.advance(time.Minute)
			require.False(l.t, l.allReached("b", c.N))
			l.reconnect()
			return c.N, "abc"
		}},
		{name: "watchers killed with the change", needed: true, fault: func(l *fleet) (uint64, string) {
			c := l.mustAppend("deadline", `"2s"`)
			var watchers []string
			for _, n := range l.nodes {
				if n.board.Self.Datacentre == "a" && n.distributor.isWatcher() {
					watchers = append(watchers, n.name)
				}
			}
			for _, name := range watchers {
				l.kill(name)
			}
			return c.N, "abc"
		}},
		{name: "stale replica", needed: true, fault: func(l *fleet) (uint64, string) {
			c := l.mustAppend("deadline", `"2s"`)
			l.advance(time.Second)
			l.store.SetFaults(emul.StoreFaults{StaleBy: 1})
			return c.N, "abc"
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withAndWithoutMechanism(t, func(t *testing.T, enabled bool) {
				withFleet(t, 5, func(l *fleet) {
					l.withoutOffers = !enabled
					n, where := c.fault(l)
					reached := l.holdsWithin(changeBound, func() bool { return l.allReached(where, n) })
					require.Equal(t, enabled || !c.needed, reached)
					l.advance(10 * time.Second)
					require.False(t, l.conflictSeen, "no two changes may have the same number")
					require.False(t, l.revertSeen, "no host may go back to an older change")
				})
			})
		})
	}
}

// TestNewHostBecomesReadyWithStoreDown checks that a new host isn't ready at first and becomes ready from its peers alone, with their settings and maps, while the store is down.
func TestNewHostBecomesReadyWithStoreDown(t *testing.T) {
	withFleet(t, 3, func(l *fleet) {
		l.store.SetFaults(emul.StoreFaults{Down: true})
		l.cutStore = "abc"
		n := l.addHost("a9", "a")
		require.Equal(t, board.Starting, n.board.Phase())
		require.True(t, l.holdsWithin(time.Second, func() bool { return n.board.Phase() == board.Ready }))
		require.Equal(t, l.node("a1").board.Tree.Load().LastChangeID, n.board.Tree.Load().LastChangeID)
		require.NotNil(t, n.board.ShardMap("dispatch"))
	})
}

// TestStaleSnapshotDoesNotRevertSettings reads an old snapshot, as from a stale replica of the store, after the host got newer settings from its peers.
func TestStaleSnapshotDoesNotRevertSettings(t *testing.T) {
	withAndWithoutMechanism(t, func(t *testing.T, enabled bool) {
		withFleet(t, 2, func(l *fleet) {
			for range snapshotInterval + 3 {
				l.mustAppend("queue", fmt.Sprint(100+len(l.ids)))
			}
			l.advance(2 * time.Second)
			n := l.node("a1")
			require.Greater(t, n.board.Tree.Load().ChangeNumber, uint64(snapshotInterval))
			l.checkInvariants()
			if !enabled {
				n.distributor.shouldInstall = func(*tree.Tree, *tree.Tree) bool { return true }
			}
			require.NoError(t, n.distributor.readSnapshot(context.Background()))
			l.checkInvariants()
			require.Equal(t, !enabled, l.revertSeen)
		})
	})
}

// TestConflictingHistoriesAreNotMixed replaces an applied change in the store by another one of the same number, as a restore from a backup can.
// Hosts must keep their history and not apply the changes that follow in the other one.
func TestConflictingHistoriesAreNotMixed(t *testing.T) {
	withAndWithoutMechanism(t, func(t *testing.T, enabled bool) {
		withFleet(t, 2, func(l *fleet) {
			c := l.mustAppend("deadline", `"2s"`)
			l.advance(2 * time.Second)
			lost := l.node("a1").board.Tree.Load()
			require.Equal(t, c.ID, lost.LastChangeID)
			other := tree.Change{N: c.N, ID: "other", Prev: c.Prev, Author: "op", Reason: "restored", Ops: l.proposal("deadline", `"3s"`).Ops}
			next := tree.Change{N: c.N + 1, ID: "next", Prev: "other", Author: "op", Reason: "after", Ops: l.proposal("queue", "7").Ops}
			if !enabled {
				next.Prev = ""
			}
			for _, o := range []tree.Change{other, next} {
				raw, err := json.Marshal(o)
				require.NoError(t, err)
				l.store.Put(LogKey(o.N), raw)
			}
			l.advance(changeBound)
			for _, n := range l.nodes {
				now := n.board.Tree.Load()
				require.Equal(t, enabled, now.LastChangeID == c.ID, "a host must keep its history; without the check of the previous id it applies the other one")
			}
			fresh := l.addHost("a9", "a")
			l.advance(changeBound)
			require.Equal(t, l.node("a1").board.Tree.Load().LastChangeID, fresh.board.Tree.Load().LastChangeID, "a new host must have the settings of its peers")
			require.False(t, l.revertSeen)
		})
	})
}

// TestConflictingChangeIsDetected checks that both a fetch and the heads of a host with another change under the same number report the conflict.
func TestConflictingChangeIsDetected(t *testing.T) {
	withFleet(t, 2, func(l *fleet) {
		a, b := l.node("a1"), l.node("b1")
		var got wire.FetchReply
		heads := b.distributor.Heads()
		heads.Last = "other"
		require.NoError(t, NewService(a.distributor).Fetch(wire.Fetch{Heads: heads}, &got))
		require.True(t, got.Split)
		require.Empty(t, got.Changes)
		a.distributor.OnPeerHeads(b.board.Self, heads)
		require.Equal(t, "other", a.distributor.conflictingID)
	})
}

// TestConcurrentChangesConflict lets two operators append a change to the same tree: the first succeeds and the second gets a ConflictError with the first one's change.
// If the second could overwrite the first, some hosts would apply one change and some the other.
func TestConcurrentChangesConflict(t *testing.T) {
	withAndWithoutMechanism(t, func(t *testing.T, enabled bool) {
		withFleet(t, 3, func(l *fleet) {
			ctx := context.Background()
			one, two := l.writer(), l.writer()
			if !enabled {
				two.put = func(ctx context.Context, key string, w store.Write) (uint64, error) {
					e, _, err := l.client.Get(ctx, key)
					if err != nil {
						return 0, err
					}
					w.Expect = e.Revision
					return l.client.Put(ctx, key, w)
				}
			}
			t1, err := one.Latest(ctx)
			require.NoError(t, err)
			first, err := one.Append(ctx, t1, l.proposal("deadline", `"2s"`))
			require.NoError(t, err)
			l.advance(time.Second)
			_, err = two.Append(ctx, t1, l.proposal("deadline", `"3s"`))
			var conflict *ConflictError
			require.Equal(t, enabled, errors.As(err, &conflict))
			if enabled {
				require.Equal(t, first.ID, conflict.Existing.ID)
				require.Equal(t, first.Ops, conflict.Existing.Ops)
				require.True(t, fault.Is(err, fault.Conflict))
			}
			l.cutStore = "bc"
			l.kill("a1")
			l.kill("a2")
			l.kill("a3")
			l.cut("a")
			l.addHost("a4", "a")
			l.advance(changeBound)
			require.Equal(t, !enabled, l.conflictSeen, "hosts differ only if a change can be overwritten")
		})
	})
}

// TestAppendReportsActualOutcome compares the outcome that Append reports with the change that is in the store afterwards, for each fault of the store.
func TestAppendReportsActualOutcome(t *testing.T) {
	cases := []struct {
		name   string
		faults emul.StoreFaults
		// wrong says that a writer that trusts an empty read reports the wrong outcome.
		wrong bool
		// accepted and unknown are the outcome that Append must report.
		accepted bool
		unknown  bool
	}{
		{name: "no fault", accepted: true},
		{name: "one reply lost", faults: emul.StoreFaults{LoseReplies: 1}, accepted: true},
		{name: "three replies lost", faults: emul.StoreFaults{LoseReplies: 3}, accepted: true},
		{name: "reply lost and stale replica", faults: emul.StoreFaults{LoseReplies: 1, StaleBy: 1}, wrong: true, unknown: true},
		{name: "store down", faults: emul.StoreFaults{Down: true}, unknown: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withAndWithoutMechanism(t, func(t *testing.T, enabled bool) {
				withFleet(t, 1, func(l *fleet) {
					ctx := context.Background()
					w := l.writer()
					w.trustEmptyRead = !enabled
					now, err := w.Latest(ctx)
					require.NoError(t, err)
					l.store.SetFaults(c.faults)
					change, err := w.Append(ctx, now, l.proposal("deadline", `"2s"`))
					l.store.SetFaults(emul.StoreFaults{})
					e, found, getErr := l.client.Get(ctx, LogKey(change.N))
					require.NoError(t, getErr)
					stored := found && e.Revision > 0
					var outcomeUnknown *OutcomeUnknownError
					unknown := errors.As(err, &outcomeUnknown)
					isWrong := !unknown && (err == nil) != stored
					require.Equal(t, c.wrong && !enabled, isWrong, "outcome %v, stored %t", err, stored)
					if enabled {
						require.Equal(t, c.accepted, err == nil)
						require.Equal(t, c.unknown, unknown)
					}
				})
			})
		})
	}
}

// TestUnsentChangeIsReportedAsNotRun appends a change while nothing listens at the store's address: the error must say that the change took no effect.
func TestUnsentChangeIsReportedAsNotRun(t *testing.T) {
	w := &Writer{}
	withFleet(t, 1, func(l *fleet) { *w = *l.writer() })
	_, err := w.Append(context.Background(), tree.Empty(), Proposal{
		Author: "op",
		Reason: "test",
		Ops:    []tree.Op{{Path: "org", Key: "queue", After: json.RawMessage("7")}},
	})
	require.True(t, fault.Is(err, fault.Store))
	require.True(t, fault.Of(err).NotRun())
}

// TestHistoryReturnsAllChangesDespiteSnapshots checks that the log keeps all changes after a snapshot was stored, and that Latest needs few reads thanks to the snapshot.
func TestHistoryReturnsAllChangesDespiteSnapshots(t *testing.T) {
	withFleet(t, 1, func(l *fleet) {
		for i := range snapshotInterval {
			l.mustAppend("queue", fmt.Sprint(100+i))
		}
		_, found, err := l.client.Get(context.Background(), SnapshotKey)
		require.NoError(t, err)
		require.True(t, found)
		all, err := l.writer().History(context.Background(), 0, 1000)
		require.NoError(t, err)
		require.Len(t, all, snapshotInterval+1)
		_, changes, err := l.writer().ChangesAfter(context.Background(), tree.Empty())
		require.NoError(t, err)
		require.Equal(t, all, changes)
		reads := l.store.Calls()
		_, err = l.writer().Latest(context.Background())
		require.NoError(t, err)
		now := l.store.Calls()
		require.LessOrEqual(t, now["get"]+now["list"]-reads["get"]-reads["list"], uint64(3))
	})
}

// TestStoreCallsDoNotGrowWithHosts checks that fleets of two sizes read the store equally often, since only the watchers read it.
func TestStoreCallsDoNotGrowWithHosts(t *testing.T) {
	var counts []uint64
	for _, hosts := range []int{3, 30} {
		withFleet(t, hosts, func(l *fleet) {
			before := l.store.Calls()
			l.advance(10 * time.Second)
			now := l.store.Calls()
			counts = append(counts, now["list"]+now["get"]-before["list"]-before["get"])
		})
	}
	require.Equal(t, counts[0], counts[1])
}

// TestChildrenReachEachHostOnce checks that the distribution tree covers every host exactly once and that no host has more than fanout children.
func TestChildrenReachEachHostOnce(t *testing.T) {
	for _, n := range []int{1, 2, 5, 9, 157} {
		var members []wire.Member
		for i := range n {
			members = append(members, wire.Member{HostID: wire.HostID{Name: fmt.Sprintf("h%03d", i)}})
		}
		origin := members[n/2].Name
		received := map[string]int{origin: 1}
		for _, m := range members {
			offered := children(members, origin, m.Name)
			require.LessOrEqual(t, len(offered), fanout)
			for _, c := range offered {
				received[c.Name]++
			}
		}
		require.Len(t, received, n)
		for name, count := range received {
			require.Equal(t, 1, count, name)
		}
	}
}
