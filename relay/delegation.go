package relay

import (
	"errors"
	"net/http"

	"go.uber.org/zap"

	"kingcupcross/pool"
)

// minDelegatedParts is the smallest number of parts that is delegated to another host. A merged answer is about as large as four parts.
const minDelegatedParts = 8

// delegation is the set of a request's parts that one host in another data centre answers for.
type delegation struct {
	datacentre string
	parts      []*part
	answer     *Answer
	err        error
}

// delegate asks hosts in other data centres of the region to answer for the parts whose reserved targets are there. It releases the reservations of those parts and returns the set of these parts.
func (q *query) delegate(reserved []*reservation) map[*part]bool {
	e := q.engine
	if !q.route.Fanout() || q.request.Shards != nil || q.suspect || q.cautious {
		return nil
	}
	byDatacentre := map[string]*delegation{}
	for i, res := range reserved {
		// What a rate limit allows this host is not passed on.
		if res == nil || res.limit != nil || res.target.Datacentre == e.location.Datacentre || res.target.Region != e.location.Region {
			continue
		}
		g := byDatacentre[res.target.Datacentre]
		if g == nil {
			g = &delegation{datacentre: res.target.Datacentre}
			byDatacentre[res.target.Datacentre] = g
		}
		g.parts = append(g.parts, q.parts[i])
	}
	delegated := map[*part]bool{}
	for _, g := range byDatacentre {
		if len(g.parts) < minDelegatedParts || !e.delegates.Available(g.datacentre) {
			continue
		}
		for _, p := range g.parts {
			p.delegated = true
			delegated[p] = true
		}
		q.sendDelegation(g)
	}
	for i, p := range q.parts {
		if delegated[p] {
			e.release(reserved[i])
		}
	}
	return delegated
}

// sendDelegation sends the parts of a delegation to a host in its data centre. The outcome arrives on q.delegationResults.
func (q *query) sendDelegation(g *delegation) {
	e := q.engine
	r := *q.request
	r.Version = q.config.Version
	r.TimeLeft = q.deadline.Sub(e.clock.Now())
	for _, p := range g.parts {
		r.Shards = append(r.Shards, p.index)
	}
	q.openDelegations++
	q.delegations = append(q.delegations, g)
	go func() {
		result := *g
		result.answer, result.err = e.delegates.Forward(q.subCtx, g.datacentre, &r, q.deadline)
		q.delegationResults <- &result
	}()
}

// handleDelegation takes over the merged answer of another host. If that host declined or certainly sent no sub-request that ran, the parts are sent from here; otherwise they are lost.
func (q *query) handleDelegation(g *delegation) {
	q.openDelegations--
	for i, sent := range q.delegations {
		if sent.datacentre == g.datacentre {
			q.delegations[i] = g
		}
	}
	e := q.engine
	var poolErr *pool.Error
	unsent := errors.As(g.err, &poolErr) && !poolErr.Sent
	switch {
	case g.err == nil && g.answer.Merged:
		q.maybeRan = true
		q.answered += len(g.answer.Signatures)
		q.lost += len(g.parts) - len(g.answer.Signatures)
		q.mergedAnswers = append(q.mergedAnswers, g.answer)
		if len(g.answer.Signatures) > 0 {
			q.noteAnswered()
		}
		return
	case unsent || (g.err == nil && (g.answer.Declined || g.answer.Status == http.StatusServiceUnavailable || g.answer.Status == http.StatusTooManyRequests)):
		// With these statuses a host refuses without running anything: too few of its targets answer, or it is overloaded.
		e.scope.Counter("groups_back").Inc(1)
		now := e.clock.Now()
		for _, p := range g.parts {
			p.delegated = false
			p.refusedByDelegate = g.answer != nil && g.answer.ReachedTargets
			switch res := q.reserveNewTarget(p, now); {
			case res == nil:
				q.markLost(p)
			case !p.refusedByDelegate:
				q.sendFirst(p, res, now)
			case q.spendBudget(p):
				q.retries++
				q.send(p, res, now, reasonRetry)
			default:
				e.release(res)
				q.markLost(p)
			}
		}
		return
	}
	// The host may already have used up the attempts of each part.
	q.maybeRan = true
	e.scope.Counter("groups_lost").Inc(1)
	q.lastCause = "group of " + g.datacentre + " failed"
	e.log.Info("delegated parts lost", zap.String("request", q.request.ID), zap.String("datacentre", g.datacentre), zap.Int("parts", len(g.parts)), zap.Error(g.err))
	for _, p := range g.parts {
		q.markLost(p)
	}
}
