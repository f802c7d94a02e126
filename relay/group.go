package relay

import (
	"errors"
	"net/http"

	"go.uber.org/zap"

	"kingcupcross/pool"
)

// leastGroup is the number of parts from which another host is asked for them: a merged answer is about as large as four of them.
const leastGroup = 8

// group is the parts of a request that another host answers for.
type group struct {
	datacentre string
	parts      []*part
	answer     *Answer
	err        error
}

// delegate has other hosts of the region answer for the parts whose targets are in their data centres, gives their claims back, and returns those parts.
func (q *run) delegate(chosen []*claim) map[*part]bool {
	e := q.engine
	if !q.route.Fanout() || q.request.Shards != nil {
		return nil
	}
	groups := map[string]*group{}
	for i, c := range chosen {
		if c == nil || c.to.Datacentre == e.place.Datacentre || c.to.Region != e.place.Region {
			continue
		}
		g := groups[c.to.Datacentre]
		if g == nil {
			g = &group{datacentre: c.to.Datacentre}
			groups[c.to.Datacentre] = g
		}
		g.parts = append(g.parts, q.parts[i])
	}
	delegated := map[*part]bool{}
	for _, g := range groups {
		if len(g.parts) < leastGroup || !e.helpers.Has(g.datacentre) {
			continue
		}
		for _, p := range g.parts {
			p.elsewhere = true
			delegated[p] = true
		}
		q.ask(g)
	}
	for i, p := range q.parts {
		if delegated[p] {
			e.release(chosen[i])
		}
	}
	return delegated
}

// ask sends a group to the host that answers for it.
func (q *run) ask(g *group) {
	e := q.engine
	r := *q.request
	r.Version = q.config.Version
	r.Left = q.end.Sub(e.clock.Now())
	for _, p := range g.parts {
		r.Shards = append(r.Shards, p.place)
	}
	q.asking++
	q.asked = append(q.asked, g)
	go func() {
		done := *g
		done.answer, done.err = e.helpers.Ask(q.work, g.datacentre, &r, q.end)
		q.groups <- &done
	}()
}

// takeGroup takes what another host has merged; where it certainly asked nobody, the parts are asked for from here.
func (q *run) takeGroup(g *group) {
	q.asking--
	for i, asked := range q.asked {
		if asked.datacentre == g.datacentre {
			q.asked[i] = g
		}
	}
	e := q.engine
	var lost *pool.Error
	unsent := errors.As(g.err, &lost) && !lost.Sent
	switch {
	case g.err == nil && g.answer.Merged:
		q.ran = true
		q.done += len(g.answer.Signatures)
		q.lost += len(g.parts) - len(g.answer.Signatures)
		q.merged = append(q.merged, g.answer)
		return
	case unsent || (g.err == nil && (g.answer.Aside || g.answer.Status == http.StatusServiceUnavailable || g.answer.Status == http.StatusTooManyRequests)):
		// A refusal with one of these statuses says that nothing has run: too few targets answer there, or there is no room.
		e.scope.Counter("groups_back").Inc(1)
		now := e.clock.Now()
		for _, p := range g.parts {
			p.elsewhere = false
			p.offered = g.answer != nil && g.answer.Offered
			switch c := q.choose(p, now); {
			case c == nil:
				q.lose(p)
			case !p.offered:
				q.begin(p, c, now)
			case q.pay(p):
				q.retries++
				q.launch(p, c, now)
			default:
				e.release(c)
				q.lose(p)
			}
		}
		return
	}
	// The host may have asked as many targets as a part may be sent to.
	q.ran = true
	e.scope.Counter("groups_lost").Inc(1)
	q.cause = "group of " + g.datacentre + " failed"
	e.log.Info("group of parts is lost", zap.String("request", q.request.ID), zap.String("datacentre", g.datacentre), zap.Int("parts", len(g.parts)), zap.Error(g.err))
	for _, p := range g.parts {
		q.lose(p)
	}
}
