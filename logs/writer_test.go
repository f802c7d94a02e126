package logs

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// syncBuffer is a buffer that several goroutines may use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) lines() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Split(strings.TrimSpace(s.b.String()), "\n")
}

// blockedWriter is an output whose writes block until wait is closed.
type blockedWriter struct{ wait chan struct{} }

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.wait
	return len(p), nil
}

// TestBlockedOutputDropsLines checks that a blocked output doesn't block the callers: lines beyond the queue are dropped and counted.
func TestBlockedOutputDropsLines(t *testing.T) {
	out := &blockedWriter{wait: make(chan struct{})}
	s := newAsyncWriter(out)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * maxQueuedLines {
			s.Write([]byte("line\n"))
		}
	}()
	<-done
	require.GreaterOrEqual(t, s.dropped.Load(), uint64(2*maxQueuedLines-1))
	s.close(time.After(time.Millisecond))
	close(out.wait)
}

func TestLinesOfOneKindAreLimited(t *testing.T) {
	out := &syncBuffer{}
	l, err := newLogs("h", nil, out)
	require.NoError(t, err)
	now := time.Unix(1000, 0)
	l.limiter.now = func() time.Time { return now }
	log := l.For("relay")
	for range 3 * maxLinesPerKind {
		log.Info("often")
		log.Info("well", Routine())
	}
	log.Warn("once")
	l.Close()
	counts := map[string]int{}
	for _, line := range out.lines() {
		var m map[string]any
		require.NoError(t, json.Unmarshal([]byte(line), &m))
		require.Equal(t, "h", m["host"])
		require.NotContains(t, m, "sample")
		counts[m["msg"].(string)]++
		if m["msg"] == "lines were dropped" {
			require.EqualValues(t, 2*maxLinesPerKind, m["kinds"].(map[string]any)["relay: often"])
			require.EqualValues(t, 3*maxLinesPerKind-maxRoutineLines, m["kinds"].(map[string]any)["relay: well (routine)"])
		}
	}
	require.Equal(t, map[string]int{"often": maxLinesPerKind, "well": maxRoutineLines, "once": 1, "lines were dropped": 1}, counts)
}

func TestRateLimitIsPerSecond(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newRateLimiter(func() time.Time { return now })
	require.True(t, b.allow("a", 1))
	require.False(t, b.allow("a", 1))
	require.True(t, b.allow("b", 1))
	now = now.Add(time.Second)
	require.True(t, b.allow("a", 1))
	require.Equal(t, map[string]uint64{"a": 1}, b.takeDropped())
	require.Empty(t, b.takeDropped())
}

func TestFieldsStayWithRoutineLines(t *testing.T) {
	out := &syncBuffer{}
	l, err := newLogs("h", nil, out)
	require.NoError(t, err)
	l.For("relay").Info("well", zap.String("a", "1"), Routine(), zap.String("b", "2"))
	l.Close()
	require.Contains(t, out.lines()[0], `"a":"1","b":"2"`)
}
