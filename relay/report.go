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

// maxRouteLabels is the number of routes with a metric label of their own; further routes share the label "other".
const maxRouteLabels = 32

// routeLabels assigns metric labels to routes in order of their first use.
type routeLabels struct {
	mu    sync.Mutex
	known map[string]bool
}

// label returns the metric label of a route.
func (l *routeLabels) label(route string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known == nil {
		l.known = map[string]bool{}
	}
	if !l.known[route] && len(l.known) >= maxRouteLabels {
		return "other"
	}
	l.known[route] = true
	return route
}

// recordAnswer classifies an answer by its outcome, updates the metrics and the admission factor, and logs it.
func (e *Engine) recordAnswer(q *query, a *Answer) {
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
	if late := a.Fault != nil || took > q.route.Aim-q.request.TransitTime; q.admitted && outcome != "left" && (!late || q.congested()) {
		e.load.adjustFactor(loadGroup(q.route, q.parts[0]), late)
	}
	scope := e.scope.Tagged(map[string]string{"outcome": outcome, "route": e.labels.label(q.route.Name)})
	scope.Counter("requests").Inc(1)
	scope.Histogram("request_seconds", latencyBuckets).RecordDuration(took)
	e.scope.Counter("missing_shards").Inc(int64(a.Missing))
	e.scope.Counter("hedges").Inc(int64(q.hedges))
	e.scope.Counter("retries").Inc(int64(q.retries))
	e.logAnswer(q, a, outcome, now)
}

// reportLeavingTarget counts and logs a sub-request to a target that this host knows to be draining, removed, out of service or shutting down by its own notice.
func (q *query) reportLeavingTarget(sub *subRequest) {
	e := q.engine
	origin, age := "store", time.Duration(0)
	view := e.state.View()
	switch notice, found := e.notices.current().leavingOf(sub.target); {
	case found:
		origin, age = notice.origin, sub.sentAt.Sub(notice.since)
	case e.mayStillSend(sub.target):
		return
	default:
		age = sub.sentAt.Sub(view.ReadAt)
	}
	e.scope.Tagged(map[string]string{"origin": origin}).Counter("leaving_sends").Inc(1)
	e.log.Info("sub-request sent to a leaving target", zap.String("request", q.request.ID), zap.String("target", sub.target.ID), zap.String("origin", origin), zap.Int64("age_ms", age.Milliseconds()), zap.Int64("ms", sub.sentAt.Sub(q.start).Milliseconds()), zap.Uint64("chosen_from", q.initialView.Revision), zap.Uint64("roster_revision", view.Revision))
}

// recordBrokenOff records and counts a sub-request whose connection the target ended without a reply. The counter tells whether the target ran a first copy, a hedge or a retry, and whether other targets had replied to the same request.
func (q *query) recordBrokenOff(sub *subRequest) {
	sub.brokenOff = true
	q.brokenOff = append(q.brokenOff, sub.target)
	answered := "no"
	if q.answeredByTarget {
		answered = "yes"
	}
	q.engine.scope.Tagged(map[string]string{"reason": string(sub.reason), "answered": answered}).Counter("broken_off").Inc(1)
}

// reportTooLong counts and logs a response that exceeds its size limits.
func (q *query) reportTooLong(sub *subRequest, err error) {
	e := q.engine
	e.scope.Counter("answers_too_long").Inc(1)
	e.log.Info("target response exceeds the size limits", zap.String("request", q.request.ID), zap.String("target", sub.target.ID), zap.String("service", sub.target.Service), zap.Error(err))
}

// logAnswer writes the log line of an answer. Whole answers without hedges or retries are marked as routine.
func (e *Engine) logAnswer(q *query, a *Answer, outcome string, now time.Time) {
	entry := e.log.Check(zapcore.InfoLevel, "request answered")
	if entry == nil {
		return
	}
	fields := []zap.Field{
		zap.String("request", q.request.ID),
		zap.String("route", q.route.Name),
		zap.String("outcome", outcome),
		zap.Int64("ms", now.Sub(q.start).Milliseconds()),
		zap.Int64("aim", q.route.Aim.Milliseconds()),
		zap.Uint64("config", q.config.Version),
		zap.Int64("roster_age_ms", q.start.Sub(q.initialView.ReadAt).Milliseconds()),
		zap.Uint64("roster_revision", q.initialView.Revision),
		zap.Int("shards", len(q.parts)),
		zap.Int("answered", q.answered),
		zap.Int("needed", q.needed),
		zap.Int("hedges", q.hedges),
		zap.Int("retries", q.retries),
		zap.Float64("budget", e.budgets.lowest(q.parts)),
	}
	if len(q.brokenOff) > 0 {
		fields = append(fields, zap.Int("broken_off", len(q.brokenOff)), zap.Bool("answered_by_target", q.answeredByTarget), zap.Stringer("content", q.request.Digest()))
	}
	if q.request.Shards != nil {
		fields = append(fields, zap.Bool("group", true))
	}
	if missing := q.lossSummary(); missing != "" && q.route.Fanout() && q.admitted {
		fields = append(fields, zap.String("lost", missing))
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
	if delegated := q.delegationSummary(); delegated != "" {
		fields = append(fields, zap.String("elsewhere", delegated))
	}
	if targets := q.targetsSummary(now); targets != "" {
		fields = append(fields, zap.String("targets", targets))
	}
	entry.Write(fields...)
}

// delegationSummary returns, for each data centre that shards were delegated to, the number of shards received and requested.
func (q *query) delegationSummary() string {
	var b strings.Builder
	for _, g := range q.delegations {
		if b.Len() > 0 {
			b.WriteString(" ")
		}
		received := 0
		if g.answer != nil {
			received = len(g.answer.Signatures)
		}
		fmt.Fprintf(&b, "%s:%d/%d", g.datacentre, received, len(g.parts))
	}
	return b.String()
}

// maxLoggedShards is the number of shards that targetsSummary lists.
const maxLoggedShards = 6

// targetsSummary lists, for the shards that were late, lost or asked more than once, the targets that were asked and when.
func (q *query) targetsSummary(now time.Time) string {
	var b strings.Builder
	listed := 0
	for _, p := range q.parts {
		if p.delegated || (p.reply != nil && len(p.askedTargets) < 2) {
			continue
		}
		if listed++; listed > maxLoggedShards {
			b.WriteString(" ...")
			break
		}
		if b.Len() > 0 {
			b.WriteString(" ")
		}
		b.WriteString(p.service + ":")
		for i, f := range p.subRequests {
			if i > 0 {
				b.WriteString(",")
			}
			b.WriteString(f.target.ID + "@" + f.sentAt.Sub(q.start).Round(time.Millisecond).String())
			if f.brokenOff {
				b.WriteString("+ended")
			}
			if !f.ended {
				b.WriteString("+open" + now.Sub(f.sentAt).Round(time.Millisecond).String())
			}
		}
		if p.lost {
			b.WriteString("=lost")
		}
	}
	return b.String()
}
