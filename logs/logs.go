package logs

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Subsystems are the names, besides All, for which a level can be set.
var Subsystems = []string{"admin", "coord", "entry", "follow", "front", "host", "keeper", "order", "peers", "query", "relay", "spread"}

// All is the name under which the default level is set.
const All = "all"

// Levels are the names of the levels, the most verbose first.
var Levels = []string{"debug", "info", "warn", "error"}

// levels holds the default level, under All, and the levels that were set for single subsystems.
type levels map[string]zapcore.Level

// Logs creates the loggers of the subsystems and holds their levels, which can be changed while the host runs.
type Logs struct {
	core    zapcore.Core
	writer  *asyncWriter
	limiter *rateLimiter
	stopped chan struct{}
	mu      sync.Mutex
	levels  atomic.Pointer[levels]
}

// New returns logs that write to the standard output without ever blocking on it; given holds levels by subsystem, or by All for the default level. Close writes the queued lines.
func New(host string, given map[string]string) (*Logs, error) {
	return newLogs(host, given, os.Stdout)
}

// newLogs returns logs that write to out, as New does to the standard output.
func newLogs(host string, given map[string]string, out io.Writer) (*Logs, error) {
	l := &Logs{stopped: make(chan struct{})}
	l.levels.Store(&levels{All: zapcore.InfoLevel})
	if err := l.Set(given); err != nil {
		return nil, err
	}
	l.writer, l.limiter = newAsyncWriter(out), newRateLimiter(time.Now)
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	encoding.EncodeDuration = zapcore.StringDurationEncoder
	jsonCore := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), l.writer, zapcore.DebugLevel)
	l.core = (&limitedCore{Core: jsonCore, limiter: l.limiter}).With([]zapcore.Field{zap.String("host", host)})
	go l.reportDropped()
	return l, nil
}

// reportDropped logs periodically which lines were dropped.
func (l *Logs) reportDropped() {
	tick := time.NewTicker(reportPeriod)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			l.logDropped()
		case <-l.stopped:
			return
		}
	}
}

// logDropped logs the numbers of lines dropped since the last call, if there are any.
func (l *Logs) logDropped() {
	byKind, writerDropped := l.limiter.takeDropped(), l.writer.dropped.Swap(0)
	if len(byKind) == 0 && writerDropped == 0 {
		return
	}
	l.For("logs").Info("lines were dropped", zap.Any("kinds", byKind), zap.Uint64("full", writerDropped))
}

// closeTimeout limits how long Close waits for the queued lines to be written.
const closeTimeout = time.Second

// Close logs what was dropped and writes the queued lines, within closeTimeout.
func (l *Logs) Close() {
	close(l.stopped)
	l.logDropped()
	l.writer.close(time.After(closeTimeout))
}

// Check returns an error if the subsystem or the level doesn't exist; its text lists the valid ones.
func Check(name, level string) error {
	if name != All && !slices.Contains(Subsystems, name) {
		return fmt.Errorf("no such subsystem: use one of %s, %s", All, strings.Join(Subsystems, ", "))
	}
	if !slices.Contains(Levels, level) {
		return fmt.Errorf("no such level: use one of %s", strings.Join(Levels, ", "))
	}
	return nil
}

// Set changes the levels of the given subsystems, or none of them if one name or level is invalid.
func (l *Logs) Set(given map[string]string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := maps.Clone(*l.levels.Load())
	for name, text := range given {
		if err := Check(name, text); err != nil {
			return eris.Wrapf(err, "log level %q of %s", text, name)
		}
		level, err := zapcore.ParseLevel(text)
		if err != nil {
			return eris.Wrapf(err, "log level of %s", name)
		}
		next[name] = level
	}
	l.levels.Store(&next)
	return nil
}

// Levels returns the level in effect for each subsystem, and the default under All.
func (l *Logs) Levels() map[string]string {
	all := map[string]string{All: l.level(All).String()}
	for _, s := range Subsystems {
		all[s] = l.level(s).String()
	}
	return all
}

// level returns the level in effect for a subsystem.
func (l *Logs) level(subsystem string) zapcore.Level {
	all := *l.levels.Load()
	if own, ok := all[subsystem]; ok {
		return own
	}
	return all[All]
}

// For returns the logger of a subsystem; it follows later changes of the subsystem's level.
func (l *Logs) For(subsystem string) *zap.Logger {
	enabled := zap.LevelEnablerFunc(func(v zapcore.Level) bool { return v >= l.level(subsystem) })
	return zap.New(l.core, zap.IncreaseLevel(enabled)).Named(subsystem)
}
