package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/timer"
)

// TestBudgetInAnyWindow spends every token as soon as it is earned. No window may contain more than the share plus the slack, and the slack must be refilled in later windows.
func TestBudgetInAnyWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slack, perSecond, seconds = 20.0, 10, 60
		b := newExtraBudgets(timer.New(), 0.2, func() float64 { return slack })
		var spent []time.Time
		for range seconds * perSecond {
			time.Sleep(time.Second / perSecond)
			b.earn("s")
			for b.spend("s") {
				spent = append(spent, time.Now())
			}
		}
		for i, first := range spent {
			n := 0
			for _, at := range spent[i:] {
				if at.Sub(first) < budgetWindow {
					n++
				}
			}
			require.LessOrEqual(t, float64(n), 0.2*perSecond*budgetWindow.Seconds()+slack)
		}
		earned := 0.2 * earnFactor * perSecond * seconds
		require.Greater(t, float64(len(spent)), earned+slack, "the slack is refilled in later windows")
	})
}
