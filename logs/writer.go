package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxQueuedLines limits the lines that wait to be written; new lines are dropped while the queue is full.
	maxQueuedLines = 2048
	// maxLinesPerKind limits the lines of one kind per second, maxRoutineLines those of one kind that are marked with Routine. Lines of one kind have the same logger and message.
	maxLinesPerKind = 60
	maxRoutineLines = 3
	// reportPeriod is the time between two log lines about dropped lines.
	reportPeriod = 5 * time.Second
)

// Routine marks a line that reports normal operation; only a sample of such lines is written.
func Routine() zap.Field {
	return zap.Bool("sample", true)
}

// asyncWriter writes lines in the background, so that no request blocks on the reader of the output.
type asyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	once    sync.Once
}

func newAsyncWriter(out io.Writer) *asyncWriter {
	s := &asyncWriter{
		out:   out,
		lines: make(chan []byte, maxQueuedLines),
		done:  make(chan struct{}),
	}
	go s.run()
	return s
}

// run writes the queued lines until close queues a nil line.
func (s *asyncWriter) run() {
	defer close(s.done)
	for line := range s.lines {
		if line == nil {
			return
		}
		if _, err := s.out.Write(line); err != nil {
			// The counter is the only place left to report the failure.
			s.dropped.Add(1)
		}
	}
}

// Write queues a line; it never fails and never blocks.
func (s *asyncWriter) Write(b []byte) (int, error) {
	line := append([]byte(nil), b...)
	select {
	case s.lines <- line:
	default:
		s.dropped.Add(1)
	}
	return len(b), nil
}

// Sync does nothing, because the lines are written in the background.
func (s *asyncWriter) Sync() error { return nil }

// close waits until the queued lines are written or wait fires. Only the first call has an effect.
func (s *asyncWriter) close(wait <-chan time.Time) {
	s.once.Do(func() {
		select {
		case s.lines <- nil:
		case <-wait:
			return
		}
		select {
		case <-s.done:
		case <-wait:
		}
	})
}

// rateLimiter limits the lines of each kind per second and counts the dropped ones.
type rateLimiter struct {
	now func() time.Time

	mu sync.Mutex
	// windowStart is the start of the second that written counts.
	windowStart time.Time
	written     map[string]int
	dropped     map[string]uint64
}

func newRateLimiter(now func() time.Time) *rateLimiter {
	return &rateLimiter{now: now, written: map[string]int{}, dropped: map[string]uint64{}}
}

// allow reports whether a line of a kind may be written, and counts it as written or dropped.
func (b *rateLimiter) allow(kind string, limit int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := b.now(); now.Sub(b.windowStart) >= time.Second {
		b.windowStart = now
		clear(b.written)
	}
	if b.written[kind] >= limit {
		b.dropped[kind]++
		return false
	}
	b.written[kind]++
	return true
}

// takeDropped returns the numbers of lines dropped since the last call, by kind.
func (b *rateLimiter) takeDropped() map[string]uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := b.dropped
	b.dropped = map[string]uint64{}
	return d
}

// limitedCore is a core that drops the lines that exceed the rate limit.
type limitedCore struct {
	zapcore.Core
	limiter *rateLimiter
}

// With returns a core with further fields and the same rate limiter.
func (l *limitedCore) With(fields []zapcore.Field) zapcore.Core {
	return &limitedCore{Core: l.Core.With(fields), limiter: l.limiter}
}

// Check adds the core to those that write the entry.
func (l *limitedCore) Check(e zapcore.Entry, c *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if l.Enabled(e.Level) {
		return c.AddCore(e, l)
	}
	return c
}

// Write writes a line unless its kind has reached its limit for this second.
func (l *limitedCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	kind, limit := e.LoggerName+": "+e.Message, maxLinesPerKind
	for i, f := range fields {
		if f.Key == "sample" {
			kind, limit = kind+" (routine)", maxRoutineLines
			fields = append(fields[:i:i], fields[i+1:]...)
			break
		}
	}
	if !l.limiter.allow(kind, limit) {
		return nil
	}
	return l.Core.Write(e, fields)
}
