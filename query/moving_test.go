package query

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/fault"
	"kingcupcross/wire"
)

// withMoving runs a query while all replicas are being taken over, which ends after some Asks; wait is when to come back.
func withMoving(t *testing.T, waits bool, wait time.Duration, f func(a *Answer, b *bench)) {
	t.Helper()
	withEngine(t, func(b *bench) {
		b.guards.waits = func() bool { return waits }
		moved := fault.New(fault.Moved, "being taken over").WithRetry(wait)
		for _, name := range allTargets {
			b.keepers.replicas[name].fault = moved
		}
		b.keepers.onAsk = func(_ wire.Ask, asked int) {
			if asked < 2*len(allTargets) {
				return
			}
			b.keepers.mu.Lock()
			defer b.keepers.mu.Unlock()
			for _, name := range allTargets {
				b.keepers.replicas[name].fault = nil
			}
		}
		b.set(t, "deadline", `"30s"`)
		stop := b.step()
		a := b.query(t, "salt")
		stop()
		f(a, b)
	})
}

// armed is the number of calls that wait on the clock while a query sleeps: its deadline and its alarm.
const armed = 2

// step moves the clock on by small steps, each only once the query waits for its alarm.
func (b *bench) step() (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			case <-time.After(100 * time.Microsecond):
			}
			if b.manual.PendingCalls() >= armed {
				b.manual.Advance(time.Millisecond)
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

func TestQueryFollowsTargetsToTheirNextKeepers(t *testing.T) {
	withMoving(t, false, 50*time.Millisecond, func(a *Answer, _ *bench) {
		require.NotEmpty(t, a.Missing, "without the wait the shards are missing")
	})
	withMoving(t, true, 50*time.Millisecond, func(a *Answer, _ *bench) {
		require.True(t, own(a, "salt"))
		require.Empty(t, a.Missing)
	})
}

func TestTakeOverThatEndsTooLateIsNotAwaited(t *testing.T) {
	withMoving(t, true, time.Hour, func(a *Answer, b *bench) {
		require.Len(t, a.Missing, shardCount)
		require.Less(t, b.clock.Since(time.Unix(1000, 0)), b.Engine.board.Tree.Load().ForService("jylland", service1).Deadline.D(), "the answer must not be held back")
	})
}
