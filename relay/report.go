package relay

import (
	"fmt"
	"math"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"kingcupcross/logs"
)

// latencyBuckets cover the latency objectives and deadlines in use, from 2 ms to 4 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, math.Sqrt2, 23)

// mostLabels bounds the routes that have metrics of their own; later ones share the label "other".
const mostLabels = 32

// labels gives the first routes a label each.
type labels struct {
	mu    sync.Mutex
	known map[string]bool
}

func (l *labels) of(route string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known == nil {
		l.known = map[string]bool{}
	}
	if !l.known[route] && len(l.known) >= mostLabels {
		return "other"
	}
	l.known[route] = true
	return route
}

// report counts an answer and logs it where a decision changed it.
func (e *Engine) report(q *run, a *Answer) {
	now := e.clock.Now()
	took := now.Sub(q.start)
	outcome := "whole"
	switch {
	case a.Fault != nil && q.ctx.Err() != nil:
		outcome = "left"
	case a.Fault != nil:
		outcome = a.Fault.Kind.String()
	case a.Missing > 0:
		outcome = "partial"
	case a.Status >= 300:
		outcome = "refused"
	case took > q.route.Aim:
		outcome = "late"
	}
	if late := a.Fault != nil || took > q.route.Aim-q.request.Reserve; q.admitted && outcome != "left" && (!late || q.congested()) {
		e.load.learn(groupOf(q.route, q.parts[0]), late)
	}
	scope := e.scope.Tagged(map[string]string{"outcome": outcome, "route": e.labels.of(q.route.Name)})
	scope.Counter("requests").Inc(1)
	scope.Histogram("request_seconds", latencyBuckets).RecordDuration(took)
	e.scope.Counter("missing_shards").Inc(int64(a.Missing))
	e.scope.Counter("hedges").Inc(int64(q.hedges))
	e.scope.Counter("retries").Inc(int64(q.retries))
	e.write(q, a, outcome, now)
}

// noteLeaving counts and logs a sub-request to a target that this host knows to be draining, gone or out of service, or that has said so itself.
func (q *run) noteLeaving(f *flight) {
	e := q.engine
	origin, age := "store", time.Duration(0)
	view := e.beliefs.View()
	switch l, told := e.said.load().of(f.to); {
	case told:
		origin, age = l.origin, f.sent.Sub(l.since)
	case e.serves(f.to):
		return
	default:
		age = f.sent.Sub(view.ReadAt)
	}
	e.scope.Tagged(map[string]string{"origin": origin}).Counter("leaving_sends").Inc(1)
	e.log.Info("sub-request goes to a target that leaves", zap.String("request", q.request.ID), zap.String("target", f.to.ID), zap.String("origin", origin), zap.Int64("age_ms", age.Milliseconds()), zap.Int64("ms", f.sent.Sub(q.start).Milliseconds()), zap.Uint64("chosen_from", q.view.Revision), zap.Uint64("roster_revision", view.Revision))
}

// noteTooLong counts and logs an answer that has no end within its bounds.
func (q *run) noteTooLong(f *flight, err error) {
	e := q.engine
	e.scope.Counter("answers_too_long").Inc(1)
	e.log.Info("answer of a target is too long", zap.String("request", q.request.ID), zap.String("target", f.to.ID), zap.String("service", f.to.Service), zap.Error(err))
}

func (e *Engine) write(q *run, a *Answer, outcome string, now time.Time) {
	line := e.log.Check(zapcore.InfoLevel, "request answered")
	if line == nil {
		return
	}
	fields := []zap.Field{
		zap.String("request", q.request.ID),
		zap.String("route", q.route.Name),
		zap.String("outcome", outcome),
		zap.Int64("ms", now.Sub(q.start).Milliseconds()),
		zap.Int64("aim", q.route.Aim.Milliseconds()),
		zap.Uint64("config", q.config.Version),
		zap.Int64("roster_age_ms", q.start.Sub(q.view.ReadAt).Milliseconds()),
		zap.Uint64("roster_revision", q.view.Revision),
		zap.Int("shards", len(q.parts)),
		zap.Int("answered", q.done),
		zap.Int("needed", q.needed),
		zap.Int("hedges", q.hedges),
		zap.Int("retries", q.retries),
		zap.Float64("budget", e.budgets.least(q.parts)),
	}
	if q.request.Shards != nil {
		fields = append(fields, zap.Bool("group", true))
	}
	if lost := q.losses(); lost != "" && q.route.Fanout() && q.admitted {
		fields = append(fields, zap.String("lost", lost))
	}
	if q.request.Origin != "" {
		fields = append(fields, zap.String("origin", q.request.Origin))
	}
	if outcome == "whole" && q.hedges+q.retries == 0 {
		fields = append(fields, logs.Routine())
	}
	if a.Fault != nil {
		fields = append(fields, zap.String("cause", a.Fault.Text), zap.Bool("ran", q.mayHaveRun()), zap.Duration("retry", a.Fault.RetryAfter()))
	}
	if elsewhere := q.delegated(); elsewhere != "" {
		fields = append(fields, zap.String("elsewhere", elsewhere))
	}
	if story := q.story(now); story != "" {
		fields = append(fields, zap.String("targets", story))
	}
	line.Write(fields...)
}

// delegated tells for each data centre how many of the shards that a host there was asked for have come.
func (q *run) delegated() string {
	var b strings.Builder
	for _, g := range q.asked {
		if b.Len() > 0 {
			b.WriteString(" ")
		}
		came := 0
		if g.answer != nil {
			came = len(g.answer.Signatures)
		}
		fmt.Fprintf(&b, "%s:%d/%d", g.datacentre, came, len(g.parts))
	}
	return b.String()
}

// maxStory bounds the number of shards that a line tells of.
const maxStory = 6

// story tells for the shards that were late, lost or asked twice which targets were asked.
func (q *run) story(now time.Time) string {
	var b strings.Builder
	told := 0
	for _, p := range q.parts {
		if p.elsewhere || (p.reply != nil && len(p.asked) < 2) {
			continue
		}
		if told++; told > maxStory {
			b.WriteString(" ...")
			break
		}
		if b.Len() > 0 {
			b.WriteString(" ")
		}
		b.WriteString(p.service + ":")
		for i, f := range p.flights {
			if i > 0 {
				b.WriteString(",")
			}
			b.WriteString(f.to.ID + "@" + f.sent.Sub(q.start).Round(time.Millisecond).String())
			if !f.ended {
				b.WriteString("+open" + now.Sub(f.sent).Round(time.Millisecond).String())
			}
		}
		if p.lost {
			b.WriteString("=lost")
		}
	}
	return b.String()
}
