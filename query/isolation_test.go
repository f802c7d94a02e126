package query

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"kingcupcross/wire"
)

// asksOfTwoQueries is the number of Asks that two queries send while all results are late: each sends one to the nearest
// keeper and a hedge to the other.
const asksOfTwoQueries = 4

// TestConcurrentQueriesGetTheirOwnAnswers guards against replies that are taken for another query, when replies are swapped
// or when ids of Asks are not unique.
func TestConcurrentQueriesGetTheirOwnAnswers(t *testing.T) {
	tests := map[string]struct {
		script       func(*testEngine)
		disableCheck func(*testEngine)
		second       string
	}{
		"replies swapped": {
			script:       func(b *testEngine) { b.keepers.swappedReplies = make(chan wire.AskReply) },
			disableCheck: func(b *testEngine) { b.idMatches = func(_, _ string) bool { return true } },
			second:       "feed",
		},
		"two queries in flight with the same payload": {
			script: func(b *testEngine) {
				for _, r := range b.keepers.targets {
					r.late = true
				}
				b.keepers.onAsk = func(_ wire.Ask, asked int) {
					if asked == asksOfTwoQueries {
						b.keepers.release(allTargets...)
					}
				}
			},
			disableCheck: func(b *testEngine) { b.newAskID = func(r Request) string { return fmt.Sprintf("%x", r.Payload) } },
			second:       "salt",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			withTestEngine(t, func(b *testEngine) {
				test.script(b)
				test.disableCheck(b)
				require.False(t, b.bothComplete(t, "salt", test.second), "with the check disabled an answer must be wrong")
			})
			withTestEngine(t, func(b *testEngine) {
				test.script(b)
				require.True(t, b.bothComplete(t, "salt", test.second))
			})
		})
	}
}

// bothComplete runs two queries concurrently and reports whether each got the complete answer to its own text.
func (b *testEngine) bothComplete(t *testing.T, first, second string) bool {
	answers := make(chan *Answer)
	go func() { answers <- b.runQuery(t, first) }()
	two := b.runQuery(t, second)
	one := <-answers
	return completeFor(one, first) && completeFor(two, second)
}

// completeFor reports whether an answer has all shards, with payloads for the query's text.
func completeFor(a *Answer, text string) bool {
	return len(a.Missing) == 0 && len(wrongParts(a, text)) == 0
}

func TestRepliesOutOfOrder(t *testing.T) {
	withTestEngine(t, func(b *testEngine) {
		for _, r := range b.keepers.targets {
			r.late = true
		}
		answers := make(chan *Answer)
		go func() { answers <- b.runQuery(t, "salt") }()
		<-b.keepers.awaitedAsks
		<-b.keepers.awaitedAsks
		for _, name := range []string{"t3", "t1", "t2", "t0"} {
			b.keepers.release(name)
		}
		require.True(t, completeFor(<-answers, "salt"))
	})
}

func TestReplyAfterDeadlineIsDiscarded(t *testing.T) {
	withTestEngine(t, func(b *testEngine) {
		for _, r := range b.keepers.targets {
			r.late = true
		}
		answers := make(chan *Answer)
		go func() { answers <- b.runQuery(t, "salt") }()
		<-b.keepers.awaitedAsks
		<-b.keepers.awaitedAsks
		b.manualClock.Advance(b.Engine.board.Tree.Load().ForService("jylland", testService).Deadline.D())
		require.Empty(t, (<-answers).Parts)
		b.keepers.release(allTargets...)
		require.True(t, completeFor(b.runQuery(t, "salt"), "salt"))
	})
}
