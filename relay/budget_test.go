package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/timer"
)

// TestBudgetInAnyWindow spends whatever it gets, in calm and in trouble: no window has more than its share and slack, and a later window has slack again.
func TestBudgetInAnyWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slack, perSecond, seconds = 20.0, 10, 60
		b := newBudgets(timer.New(), 0.2, func() float64 { return slack })
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
		earned := 0.2 * earnShare * perSecond * seconds
		require.Greater(t, float64(len(spent)), earned+slack, "the slack is not spent once for good")
	})
}
