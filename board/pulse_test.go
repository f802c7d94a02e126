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
	require.False(t, p.Awake(), "a pause must be noticed before the first heartbeat after it")
	p.Beat()
	require.False(t, p.Awake(), "a heartbeat alone must not remove the fence")
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
	require.False(t, p.RejoinAfter(first), "the second pause came after the exchange with the peers")
	require.False(t, p.Awake())
	second, _ := p.Fences()
	require.True(t, p.RejoinAfter(second))
	require.True(t, p.Awake())
	manual.Jump(PulseLimit + time.Millisecond)
	require.False(t, p.Awake(), "a pause after rejoining must be noticed")
}
