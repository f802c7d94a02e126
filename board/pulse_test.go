package board

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/timer"
)

func TestPulseNoticesPause(t *testing.T) {
	clock, manual := timer.NewManual(time.Unix(1000, 0))
	p := NewPulse(clock)
	manual.Advance(PulsePeriod)
	p.Beat()
	require.True(t, p.Awake())

	manual.Jump(PulseLimit + time.Millisecond)
	require.False(t, p.Awake(), "asked before the first beat after the pause")
	p.Beat()
	require.False(t, p.Awake(), "a beat alone must not end the fence")
	p.Rejoin()
	require.True(t, p.Awake())
}

func TestPauseDuringRejoinKeepsTheFence(t *testing.T) {
	clock, manual := timer.NewManual(time.Unix(1000, 0))
	p := NewPulse(clock)
	manual.Jump(PulseLimit + time.Millisecond)
	p.Beat()
	first, fenced := p.Fences()
	require.True(t, fenced)
	manual.Jump(PulseLimit + time.Millisecond)
	p.Beat()
	require.False(t, p.RejoinAfter(first), "the exchange with the peers came before the second pause")
	require.False(t, p.Awake())
	second, _ := p.Fences()
	require.True(t, p.RejoinAfter(second))
	require.True(t, p.Awake())
	manual.Jump(PulseLimit + time.Millisecond)
	require.False(t, p.Awake(), "rejoining hides no pause that comes after")
}
