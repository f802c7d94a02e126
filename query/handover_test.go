package query

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/fault"
	"kingcupcross/wire"
)

// withHandover runs a query while all targets are being handed over to other keepers; the handovers end with
// the Ask of number 2*len(allTargets). The keepers' replies name wait as the time after which to ask again. If waits is
// false, the engine doesn't wait for handovers.
func withHandover(t *testing.T, waits bool, wait time.Duration, f func(a *Answer, b *testEngine)) {
	t.Helper()
	withTestEngine(t, func(b *testEngine) {
		b.checks.awaitsHandover = func() bool { return waits }
		moved := fault.New(fault.Moved, "being taken over").WithRetry(wait)
		for _, name := range allTargets {
			b.keepers.targets[name].fault = moved
		}
		b.keepers.onAsk = func(_ wire.Ask, asked int) {
			if asked < 2*len(allTargets) {
				return
			}
			b.keepers.mu.Lock()
			defer b.keepers.mu.Unlock()
			for _, name := range allTargets {
				b.keepers.targets[name].fault = nil
			}
		}
		b.applySetting(t, "deadline", `"30s"`)
		stop := b.runClock()
		a := b.runQuery(t, "salt")
		stop()
		f(a, b)
	})
}

// callsWhileWaiting is the number of calls that wait on the clock while a query is idle: its deadline and its timer.
const callsWhileWaiting = 2

// runClock advances the clock in small steps whenever the query is idle, until stop is called.
func (b *testEngine) runClock() (stop func()) {
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-done:
				return
			case <-time.After(100 * time.Microsecond):
			}
			if b.manualClock.PendingCalls() >= callsWhileWaiting {
				b.manualClock.Advance(time.Millisecond)
			}
		}
	}()
	return func() {
		close(done)
		<-stopped
	}
}

func TestQueryIsResentAfterHandover(t *testing.T) {
	withHandover(t, false, 50*time.Millisecond, func(a *Answer, _ *testEngine) {
		require.NotEmpty(t, a.Missing, "without waiting the shards must be missing")
	})
	withHandover(t, true, 50*time.Millisecond, func(a *Answer, _ *testEngine) {
		require.True(t, completeFor(a, "salt"))
		require.Empty(t, a.Missing)
	})
}

func TestHandoverAfterDeadlineIsNotAwaited(t *testing.T) {
	withHandover(t, true, time.Hour, func(a *Answer, b *testEngine) {
		require.Len(t, a.Missing, shardCount)
		require.Less(t, b.clock.Since(time.Unix(1000, 0)), b.Engine.board.Tree.Load().ForService("jylland", testService).Deadline.D(), "the answer must not wait for the deadline")
	})
}
