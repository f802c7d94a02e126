package order

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"kingcupcross/emul"
	"kingcupcross/fault"
	"kingcupcross/target"
	"kingcupcross/timer"
	"kingcupcross/wire"
)

// onceCase is a fault under which one order is sent again; without its guard it runs twice.
type onceCase struct {
	name    string
	without func(*guards)
	act     func(fl *fleet)
	// last is the kind of the last answer, zero where it is the outcome.
	last fault.Kind
}

func never() bool { return false }

func withoutMinting(g *guards)   { g.mints = never }
func withoutMemory(g *guards)    { g.remembers = never }
func withoutCertainty(g *guards) { g.certain = never }
func withoutSeals(g *guards)     { g.seals = never }
func withoutFloor(g *guards)     { g.floors = never }
func withoutClaims(g *guards)    { g.claims = never }
func withAll(*guards)            {}

// repeatAt sends an order of a1 and then again at another host, with something between.
func repeatAt(host string, between func(*fleet)) func(*fleet) {
	return func(fl *fleet) {
		o := fl.ticketed("a1", 0)
		require.Nil(fl.t, fl.run("a1", o).Fault)
		between(fl)
		fl.run(host, o)
	}
}

func nothing(*fleet) {}

// together sends the same order at two hosts at once.
func together(hosts ...string) func(*fleet) {
	return func(fl *fleet) {
		o := fl.ticketed("a1", 0)
		replies := make(chan wire.OrderReply)
		for _, h := range hosts {
			go func() { replies <- fl.nodes[h].Run(fl.t.Context(), o) }()
		}
		for range hosts {
			fl.note(<-replies)
		}
	}
}

func keyAgain(host string, between func(*fleet)) func(*fleet) {
	return func(fl *fleet) {
		fl.keyed("a1", fl.order(0), false)
		between(fl)
		fl.keyed(host, fl.order(0), true)
	}
}

func setStore(f emul.StoreFaults) func(*fleet) {
	return func(fl *fleet) { fl.store.SetFaults(f) }
}

// loseAnswer lets the target run the order and lose the connection before its reply.
func loseAnswer(fl *fleet) {
	fl.targets[0].SetFaults(emul.TargetFaults{ResetOrders: true})
	fl.run("a1", fl.ticketed("a1", 1))
}

// killKeeper kills the keeper between the send and the reply.
func killKeeper(fl *fleet) {
	k := fl.keeperOf(0)
	fl.frozen.Store(true)
	done := make(chan wire.OrderReply, 1)
	o := fl.ticketed("b1", 1)
	go func() { done <- fl.nodes["b1"].Run(fl.t.Context(), o) }()
	fl.until(func() bool { return fl.runs() > 0 })
	fl.nodes[k].server.Close()
	fl.until(func() bool { return len(done) == 1 || fl.runs() > 1 })
	fl.frozen.Store(false)
	fl.note(<-done)
}

// delayedCopy has the order refused, sends it with a new ticket, and then gets a late copy of the refused request.
func delayedCopy(fl *fleet) {
	o := fl.ticketed("a1", 0)
	fl.targets[0].Leave()
	refused := fl.run("a1", o)
	require.True(fl.t, refused.Fault.NotRun(), refused.Fault)
	fl.targets[0].Restart()
	require.Nil(fl.t, fl.run("a1", fl.ticketed("a1", 0)).Fault)
	fl.run("a2", o)
}

// pastFloor repeats an order whose record made way for later ones.
func pastFloor(fl *fleet) {
	fl.nodes["a1"].ledger.limit = 1
	repeatAt("a2", nothing)(fl)
}

func TestOrderRunsAtMostOnce(t *testing.T) {
	cases := []onceCase{
		{name: "repeat at the same host", without: withoutMemory, act: repeatAt("a1", nothing)},
		{name: "repeat at another host", without: withoutMinting, act: repeatAt("a2", nothing)},
		{name: "repeat at another data centre", without: withoutMinting, act: repeatAt("b1", nothing)},
		{name: "repeat during the first run", without: withoutMemory, act: together("a1", "a1")},
		{name: "repeat elsewhere during the first run", without: withoutMinting, act: together("a1", "a2", "b1")},
		{name: "after the host died", without: withoutMinting, act: repeatAt("a2", func(fl *fleet) { fl.kill("a1") }), last: fault.Unknown},
		{name: "after the host died, at another data centre", without: withoutMinting, act: repeatAt("b1", func(fl *fleet) { fl.kill("a1") }), last: fault.Unknown},
		{name: "after a graceful stop", without: withoutMinting, act: repeatAt("b1", func(fl *fleet) { fl.leave("a1") })},
		{name: "after the successor's graceful stop", without: withoutMinting, act: repeatAt("b1", leaveTwice)},
		{name: "after a graceful stop and its first successor's death", without: withoutMinting, act: repeatAt("b1", func(fl *fleet) {
			fl.leave("a1")
			fl.kill(fl.successor())
		})},
		{name: "store down", without: withoutClaims, act: keyAgain("a2", setStore(emul.StoreFaults{Down: true})), last: fault.Store},
		{name: "claim's reply lost", without: withoutClaims, act: func(fl *fleet) {
			fl.store.SetFaults(emul.StoreFaults{LoseReplies: 1})
			keyAgain("b1", nothing)(fl)
		}},
		{name: "stale replica of the store", without: withoutClaims, act: keyAgain("b1", setStore(emul.StoreFaults{StaleBy: 100})), last: fault.Store},
		{name: "key's holder died", without: withoutClaims, act: keyAgain("b1", func(fl *fleet) { fl.kill("a1") }), last: fault.Unknown},
		{name: "connection reset after bytes left", without: withoutCertainty, act: loseAnswer, last: fault.Unknown},
		{name: "keeper killed between send and reply", without: withoutCertainty, act: killKeeper, last: fault.Unknown},
		{name: "late copy of a refused request", without: withoutSeals, act: delayedCopy, last: fault.NoReplica},
		{name: "record's end", without: withoutFloor, act: pastFloor, last: fault.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, c.without, func(fl *fleet) {
				c.act(fl)
				require.Greater(t, fl.runs(), 1, "without the guard the order must run twice")
			})
			withFleet(t, withAll, func(fl *fleet) {
				c.act(fl)
				require.Equal(t, 1, fl.runs())
				last := fl.replies[len(fl.replies)-1]
				require.Equal(t, kindOf(c.last), kindOf(last), "%+v", last.Fault)
			})
		})
	}
}

func leaveTwice(fl *fleet) {
	fl.leave("a1")
	fl.leave(fl.successor())
}

// successor returns the first successor of a1.
func (fl *fleet) successor() string {
	return rank(fl.nodes["b1"].board.View.Load(), fl.nodes["a1"].board.Self.HostID, "a")[0].Name
}

func kindOf(v any) string {
	switch x := v.(type) {
	case fault.Kind:
		if x != 0 {
			return x.String()
		}
	case wire.OrderReply:
		if x.Fault != nil {
			return x.Fault.Kind.String()
		}
	}
	return "ran"
}

// TestNotRunIsTrue has one order refused or lost in each way; "not run" must be said exactly where it is certain.
func TestNotRunIsTrue(t *testing.T) {
	cases := []struct {
		name   string
		act    func(fl *fleet)
		kind   fault.Kind
		notRun bool
		runs   int
	}{
		{name: "reply lost after the target ran", act: loseAnswer, kind: fault.Unknown, runs: 1},
		{name: "host killed between send and reply", act: killKeeper, kind: fault.Unknown, runs: 1},
		{name: "refused by a target that shed it", act: shed, kind: fault.Overload, notRun: true, runs: 4},
		{name: "minting host dead", act: func(fl *fleet) {
			o := fl.ticketed("a1", 0)
			fl.kill("a1")
			fl.run("a2", o)
		}, kind: fault.Unknown},
		{name: "minting host left before the order came", act: func(fl *fleet) {
			o := fl.ticketed("a1", 0)
			fl.leave("a1")
			fl.run("a2", o)
		}, kind: fault.Leaving, notRun: true},
		{name: "refused by a host that didn't mint the ticket", act: func(fl *fleet) {
			fl.note(fl.nodes["a2"].Refuse(fl.ticketed("a1", 0), fault.New(fault.Out, "out")))
		}, kind: fault.Out},
		{name: "store down at the first try", act: func(fl *fleet) {
			fl.store.SetFaults(emul.StoreFaults{Down: true})
			fl.keyed("a1", fl.order(0), false)
		}, kind: fault.Store, notRun: true},
		{name: "store down at a repeat", act: keyAgain("a2", setStore(emul.StoreFaults{Down: true})), kind: fault.Store, runs: 1},
		{name: "no room before the deadline", act: func(fl *fleet) {
			fl.busy(4)
			o := fl.ticketed("a1", 0)
			o.Left = 100 * time.Millisecond
			fl.note(fl.nodes["a1"].perform(o))
		}, kind: fault.TooLate, notRun: true, runs: 4},
		{name: "deadline passes while it runs", act: func(fl *fleet) {
			o := fl.busy(1)
			o.Left = 50 * time.Millisecond
			fl.run("a2", o)
		}, kind: fault.Unknown, runs: 1},
		{name: "another order with the same ticket", act: func(fl *fleet) {
			o := fl.ticketed("a1", 0)
			fl.run("a1", o)
			o.Payload = []byte("two loads")
			fl.run("b1", o)
		}, kind: fault.Conflict, notRun: true, runs: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, withAll, func(fl *fleet) {
				c.act(fl)
				last := fl.replies[len(fl.replies)-1]
				require.Equal(t, c.kind.String(), kindOf(last), "%v", last.Fault)
				require.Equal(t, c.notRun, last.Fault.NotRun())
				require.Equal(t, c.runs, fl.runs())
			})
		})
	}
}

// busy gives the first target orders that don't end and returns the last.
func (fl *fleet) busy(n int) (last wire.Order) {
	fl.frozen.Store(true)
	for range n {
		last = fl.ticketed("a2", 0)
		go fl.nodes["a2"].Run(fl.t.Context(), last)
	}
	fl.until(func() bool { return fl.runs() == n })
	return last
}

// shed gives the target work that its keeper doesn't know of, so that it refuses what its keeper admits.
func shed(fl *fleet) {
	fl.frozen.Store(true)
	client := target.NewClient(fl.shards.Targets[0].Address, 4)
	for i := range 4 {
		go client.Order(fl.t.Context(), fl.t.Context(), func() error { return nil }, target.Order{ID: fmt.Sprint(i)})
	}
	fl.until(func() bool { return fl.runs() == 4 })
	fl.run("a1", fl.ticketed("a1", 0))
}

func TestRefusedOrderRunsAtALaterAttempt(t *testing.T) {
	withFleet(t, withAll, func(fl *fleet) {
		o := fl.ticketed("a1", 0)
		fl.targets[0].Leave()
		require.True(t, fl.run("b1", o).Fault.NotRun())
		fl.targets[0].Restart()
		require.True(t, fl.run("b1", o).Fault.NotRun(), "the same attempt stays refused")
		o.Attempt = 2
		require.Nil(t, fl.run("b1", o).Fault)
		o.Attempt = 3
		require.Nil(t, fl.run("a2", o).Fault)
		require.Equal(t, 1, fl.runs())
	})
}

func TestShedOrderGoesToTheOtherReplica(t *testing.T) {
	withFleet(t, withAll, func(fl *fleet) {
		fl.targets[0].Leave()
		reply := fl.run("a1", fl.ticketed("a1", 1))
		require.Nil(t, reply.Fault)
		require.Equal(t, "tb", reply.Target)
		require.Equal(t, 1, fl.runs())
	})
}

func TestOrderFollowsItsKeeper(t *testing.T) {
	withFleet(t, withAll, func(fl *fleet) {
		fl.nodes[fl.keeperOf(0)].server.Close()
		replies := make(chan wire.OrderReply, 1)
		o := fl.ticketed("b1", 0)
		go func() { replies <- fl.nodes["b1"].Run(t.Context(), o) }()
		fl.kill(fl.keeperOf(0))
		require.Nil(t, (<-replies).Fault)
		require.Equal(t, 1, fl.runs())
	})
}

func TestPausedHostSendsNothing(t *testing.T) {
	withFleet(t, withAll, func(fl *fleet) {
		fl.nodes[fl.keeperOf(0)].pause()
		o := fl.ticketed("b1", 0)
		o.Left = 2 * keeperWait
		reply := fl.nodes["b1"].perform(o)
		require.Equal(t, fault.Paused.String(), kindOf(reply))
		require.True(t, reply.Fault.NotRun())
		require.Zero(t, fl.runs())
	})
}

func TestClaimsShareWrites(t *testing.T) {
	withFleet(t, withAll, func(fl *fleet) {
		const more = 50
		n := fl.nodes["a1"]
		clock, manual := timer.NewManual(time.Unix(1000, 0))
		c := newClaims(clock, n.board, n.dialer, n.claims.platform, tally.NoopScope)
		claim := func(i int) wire.ClaimReply {
			return c.write(wire.Claim{Document: Claims + "d", Digest: fmt.Sprint(i), Ticket: "first"})
		}
		require.Equal(t, "first", claim(0).Ticket)
		done := make(chan wire.ClaimReply)
		for i := range more {
			go func() { done <- claim(i) }()
		}
		fl.until(func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return len(c.pending[Claims+"d"]) == more && manual.Waiting() == 1
		})
		manual.Advance(claimWindow)
		for range more {
			require.Equal(t, "first", (<-done).Ticket)
		}
		require.Equal(t, uint64(2), fl.store.Calls()["put"])
	})
}

func TestSweepDeletesOnlyClaimsThatNoHostAccepts(t *testing.T) {
	withFleet(t, withAll, func(fl *fleet) {
		n := fl.nodes["a1"]
		now := time.Unix(1e9, 0)
		ages := []time.Duration{claimLife + time.Hour, claimLife, claimLife - time.Hour, 0}
		for _, age := range ages {
			k := Key{Service: "silo", Name: "k", Since: now.Add(-age)}
			fl.store.Put(k.claim("").Document, []byte("{}"))
		}
		next, err := n.claims.sweep(t.Context(), now)
		require.NoError(t, err)
		require.Equal(t, now.Add(time.Hour), next)
		require.Equal(t, uint64(2), fl.store.Calls()["delete"])
		require.Less(t, KeyLife, claimLife, "no host may accept a key whose claim is gone")
	})
}

func TestKeyOutsideItsLifeDoesNotRun(t *testing.T) {
	now := time.Unix(1e9, 0)
	require.Nil(t, Key{Since: now.Add(-KeyLife)}.check(now))
	require.True(t, fault.Is(Key{Since: now.Add(-KeyLife - 1)}.check(now), fault.Unknown))
	require.True(t, fault.Is(Key{Since: now.Add(2 * keyAhead)}.check(now), fault.Invalid))
}

func TestTicketsOutliveOthersByTimeOnly(t *testing.T) {
	clock, manual := timer.NewManual(time.Unix(1000, 0))
	l := newLedger(clock)
	l.mint(3)
	manual.Advance(ticketLife)
	l.mint(2)
	require.Zero(t, l.floor, "tickets live at least their whole life")
	manual.Advance(2 * markStep)
	l.expire()
	require.Equal(t, uint64(3), l.floor)
	require.Len(t, l.marks, 1)
}
