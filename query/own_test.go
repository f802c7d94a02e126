package query

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"kingcupcross/wire"
)

// askedOfTwo is the number of Asks that two queries send when all first replies are late: one to each keeper and a hedge.
const askedOfTwo = 4

func TestOwnWholeAnswer(t *testing.T) {
	tests := map[string]struct {
		script func(*bench)
		off    func(*bench)
		second string
	}{
		"replies crossed": {
			script: func(b *bench) { b.keepers.crossed = make(chan wire.AskReply) },
			off:    func(b *bench) { b.matches = func(_, _ string) bool { return true } },
			second: "feed",
		},
		"same payload twice, both under way": {
			script: func(b *bench) {
				for _, r := range b.keepers.replicas {
					r.late = true
				}
				b.keepers.onAsk = func(_ wire.Ask, asked int) {
					if asked == askedOfTwo {
						b.keepers.let(allTargets...)
					}
				}
			},
			off:    func(b *bench) { b.name = func(r Request) string { return fmt.Sprintf("%x", r.Payload) } },
			second: "salt",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			withEngine(t, func(b *bench) {
				test.script(b)
				test.off(b)
				require.False(t, b.bothOwn(t, "salt", test.second), "without the guard")
			})
			withEngine(t, func(b *bench) {
				test.script(b)
				require.True(t, b.bothOwn(t, "salt", test.second))
			})
		})
	}
}

// bothOwn runs two queries at once and reports whether each got the whole answer to its own text.
func (b *bench) bothOwn(t *testing.T, first, second string) bool {
	answers := make(chan *Answer)
	go func() { answers <- b.query(t, first) }()
	two := b.query(t, second)
	one := <-answers
	return own(one, first) && own(two, second)
}

func own(a *Answer, text string) bool {
	return len(a.Missing) == 0 && len(violations(a, text)) == 0
}

func TestRepliesOutOfOrder(t *testing.T) {
	withEngine(t, func(b *bench) {
		for _, r := range b.keepers.replicas {
			r.late = true
		}
		answers := make(chan *Answer)
		go func() { answers <- b.query(t, "salt") }()
		<-b.keepers.waiting
		<-b.keepers.waiting
		for _, name := range []string{"t3", "t1", "t2", "t0"} {
			b.keepers.let(name)
		}
		require.True(t, own(<-answers, "salt"))
	})
}

func TestLateReplyAfterTheDeadlineReachesNobody(t *testing.T) {
	withEngine(t, func(b *bench) {
		for _, r := range b.keepers.replicas {
			r.late = true
		}
		answers := make(chan *Answer)
		go func() { answers <- b.query(t, "salt") }()
		<-b.keepers.waiting
		<-b.keepers.waiting
		b.manual.Advance(b.Engine.board.Tree.Load().ForService("jylland", service1).Deadline.D())
		require.Empty(t, (<-answers).Parts)
		b.keepers.let(allTargets...)
		require.True(t, own(b.query(t, "salt"), "salt"))
	})
}
