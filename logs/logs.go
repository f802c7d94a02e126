package logs

import (
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Subsystems are the names that a level can be set for, besides All.
var Subsystems = []string{"admin", "entry", "host", "keeper", "order", "peers", "query", "spread"}

// All is the name of the default level.
const All = "all"

// Logs holds the levels of the subsystems.
type Logs struct {
	core   zapcore.Core
	levels map[string]zapcore.Level
}

// New returns logs that write to the standard error stream; levels gives the level by subsystem.
func New(host string, levels map[string]string) (*Logs, error) {
	l := &Logs{levels: map[string]zapcore.Level{All: zapcore.InfoLevel}}
	for name, text := range levels {
		level, err := zapcore.ParseLevel(text)
		if err != nil {
			return nil, eris.Wrapf(err, "log level of %s", name)
		}
		if name != All && !known(name) {
			return nil, eris.Errorf("log level of %s: no such subsystem", name)
		}
		l.levels[name] = level
	}
	out, _, err := zap.Open("stderr")
	if err != nil {
		return nil, eris.Wrap(err, "open log")
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	l.core = zapcore.NewCore(zapcore.NewJSONEncoder(encoding), out, zapcore.DebugLevel).
		With([]zapcore.Field{zap.String("host", host)})
	return l, nil
}

func known(name string) bool {
	for _, s := range Subsystems {
		if s == name {
			return true
		}
	}
	return false
}

// For returns the log of a subsystem.
func (l *Logs) For(subsystem string) *zap.Logger {
	level, ok := l.levels[subsystem]
	if !ok {
		level = l.levels[All]
	}
	return zap.New(l.core, zap.IncreaseLevel(level)).Named(subsystem)
}
