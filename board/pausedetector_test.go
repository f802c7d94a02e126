package board

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/timer"
)

func TestHeartbeatDetectsPause(t *testing.T) {
	clock, manual := timer.NewManualClock(time.Unix(1000, 0))
	p := NewPauseDetector(clock)
	manual.Advance(HeartbeatPeriod)
	p.Heartbeat()
	require.True(t, p.MaySend())

	manual.AdvanceWithoutCalls(PauseThreshold + time.Millisecond)
	require.False(t, p.MaySend(), "a pause must be noticed before the first heartbeat after it")
	p.Heartbeat()
	require.False(t, p.MaySend(), "a heartbeat alone must not remove the fence")
	p.ClearCurrentFence()
	require.True(t, p.MaySend())
}

func TestPauseDuringRejoinKeepsTheFence(t *testing.T) {
	clock, manual := timer.NewManualClock(time.Unix(1000, 0))
	p := NewPauseDetector(clock)
	manual.AdvanceWithoutCalls(PauseThreshold + time.Millisecond)
	p.Heartbeat()
	first, fenced := p.FenceStatus()
	require.True(t, fenced)
	manual.AdvanceWithoutCalls(PauseThreshold + time.Millisecond)
	p.Heartbeat()
	require.False(t, p.ClearFence(first), "the second pause came after the exchange with the peers")
	require.False(t, p.MaySend())
	second, _ := p.FenceStatus()
	require.True(t, p.ClearFence(second))
	require.True(t, p.MaySend())
	manual.AdvanceWithoutCalls(PauseThreshold + time.Millisecond)
	require.False(t, p.MaySend(), "a pause after rejoining must be noticed")
}
