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

func guards(t *testing.T, f func(*testing.T, bool)) {
	t.Helper()
	for _, guard := range []bool{false, true} {
		t.Run(fmt.Sprintf("guard %t", guard), func(t *testing.T) { f(t, guard) })
	}
}

// TestChangeReachesAll covers the faults of the table: the spread between hosts is the mechanism that is taken out.
func TestChangeReachesAll(t *testing.T) {
	cases := []struct {
		name string
		// fault brings the fault about and returns the number of the change that must be in force, and where.
		fault func(*fleet) (uint64, string)
		// needed says that the bound isn't kept without the mechanism.
		needed bool
	}{
		{name: "no fault", needed: true, fault: func(l *fleet) (uint64, string) {
			return l.accept("deadline", `"2s"`).N, "abc"
		}},
		{name: "store down right after acceptance", needed: true, fault: func(l *fleet) (uint64, string) {
			c := l.accept("deadline", `"2s"`)
			for _, n := range l.nodes {
				if n.spread.watches() {
					require.NoError(l.t, n.spread.readLog(context.Background()))
					break
				}
			}
			l.store.SetFaults(emul.StoreFaults{Down: true})
			return c.N, "abc"
		}},
		{name: "fresh host while the platform is down", needed: true, fault: func(l *fleet) (uint64, string) {
			c := l.accept("deadline", `"2s"`)
			l.run(inForce)
			l.store.SetFaults(emul.StoreFaults{Down: true})
			l.cutStore = "abc"
			l.kill("a1")
			l.add("a1", "a")
			return c.N, "a"
		}},
		{name: "data centre cut off and back", needed: true, fault: func(l *fleet) (uint64, string) {
			l.cut("b")
			l.cutStore = "b"
			l.run(5 * time.Second)
			c := l.accept("deadline", `"2s"`)
			l.run(time.Minute)
			require.False(l.t, l.everywhere("b", c.N))
			l.heal()
			return c.N, "abc"
		}},
		{name: "watchers killed with the change", needed: true, fault: func(l *fleet) (uint64, string) {
			c := l.accept("deadline", `"2s"`)
			var gone []string
			for _, n := range l.nodes {
				if n.board.Self.Datacentre == "a" && n.spread.watches() {
					gone = append(gone, n.name)
				}
			}
			for _, name := range gone {
				l.kill(name)
			}
			return c.N, "abc"
		}},
		{name: "stale replica", needed: true, fault: func(l *fleet) (uint64, string) {
			c := l.accept("deadline", `"2s"`)
			l.run(time.Second)
			l.store.SetFaults(emul.StoreFaults{StaleBy: 1})
			return c.N, "abc"
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			guards(t, func(t *testing.T, guard bool) {
				withFleet(t, 5, func(l *fleet) {
					l.alone = !guard
					n, where := c.fault(l)
					reached := l.within(inForce, func() bool { return l.everywhere(where, n) })
					require.Equal(t, guard || !c.needed, reached)
					l.run(10 * time.Second)
					require.False(t, l.mixed, "two changes under one number")
					require.False(t, l.revert, "a host went back")
				})
			})
		})
	}
}

// TestFreshHostIsReady shows that a host is opened to callers only once it knows its peers and has settings and maps, also with the platform down.
func TestFreshHostIsReady(t *testing.T) {
	withFleet(t, 3, func(l *fleet) {
		l.store.SetFaults(emul.StoreFaults{Down: true})
		l.cutStore = "abc"
		n := l.add("a9", "a")
		require.Equal(t, board.Starting, n.board.Phase())
		require.True(t, l.within(time.Second, func() bool { return n.board.Phase() == board.Ready }))
		require.Equal(t, l.node("a1").board.Tree.Load().Last, n.board.Tree.Load().Last)
		require.NotNil(t, n.board.Map("dispatch"))
	})
}

// TestLateSnapshot lets a stale replica's snapshot arrive after peers have brought newer settings.
func TestLateSnapshot(t *testing.T) {
	guards(t, func(t *testing.T, guard bool) {
		withFleet(t, 2, func(l *fleet) {
			for range snapshotEvery + 3 {
				l.accept("queue", fmt.Sprint(100+len(l.ids)))
			}
			l.run(2 * time.Second)
			n := l.node("a1")
			require.Greater(t, n.board.Tree.Load().N, uint64(snapshotEvery))
			l.check()
			if !guard {
				n.spread.replaces = func(*tree.Tree, *tree.Tree) bool { return true }
			}
			require.NoError(t, n.spread.readSnapshot(context.Background()))
			l.check()
			require.Equal(t, !guard, l.revert)
		})
	})
}

// TestSplitHistory lets the store lose a change and take another one under its number, as after a restore.
func TestSplitHistory(t *testing.T) {
	guards(t, func(t *testing.T, guard bool) {
		withFleet(t, 2, func(l *fleet) {
			c := l.accept("deadline", `"2s"`)
			l.run(2 * time.Second)
			lost := l.node("a1").board.Tree.Load()
			require.Equal(t, c.ID, lost.Last)
			other := tree.Change{N: c.N, ID: "other", Prev: c.Prev, Author: "op", Reason: "restored", Ops: l.proposal("deadline", `"3s"`).Ops}
			next := tree.Change{N: c.N + 1, ID: "next", Prev: "other", Author: "op", Reason: "after", Ops: l.proposal("queue", "7").Ops}
			if !guard {
				next.Prev = ""
			}
			for _, o := range []tree.Change{other, next} {
				raw, err := json.Marshal(o)
				require.NoError(t, err)
				l.store.Put(LogKey(o.N), raw)
			}
			l.run(inForce)
			for _, n := range l.nodes {
				now := n.board.Tree.Load()
				require.Equal(t, guard, now.Last == c.ID, "with the guard the host keeps what it has, without it two histories mix")
			}
			fresh := l.add("a9", "a")
			l.run(inForce)
			require.Equal(t, l.node("a1").board.Tree.Load().Last, fresh.board.Tree.Load().Last, "a fresh host follows its peers")
			require.False(t, l.revert)
		})
	})
}

// TestSplitIsDetected compares hosts that have different changes under one number.
func TestSplitIsDetected(t *testing.T) {
	withFleet(t, 2, func(l *fleet) {
		a, b := l.node("a1"), l.node("b1")
		var got wire.FetchReply
		heads := b.spread.Heads()
		heads.Last = "other"
		require.NoError(t, NewService(a.spread).Fetch(wire.Fetch{Heads: heads}, &got))
		require.True(t, got.Split)
		require.Empty(t, got.Changes)
		a.spread.Heard(b.board.Self, heads)
		require.Equal(t, "other", a.spread.split)
	})
}

// TestOperatorsRace lets two operators change the same tree: one wins and the other is told what the winner did.
func TestOperatorsRace(t *testing.T) {
	guards(t, func(t *testing.T, guard bool) {
		withFleet(t, 3, func(l *fleet) {
			ctx := context.Background()
			one, two := l.writer(), l.writer()
			if !guard {
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
			won, err := one.Append(ctx, t1, l.proposal("deadline", `"2s"`))
			require.NoError(t, err)
			l.run(time.Second)
			_, err = two.Append(ctx, t1, l.proposal("deadline", `"3s"`))
			var conflict *ConflictError
			require.Equal(t, guard, errors.As(err, &conflict))
			if guard {
				require.Equal(t, won.ID, conflict.Won.ID)
				require.Equal(t, won.Ops, conflict.Won.Ops)
				require.True(t, fault.Is(err, fault.Conflict))
			}
			l.cutStore = "bc"
			l.kill("a1")
			l.kill("a2")
			l.kill("a3")
			l.cut("a")
			l.add("a4", "a")
			l.run(inForce)
			require.Equal(t, !guard, l.mixed, "an overwritten change is seen by some hosts and not by others")
		})
	})
}

// TestWriterTellsTheTruth compares the writer's verdict with what stands in the store, for each fault of the store.
func TestWriterTellsTheTruth(t *testing.T) {
	cases := []struct {
		name   string
		faults emul.StoreFaults
		// lie says that a writer that trusts an empty read-back is wrong.
		lie bool
		// accepted and unknown are the verdict.
		accepted bool
		unknown  bool
	}{
		{name: "no fault", accepted: true},
		{name: "reply lost", faults: emul.StoreFaults{LoseReplies: 1}, accepted: true},
		{name: "replies lost", faults: emul.StoreFaults{LoseReplies: 3}, accepted: true},
		{name: "reply lost and stale replica", faults: emul.StoreFaults{LoseReplies: 1, StaleBy: 1}, lie: true, unknown: true},
		{name: "down", faults: emul.StoreFaults{Down: true}, unknown: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			guards(t, func(t *testing.T, guard bool) {
				withFleet(t, 1, func(l *fleet) {
					ctx := context.Background()
					w := l.writer()
					w.certain = !guard
					now, err := w.Latest(ctx)
					require.NoError(t, err)
					l.store.SetFaults(c.faults)
					change, err := w.Append(ctx, now, l.proposal("deadline", `"2s"`))
					l.store.SetFaults(emul.StoreFaults{})
					e, found, getErr := l.client.Get(ctx, LogKey(change.N))
					require.NoError(t, getErr)
					stands := found && e.Revision > 0
					var unsettled *UnsettledError
					unknown := errors.As(err, &unsettled)
					lied := !unknown && (err == nil) != stands
					require.Equal(t, c.lie && !guard, lied, "verdict %v, stands %t", err, stands)
					if guard {
						require.Equal(t, c.accepted, err == nil)
						require.Equal(t, c.unknown, unknown)
					}
				})
			})
		})
	}
}

// TestUnsentChange has nobody listen at the store's address: then it is certain that the change took no effect.
func TestUnsentChange(t *testing.T) {
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

// TestHistoryIsWhole reads the audit trail of a log that has snapshots.
func TestHistoryIsWhole(t *testing.T) {
	withFleet(t, 1, func(l *fleet) {
		for i := range snapshotEvery {
			l.accept("queue", fmt.Sprint(100+i))
		}
		_, found, err := l.client.Get(context.Background(), Snapshot)
		require.NoError(t, err)
		require.True(t, found)
		all, err := l.writer().History(context.Background(), 0, 1000)
		require.NoError(t, err)
		require.Len(t, all, snapshotEvery+1)
		_, changes, err := l.writer().Read(context.Background(), tree.Empty())
		require.NoError(t, err)
		require.Equal(t, all, changes)
		reads := l.store.Calls()
		_, err = l.writer().Latest(context.Background())
		require.NoError(t, err)
		now := l.store.Calls()
		require.LessOrEqual(t, now["get"]+now["list"]-reads["get"]-reads["list"], uint64(3))
	})
}

// TestStoreCallsDoNotGrowWithHosts counts the reads of the store at two sizes.
func TestStoreCallsDoNotGrowWithHosts(t *testing.T) {
	var counts []uint64
	for _, hosts := range []int{3, 30} {
		withFleet(t, hosts, func(l *fleet) {
			before := l.store.Calls()
			l.run(10 * time.Second)
			now := l.store.Calls()
			counts = append(counts, now["list"]+now["get"]-before["list"]-before["get"])
		})
	}
	require.Equal(t, counts[0], counts[1])
}

func TestChildrenCoverAll(t *testing.T) {
	for _, n := range []int{1, 2, 5, 9, 157} {
		var members []wire.Member
		for i := range n {
			members = append(members, wire.Member{HostID: wire.HostID{Name: fmt.Sprintf("h%03d", i)}})
		}
		origin := members[n/2].Name
		told := map[string]int{origin: 1}
		for _, m := range members {
			below := children(members, origin, m.Name)
			require.LessOrEqual(t, len(below), fanout)
			for _, c := range below {
				told[c.Name]++
			}
		}
		require.Len(t, told, n)
		for name, count := range told {
			require.Equal(t, 1, count, name)
		}
	}
}
