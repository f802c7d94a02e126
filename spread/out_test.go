package spread

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/board"
	"kingcupcross/emul"
	"kingcupcross/wire"
)

// out says whether all running hosts honour that data centre b is out: its own refuse and the others leave it out.
func (l *fleet) out() bool {
	for _, n := range l.nodes {
		if n.gone {
			continue
		}
		if n.board.Self.Datacentre == "b" && !n.board.SelfOut() {
			return false
		}
		if !n.board.Tree.Load().Out("rb", "b") {
			return false
		}
	}
	return true
}

// TestDatacentreOut takes a data centre out under faults; without the spread between hosts the bound isn't kept.
func TestDatacentreOut(t *testing.T) {
	cases := []struct {
		name  string
		fault func(*fleet)
		after func(*fleet)
	}{
		{name: "no fault", fault: func(*fleet) {}},
		{name: "platform slow", fault: func(l *fleet) { l.readPeriod = 2200 * time.Millisecond }},
		{name: "cut from the platform only", fault: func(l *fleet) { l.cutStore = "b" }},
		{name: "the others cut from the platform", fault: func(l *fleet) { l.cutStore = "ac" }},
		{name: "change and restart together", fault: func(l *fleet) { l.kill("b1") }, after: func(l *fleet) { l.add("b1", "b") }},
		{name: "restart while cut from the platform", fault: func(l *fleet) { l.cutStore = "b" }, after: func(l *fleet) {
			l.kill("b1")
			l.add("b1", "b")
		}},
		{name: "platform down after acceptance", fault: func(*fleet) {}, after: func(l *fleet) {
			l.run(500 * time.Millisecond)
			l.store.SetFaults(emul.StoreFaults{Down: true})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			guards(t, func(t *testing.T, guard bool) {
				withFleet(t, 4, func(l *fleet) {
					c.fault(l)
					l.run(time.Second)
					for l.ticks%int(l.readPeriod/board.PulsePeriod) != 0 {
						// The change comes right after a read: its watchers see it last.
						l.run(board.PulsePeriod)
					}
					l.alone = !guard
					l.accept("out", `["b"]`)
					if c.after != nil {
						c.after(l)
					}
					require.Equal(t, guard, l.within(outBound, l.out))
					l.run(5 * time.Second)
					require.Equal(t, guard, l.out(), "it stays out")
				})
			})
		})
	}
}

// TestOutWhileCutFromAll shows the documented exception: a data centre that no news reaches goes on, and is out within the bound once one does.
func TestOutWhileCutFromAll(t *testing.T) {
	withFleet(t, 3, func(l *fleet) {
		l.cut("b")
		l.cutStore = "b"
		l.run(3 * time.Second)
		l.accept("out", `["b"]`)
		l.run(time.Minute)
		require.False(t, l.node("b1").board.SelfOut())
		require.True(t, l.node("a1").board.Tree.Load().Out("rb", "b"))
		l.heal()
		require.True(t, l.within(outBound, l.out))
	})
}

// TestOutLevels sets out at each level: hosts of all regions read it at the region of the data centre that is meant.
func TestOutLevels(t *testing.T) {
	withFleet(t, 1, func(l *fleet) {
		c := l.accept("out", `["b","c"]`)
		require.True(t, l.within(outBound, func() bool { return l.everywhere("abc", c.N) }))
		for _, n := range l.nodes {
			settings := n.board.Tree.Load()
			require.True(t, settings.Out("rb", "b"))
			require.True(t, settings.Out("rc", "c"))
			require.False(t, settings.Out("ra", "a"))
		}
	})
}

// TestPausedOverTheChange stops a host of the data centre while that is taken out: it must not act on its old settings for a moment, though its fetch takes a while.
func TestPausedOverTheChange(t *testing.T) {
	guards(t, func(t *testing.T, guard bool) {
		withFleet(t, 3, func(l *fleet) {
			n := l.node("b1")
			n.frozen = true
			l.net.Freeze(n.board.Self.Peers)
			l.accept("out", `["b"]`)
			l.run(outBound)
			l.net.Thaw(n.board.Self.Peers)
			n.frozen = false
			var delayed []func()
			n.spread.Spawn = func(f func()) { delayed = append(delayed, f) }
			if !guard {
				// A meeting that learns of no peer's settings.
				n.peers.Heads = func() wire.Heads { return wire.Heads{Settings: 1 << 40} }
			}
			l.run(time.Second)
			require.False(t, n.board.SelfOut(), "the fetch is still under way")
			require.Equal(t, !guard, n.board.Pulse.Awake())
			for _, f := range delayed {
				f()
			}
			require.True(t, l.within(time.Second, func() bool { return n.board.Pulse.Awake() && n.board.SelfOut() }))
		})
	})
}
