package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"kingcupcross/pool"
	"kingcupcross/rank"
	"kingcupcross/roster"
)

// flight is one sub-request.
type flight struct {
	part  *part
	to    *roster.Entry
	rank  *rank.Estimator
	mark  *rank.PendingRequest
	sent  time.Time
	ended bool
	// unloaded says that the flight no longer counts as load.
	unloaded bool
	// check is when a hedge is thought of.
	check time.Time
}

// dialTries is the number of targets that can't be reached and don't count as attempts.
const dialTries = 4

// unload takes a sub-request that has ended or is overdue out of the load, once.
func (q *run) unload(f *flight) {
	if !f.unloaded {
		f.unloaded = true
		q.engine.load.add(groupOf(q.route, f.part), -1)
	}
}

// begin sends the first sub-request of a part.
func (q *run) begin(p *part, c *claim, now time.Time) {
	q.engine.budgets.earn(p.service)
	q.launch(p, c, now)
}

// launch sends a sub-request with a claim.
func (q *run) launch(p *part, c *claim, now time.Time) {
	e, to, r := q.engine, c.to, c.rank
	f := &flight{
		part:  p,
		to:    to,
		rank:  r,
		mark:  r.BeginReserved(now),
		sent:  now,
		check: now.Add(r.OverdueAfter(now)),
	}
	if q.route.Fanout() {
		if last := q.lastHedge(p, to, now); last.Before(f.check) {
			f.check = last
		}
	}
	if !slices.Contains(p.asked, to.ID) {
		p.asked = append(p.asked, to.ID)
	}
	q.noteLeaving(f)
	p.reached++
	p.flights = append(p.flights, f)
	q.loadOne(p)
	sub := Sub{
		Deadline: q.end,
		Fresh:    !q.route.Idempotent,
		Bounds:   q.bounds(),
		Keep:     e.keep(q.config.Services[p.service]),
		Wanted:   func() bool { return e.serves(to) },
		Heard:    func(w Word) { e.hear(to, w) },
	}
	go func() {
		reply, err := e.send(q.work, to, q.request, sub)
		r.End(f.mark, e.clock.Now(), verdict(q.work, reply, err))
		q.results <- result{flight: f, reply: reply, err: err}
	}()
}

// verdict returns what a result says of the target.
func verdict(work context.Context, reply *Reply, err error) rank.Outcome {
	var lost *pool.Error
	switch {
	case err != nil && work.Err() != nil, errors.Is(err, pool.ErrUnwanted):
		return rank.Abandoned
	case errors.As(err, &lost) && !lost.Sent:
		return rank.Unreachable
	case errors.Is(err, pool.ErrResponseTooLong):
		// What sends bytes without end is no more use than what can't be reached.
		return rank.Unreachable
	case errors.As(err, &lost) && lost.Late:
		return rank.Unanswered
	case err != nil:
		return rank.Failed
	case reply.Misplaced:
		return rank.Unreachable
	case reply.NotRun || reply.Status >= 500 || (reply.Status < 300 && !reply.Success()):
		return rank.Failed
	default:
		return rank.Answered
	}
}
