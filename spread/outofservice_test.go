package spread

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/board"
	"kingcupcross/emul"
	"kingcupcross/wire"
)

// allHonourOut reports whether all running hosts treat data centre b as out of service: its own hosts refuse requests and all others send it nothing.
func (l *fleet) allHonourOut() bool {
	for _, n := range l.nodes {
		if n.killed {
			continue
		}
		if n.board.Self.Datacentre == "b" && !n.board.SelfOutOfService() {
			return false
		}
		if !n.board.Tree.Load().DatacentreOut("rb", "b") {
			return false
		}
	}
	return true
}

// TestDatacentreIsTakenOutUnderFaults takes a data centre out of service during a fault.
// All hosts must honour it within outBound; without the offers between hosts they don't.
func TestDatacentreIsTakenOutUnderFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault func(*fleet)
		after func(*fleet)
	}{
		{name: "no fault", fault: func(*fleet) {}},
		{name: "platform slow", fault: func(l *fleet) { l.readPeriod = 2200 * time.Millisecond }},
		{name: "cut off from the platform only", fault: func(l *fleet) { l.cutStore = "b" }},
		{name: "the others cut off from the platform", fault: func(l *fleet) { l.cutStore = "ac" }},
		{name: "change and restart together", fault: func(l *fleet) { l.kill("b1") }, after: func(l *fleet) { l.addHost("b1", "b") }},
		{name: "restart while cut off from the platform", fault: func(l *fleet) { l.cutStore = "b" }, after: func(l *fleet) {
			l.kill("b1")
			l.addHost("b1", "b")
		}},
		{name: "platform down after acceptance", fault: func(*fleet) {}, after: func(l *fleet) {
			l.advance(500 * time.Millisecond)
			l.store.SetFaults(emul.StoreFaults{Down: true})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withAndWithoutMechanism(t, func(t *testing.T, enabled bool) {
				withFleet(t, 4, func(l *fleet) {
					c.fault(l)
					l.advance(time.Second)
					for l.ticks%int(l.readPeriod/board.HeartbeatPeriod) != 0 {
						// The change is made right after a read of the store, so that the watchers see it as late as possible.
						l.advance(board.HeartbeatPeriod)
					}
					l.withoutOffers = !enabled
					l.mustAppend("out", `["b"]`)
					if c.after != nil {
						c.after(l)
					}
					require.Equal(t, enabled, l.holdsWithin(outBound, l.allHonourOut))
					l.advance(5 * time.Second)
					require.Equal(t, enabled, l.allHonourOut(), "the data centre must stay out")
				})
			})
		})
	}
}

// TestUnreachableDatacentreIsOutOnceReconnected checks the documented exception: a data centre that no change can reach stays in service, and is out within the bound once it is connected again.
func TestUnreachableDatacentreIsOutOnceReconnected(t *testing.T) {
	withFleet(t, 3, func(l *fleet) {
		l.cut("b")
		l.cutStore = "b"
		l.advance(3 * time.Second)
		l.mustAppend("out", `["b"]`)
		l.advance(time.Minute)
		require.False(t, l.node("b1").board.SelfOutOfService())
		require.True(t, l.node("a1").board.Tree.Load().DatacentreOut("rb", "b"))
		l.reconnect()
		require.True(t, l.holdsWithin(outBound, l.allHonourOut))
	})
}

// TestOneChangeTakesSeveralDatacentresOut takes two data centres out by one top-level setting and checks that hosts of all regions read it for the region of the data centre in question.
func TestOneChangeTakesSeveralDatacentresOut(t *testing.T) {
	withFleet(t, 1, func(l *fleet) {
		c := l.mustAppend("out", `["b","c"]`)
		require.True(t, l.holdsWithin(outBound, func() bool { return l.allReached("abc", c.N) }))
		for _, n := range l.nodes {
			settings := n.board.Tree.Load()
			require.True(t, settings.DatacentreOut("rb", "b"))
			require.True(t, settings.DatacentreOut("rc", "c"))
			require.False(t, settings.DatacentreOut("ra", "a"))
		}
	})
}

// TestResumedHostWaitsForMissedChange pauses a host while its data centre is taken out of service.
// After it resumes, its old settings still say that the data centre is in service, so that it must stay paused until its fetch has brought the change.
func TestResumedHostWaitsForMissedChange(t *testing.T) {
	withAndWithoutMechanism(t, func(t *testing.T, enabled bool) {
		withFleet(t, 3, func(l *fleet) {
			n := l.node("b1")
			n.frozen = true
			l.net.Freeze(n.board.Self.Peers)
			l.mustAppend("out", `["b"]`)
			l.advance(outBound)
			l.net.Resume(n.board.Self.Peers)
			n.frozen = false
			var delayed []func()
			n.distributor.Spawn = func(f func()) { delayed = append(delayed, f) }
			if !enabled {
				// With such a high number of its own, the host takes no peer's settings for newer.
				n.peers.Heads = func() wire.Heads { return wire.Heads{Settings: 1 << 40} }
			}
			l.advance(time.Second)
			require.False(t, n.board.SelfOutOfService(), "the fetch is still under way")
			require.Equal(t, !enabled, n.board.PauseDetector.MaySend())
			for _, f := range delayed {
				f()
			}
			require.True(t, l.holdsWithin(time.Second, func() bool { return n.board.PauseDetector.MaySend() && n.board.SelfOutOfService() }))
		})
	})
}
