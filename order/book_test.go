package order

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"kingcupcross/bound"
	"kingcupcross/emul"
	"kingcupcross/fault"
	"kingcupcross/target"
	"kingcupcross/timer"
	"kingcupcross/wire"
)

// atMostOnceCase is a scenario in which an order is sent more than once; with the guard disabled it must run twice, which shows that the scenario tests it.
type atMostOnceCase struct {
	name string
	// disable disables the guard that the scenario needs.
	disable  func(*guards)
	scenario func(fl *fleet)
	// last is the kind of the last reply's fault, zero if the reply is the outcome.
	last fault.Kind
}

func disabled() bool { return false }

func withoutIssuerCheck(g *guards)  { g.onlyIssuerRuns = disabled }
func withoutOutcomeReuse(g *guards) { g.reusesOutcome = disabled }
func withoutNotRunCheck(g *guards)  { g.retriesOnlyNotRun = disabled }
func withoutKeptRefusals(g *guards) { g.keepsRefusal = disabled }
func withoutFloorCheck(g *guards)   { g.enforcesFloor = disabled }
func withoutKeyClaims(g *guards)    { g.claimsKeys = disabled }
func withAllGuards(*guards)         {}

// repeatAtHost runs an order with a ticket of a1 at a1, calls between, and runs the same order at the given host.
func repeatAtHost(host string, between func(*fleet)) func(*fleet) {
	return func(fl *fleet) {
		o := fl.newTicketedOrder("a1", 0)
		require.Nil(fl.t, fl.runAt("a1", o).Fault)
		between(fl)
		fl.runAt(host, o)
	}
}

func noAction(*fleet) {}

// runConcurrently sends the same order to all of the hosts at once.
func runConcurrently(hosts ...string) func(*fleet) {
	return func(fl *fleet) {
		o := fl.newTicketedOrder("a1", 0)
		replies := make(chan wire.OrderReply)
		for _, h := range hosts {
			go func() { replies <- fl.nodes[h].Run(fl.t.Context(), o) }()
		}
		for range hosts {
			fl.recordReply(<-replies)
		}
	}
}

// repeatKeyAtHost runs an order with a caller's key at a1, calls between, and repeats the key at the given host.
func repeatKeyAtHost(host string, between func(*fleet)) func(*fleet) {
	return func(fl *fleet) {
		fl.runKeyedAt("a1", fl.newOrder(0), false)
		between(fl)
		fl.runKeyedAt(host, fl.newOrder(0), true)
	}
}

// setStoreFaults returns a step that makes the emulated store fail in the given way.
func setStoreFaults(f emul.StoreFaults) func(*fleet) {
	return func(fl *fleet) { fl.store.SetFaults(f) }
}

// loseTargetReply makes the target run the order and reset the connection before it replies.
func loseTargetReply(fl *fleet) {
	fl.targets[0].SetFaults(emul.TargetFaults{ResetOrders: true})
	fl.runAt("a1", fl.newTicketedOrder("a1", 1))
}

// killKeeperBeforeReply closes the keeper's server after the target started the order and before the keeper replied.
func killKeeperBeforeReply(fl *fleet) {
	k := fl.keeperOf(0)
	fl.frozen.Store(true)
	done := make(chan wire.OrderReply, 1)
	o := fl.newTicketedOrder("b1", 1)
	go func() { done <- fl.nodes["b1"].Run(fl.t.Context(), o) }()
	fl.eventually(func() bool { return fl.countRuns() > 0 })
	fl.nodes[k].server.Close()
	fl.eventually(func() bool { return len(done) == 1 || fl.countRuns() > 1 })
	fl.frozen.Store(false)
	fl.recordReply(<-done)
}

// replayRefusedRequest gets an order refused, runs it with a new ticket and then delivers a late copy of the refused request.
func replayRefusedRequest(fl *fleet) {
	o := fl.newTicketedOrder("a1", 0)
	fl.targets[0].Leave()
	refused := fl.runAt("a1", o)
	require.True(fl.t, refused.Fault.NotRun(), refused.Fault)
	fl.targets[0].Restart()
	require.Nil(fl.t, fl.runAt("a1", fl.newTicketedOrder("a1", 0)).Fault)
	fl.runAt("a2", o)
}

// repeatBelowFloor repeats an order whose ticket expired early because the records took too much memory.
func repeatBelowFloor(fl *fleet) {
	fl.nodes["a1"].ledger.maxBytes = 1
	repeatAtHost("a2", noAction)(fl)
}

func TestOrderRunsAtMostOnce(t *testing.T) {
	cases := []atMostOnceCase{
		{name: "repeat at the same host", disable: withoutOutcomeReuse, scenario: repeatAtHost("a1", noAction)},
		{name: "repeat at another host", disable: withoutIssuerCheck, scenario: repeatAtHost("a2", noAction)},
		{name: "repeat at another data centre", disable: withoutIssuerCheck, scenario: repeatAtHost("b1", noAction)},
		{name: "repeat during the first run", disable: withoutOutcomeReuse, scenario: runConcurrently("a1", "a1")},
		{name: "repeat elsewhere during the first run", disable: withoutIssuerCheck, scenario: runConcurrently("a1", "a2", "b1")},
		{name: "after the host died", disable: withoutIssuerCheck, scenario: repeatAtHost("a2", func(fl *fleet) { fl.kill("a1") }), last: fault.Unknown},
		{name: "after the host died, at another data centre", disable: withoutIssuerCheck, scenario: repeatAtHost("b1", func(fl *fleet) { fl.kill("a1") }), last: fault.Unknown},
		{name: "after a graceful stop", disable: withoutIssuerCheck, scenario: repeatAtHost("b1", func(fl *fleet) { fl.stopGracefully("a1") })},
		{name: "after the successor's graceful stop", disable: withoutIssuerCheck, scenario: repeatAtHost("b1", stopIssuerAndSuccessor)},
		{name: "after a graceful stop and its first successor's death", disable: withoutIssuerCheck, scenario: repeatAtHost("b1", func(fl *fleet) {
			fl.stopGracefully("a1")
			fl.kill(fl.firstSuccessor())
		})},
		{name: "store down", disable: withoutKeyClaims, scenario: repeatKeyAtHost("a2", setStoreFaults(emul.StoreFaults{Down: true})), last: fault.Store},
		{name: "claim's reply lost", disable: withoutKeyClaims, scenario: func(fl *fleet) {
			fl.store.SetFaults(emul.StoreFaults{LoseReplies: 1})
			repeatKeyAtHost("b1", noAction)(fl)
		}},
		{name: "stale replica of the store", disable: withoutKeyClaims, scenario: repeatKeyAtHost("b1", setStoreFaults(emul.StoreFaults{StaleBy: 100})), last: fault.Store},
		{name: "issuer of the key's ticket died", disable: withoutKeyClaims, scenario: repeatKeyAtHost("b1", func(fl *fleet) { fl.kill("a1") }), last: fault.Unknown},
		{name: "connection reset after the request was sent", disable: withoutNotRunCheck, scenario: loseTargetReply, last: fault.Unknown},
		{name: "keeper killed between send and reply", disable: withoutNotRunCheck, scenario: killKeeperBeforeReply, last: fault.Unknown},
		{name: "late copy of a refused request", disable: withoutKeptRefusals, scenario: replayRefusedRequest, last: fault.NoReplica},
		{name: "ticket expired and record dropped", disable: withoutFloorCheck, scenario: repeatBelowFloor, last: fault.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, c.disable, func(fl *fleet) {
				c.scenario(fl)
				require.Greater(t, fl.countRuns(), 1, "with the guard disabled the order must run twice")
			})
			withFleet(t, withAllGuards, func(fl *fleet) {
				c.scenario(fl)
				require.Equal(t, 1, fl.countRuns())
				last := fl.replies[len(fl.replies)-1]
				require.Equal(t, outcomeKind(c.last), outcomeKind(last), "%+v", last.Fault)
			})
		})
	}
}

// stopIssuerAndSuccessor stops a1 and then the host that it handed its records to.
func stopIssuerAndSuccessor(fl *fleet) {
	fl.stopGracefully("a1")
	fl.stopGracefully(fl.firstSuccessor())
}

// firstSuccessor returns the name of the first successor of a1.
func (fl *fleet) firstSuccessor() string {
	return rankSuccessors(fl.nodes["b1"].board.Membership.Load(), fl.nodes["a1"].board.Self.HostID, "a")[0].Name
}

// outcomeKind returns the name of a fault's kind, of a kind or of a reply's fault, and ran if there is none.
func outcomeKind(v any) string {
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

// TestNotRunOnlyReportedWhenCertain refuses or loses an order in each possible way and checks that the fault says not run exactly if that is certain.
// Callers send such orders again with a new ticket, so that a wrong not run makes an order run twice.
func TestNotRunOnlyReportedWhenCertain(t *testing.T) {
	cases := []struct {
		name     string
		scenario func(fl *fleet)
		kind     fault.Kind
		notRun   bool
		runs     int
	}{
		{name: "reply lost after the target ran", scenario: loseTargetReply, kind: fault.Unknown, runs: 1},
		{name: "host killed between send and reply", scenario: killKeeperBeforeReply, kind: fault.Unknown, runs: 1},
		{name: "refused by a target that shed it", scenario: shedByTarget, kind: fault.Overload, notRun: true, runs: 4},
		{name: "issuing host dead", scenario: func(fl *fleet) {
			o := fl.newTicketedOrder("a1", 0)
			fl.kill("a1")
			fl.runAt("a2", o)
		}, kind: fault.Unknown},
		{name: "issuing host left before the order arrived", scenario: func(fl *fleet) {
			o := fl.newTicketedOrder("a1", 0)
			fl.stopGracefully("a1")
			fl.runAt("a2", o)
		}, kind: fault.Leaving, notRun: true},
		{name: "refused by a host that didn't issue the ticket", scenario: func(fl *fleet) {
			fl.recordReply(fl.nodes["a2"].Refuse(fl.newTicketedOrder("a1", 0), fault.New(fault.Out, "out")))
		}, kind: fault.Out},
		{name: "store down at the first try", scenario: func(fl *fleet) {
			fl.store.SetFaults(emul.StoreFaults{Down: true})
			fl.runKeyedAt("a1", fl.newOrder(0), false)
		}, kind: fault.Store, notRun: true},
		{name: "store down at a repeat", scenario: repeatKeyAtHost("a2", setStoreFaults(emul.StoreFaults{Down: true})), kind: fault.Store, runs: 1},
		{name: "no free slot before the deadline", scenario: func(fl *fleet) {
			fl.occupyTarget(4)
			o := fl.newTicketedOrder("a1", 0)
			o.Left = 100 * time.Millisecond
			fl.recordReply(fl.nodes["a1"].execute(o))
		}, kind: fault.TooLate, notRun: true, runs: 4},
		{name: "deadline passes while it runs", scenario: func(fl *fleet) {
			o := fl.occupyTarget(1)
			o.Left = 50 * time.Millisecond
			fl.runAt("a2", o)
		}, kind: fault.Unknown, runs: 1},
		{name: "another order with the same ticket", scenario: func(fl *fleet) {
			o := fl.newTicketedOrder("a1", 0)
			fl.runAt("a1", o)
			o.Payload = []byte("two loads")
			fl.runAt("b1", o)
		}, kind: fault.Conflict, notRun: true, runs: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, withAllGuards, func(fl *fleet) {
				c.scenario(fl)
				last := fl.replies[len(fl.replies)-1]
				require.Equal(t, c.kind.String(), outcomeKind(last), "%v", last.Fault)
				require.Equal(t, c.notRun, last.Fault.NotRun())
				require.Equal(t, c.runs, fl.countRuns())
			})
		})
	}
}

// occupyTarget starts n orders at the first target that don't end and returns the last of them.
func (fl *fleet) occupyTarget(n int) (last wire.Order) {
	fl.frozen.Store(true)
	for range n {
		last = fl.newTicketedOrder("a2", 0)
		go fl.nodes["a2"].Run(fl.t.Context(), last)
	}
	fl.eventually(func() bool { return fl.countRuns() == n })
	return last
}

// shedByTarget fills the target with orders that its keeper doesn't know of, so that the target refuses an order that the keeper sends.
func shedByTarget(fl *fleet) {
	fl.frozen.Store(true)
	client := target.NewClient(fl.shards.Targets[0].Address, 4, bound.NewMemory(1<<20))
	for i := range 4 {
		go client.Order(fl.t.Context(), fl.t.Context(), func() error { return nil }, target.Order{ID: fmt.Sprint(i)})
	}
	fl.eventually(func() bool { return fl.countRuns() == 4 })
	fl.runAt("a1", fl.newTicketedOrder("a1", 0))
}

func TestRefusedOrderRunsAtALaterAttempt(t *testing.T) {
	withFleet(t, withAllGuards, func(fl *fleet) {
		o := fl.newTicketedOrder("a1", 0)
		fl.targets[0].Leave()
		require.True(t, fl.runAt("b1", o).Fault.NotRun())
		fl.targets[0].Restart()
		require.True(t, fl.runAt("b1", o).Fault.NotRun(), "the same attempt must stay refused")
		o.Attempt = 2
		require.Nil(t, fl.runAt("b1", o).Fault)
		o.Attempt = 3
		require.Nil(t, fl.runAt("a2", o).Fault)
		require.Equal(t, 1, fl.countRuns())
	})
}

func TestOrderRefusedByOneReplicaRunsAtAnother(t *testing.T) {
	withFleet(t, withAllGuards, func(fl *fleet) {
		fl.targets[0].Leave()
		reply := fl.runAt("a1", fl.newTicketedOrder("a1", 1))
		require.Nil(t, reply.Fault)
		require.Equal(t, "tb", reply.Target)
		require.Equal(t, 1, fl.countRuns())
	})
}

func TestOrderIsRetriedAtNewKeeper(t *testing.T) {
	withFleet(t, withAllGuards, func(fl *fleet) {
		fl.nodes[fl.keeperOf(0)].server.Close()
		replies := make(chan wire.OrderReply, 1)
		o := fl.newTicketedOrder("b1", 0)
		go func() { replies <- fl.nodes["b1"].Run(t.Context(), o) }()
		fl.kill(fl.keeperOf(0))
		require.Nil(t, (<-replies).Fault)
		require.Equal(t, 1, fl.countRuns())
	})
}

// TestPausedHostSendsNoOrder checks that a keeper's host that was paused refuses an order and says that it has not run: another host may keep the target by now.
func TestPausedHostSendsNoOrder(t *testing.T) {
	withFleet(t, withAllGuards, func(fl *fleet) {
		fl.nodes[fl.keeperOf(0)].pause()
		o := fl.newTicketedOrder("b1", 0)
		o.Left = 2 * keeperRetryInterval
		reply := fl.nodes["b1"].execute(o)
		require.Equal(t, fault.Paused.String(), outcomeKind(reply))
		require.True(t, reply.Fault.NotRun())
		require.Zero(t, fl.countRuns())
	})
}

func TestClaimsOfOneDocumentShareAWrite(t *testing.T) {
	withFleet(t, withAllGuards, func(fl *fleet) {
		const concurrent = 50
		n := fl.nodes["a1"]
		clock, manual := timer.NewManualClock(time.Unix(1000, 0))
		c := newClaimWriter(clock, n.board, n.dialer, n.claims.platform, tally.NoopScope)
		claim := func(i int) wire.ClaimReply {
			return c.enqueue(wire.Claim{Document: ClaimsPrefix + "d", Digest: fmt.Sprint(i), Ticket: "first"})
		}
		require.Equal(t, "first", claim(0).Ticket)
		done := make(chan wire.ClaimReply)
		for i := range concurrent {
			go func() { done <- claim(i) }()
		}
		fl.eventually(func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return len(c.pending[ClaimsPrefix+"d"]) == concurrent && manual.PendingCalls() == 1
		})
		manual.Advance(claimWriteInterval)
		for range concurrent {
			require.Equal(t, "first", (<-done).Ticket)
		}
		require.Equal(t, uint64(2), fl.store.Calls()["put"])
	})
}

func TestSweepDeletesOnlyExpiredClaims(t *testing.T) {
	withFleet(t, withAllGuards, func(fl *fleet) {
		n := fl.nodes["a1"]
		now := time.Unix(1e9, 0)
		ages := []time.Duration{claimLifetime + time.Hour, claimLifetime, claimLifetime - time.Hour, 0}
		for _, age := range ages {
			k := Key{Service: "silo", Name: "k", CreatedAt: now.Add(-age)}
			fl.store.Put(k.claimFor("").Document, []byte("{}"))
		}
		next, err := n.claims.deleteExpiredClaims(t.Context(), now)
		require.NoError(t, err)
		require.Equal(t, now.Add(time.Hour), next)
		require.Equal(t, uint64(2), fl.store.Calls()["delete"])
		require.Less(t, KeyLifetime, claimLifetime, "no host may accept a key whose claim was deleted")
	})
}

func TestKeyOutsideItsLifetimeIsRefused(t *testing.T) {
	now := time.Unix(1e9, 0)
	require.Nil(t, Key{CreatedAt: now.Add(-KeyLifetime)}.validate(now))
	require.True(t, fault.Is(Key{CreatedAt: now.Add(-KeyLifetime - 1)}.validate(now), fault.Unknown))
	require.True(t, fault.Is(Key{CreatedAt: now.Add(2 * maxClockAhead)}.validate(now), fault.Invalid))
}

func TestTicketsExpireAfterTheirLifetime(t *testing.T) {
	clock, manual := timer.NewManualClock(time.Unix(1000, 0))
	l := newLedger(clock)
	l.issue(3)
	manual.Advance(ticketLifetime)
	l.issue(2)
	require.Zero(t, l.floor, "no ticket may expire before the end of its lifetime")
	manual.Advance(2 * markInterval)
	l.expire()
	require.Equal(t, uint64(3), l.floor)
	require.Len(t, l.marks, 1)
}
