package keeper

import (
	"context"
	"errors"
	"net/http"
	"time"

	"kingcupcross/fault"
	"kingcupcross/target"
)

// learn draws the conclusions from the end of a request and returns the process that gave its first sign of leaving, or zero; the lock is held.
func (g *gate) learn(now time.Time, p *pass, s target.State, err error) (sign uint64) {
	if !g.keeper.policy.hears {
		s = target.State{}
	}
	sign = g.hear(now, s)
	g.witness(now, p, s)
	var refusal *target.Refusal
	switch {
	case errors.As(err, &refusal):
		sign = max(sign, g.refusedBy(now, refusal))
	case err == nil:
		g.ramp.win(s, g.cold(s), g.target.Slots, p.sent, now.Sub(p.sent))
	case givenUp(err) && now.Before(p.deadline):
		// This host gave the request up, which says nothing about the target.
	default:
		g.doubt(now, "a request failed")
	}
	return sign
}

// givenUp reports whether a request ended because this host cancelled it, by its context or at the target.
func givenUp(err error) bool {
	var status *target.StatusError
	return errors.Is(err, context.Canceled) || (errors.As(err, &status) && status.Status == http.StatusGatewayTimeout)
}

// hear notes what a reply or refusal states; the lock is held.
func (g *gate) hear(now time.Time, s target.State) (sign uint64) {
	before := g.ramp.limit
	cold := g.cold(s)
	if _, known := g.ramp.meet(now, s, cold); !known {
		return 0
	}
	g.ramp.lower(now, s, cold)
	g.fallen(before)
	if s.Phase == target.Leaving {
		return g.sign(s.Process)
	}
	return 0
}

// refusedBy draws the conclusions from a refusal; the lock is held.
func (g *gate) refusedBy(now time.Time, r *target.Refusal) (sign uint64) {
	switch r.Reason {
	case target.ReasonShed:
		before := g.ramp.limit
		g.ramp.shed(now, r.State)
		g.fallen(before)
		if quiet := min(r.Retry.D(), longestQuiet); quiet > 0 {
			g.quiet = now.Add(quiet)
			g.wake(quiet)
		}
	case target.ReasonLeaving:
		process := r.State.Process
		if process == 0 {
			process = unnamed
		}
		return g.sign(process)
	}
	return 0
}

// sign notes a sign of leaving and returns the process if it is the first; the lock is held.
func (g *gate) sign(process uint64) uint64 {
	if !g.ramp.sign(process) {
		return 0
	}
	g.keeper.count.signs.Inc(1)
	g.keeper.say("target is leaving", g)
	g.dispatch()
	return process
}

// witness keeps room for the work of others that the target tells of; the lock is held.
func (g *gate) witness(now time.Time, p *pass, s target.State) {
	foreign := s.Busy - p.most
	if foreign <= 0 || !g.keeper.policy.witness {
		return
	}
	g.witnessed = now
	g.keeper.count.witnessed.Inc(1)
	for range min(foreign, g.target.Slots) {
		g.keepRoom(now, orphan{until: now.Add(flightLimit)})
	}
}

// doubt makes the target count as cold until a reply tells that its process is the same; the lock is held.
func (g *gate) doubt(now time.Time, why string) {
	if !g.keeper.policy.doubts {
		return
	}
	before := g.ramp.limit
	g.ramp.doubt(now, g.cold(target.State{}), why)
	g.fallen(before)
}

// doubtOverdue raises a doubt where a request has been without a reply for much longer than the mean; the lock is held.
func (g *gate) doubtOverdue(now time.Time) {
	if g.ramp.mean == 0 {
		return
	}
	slow := max(slowFactor*g.ramp.mean, slowFloor)
	for _, p := range g.flying {
		if now.Sub(p.sent) > slow && p.sent.After(g.ramp.fell) {
			g.doubt(now, "a reply is overdue")
			return
		}
	}
}

func (g *gate) fallen(before int) {
	if g.ramp.limit < before {
		g.keeper.count.fell.Inc(1)
		g.keeper.say("limit of target fell", g)
	}
}

// lost is called when the target's side ends a connection, as it does when its process ends.
func (g *gate) lost() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.doubt(g.keeper.clock.Now(), "the target ended a connection")
}

// check reads the state endpoint, which may lag: it can lower the limit and tell of leaving, and never raises.
func (g *gate) check(ctx context.Context) {
	g.mu.Lock()
	last := g.heard
	g.mu.Unlock()
	ctx, cancel := g.keeper.clock.WithTimeout(ctx, checkTimeout)
	defer cancel()
	s, err := g.client.State(ctx)
	if err != nil {
		return
	}
	g.mu.Lock()
	var sign uint64
	// Replies are newer than the endpoint's view, which only counts while there are none.
	if g.heard == last || s.Phase == target.Leaving {
		sign = g.hear(g.keeper.clock.Now(), s)
	}
	g.mu.Unlock()
	g.keeper.spreadSign(g.name, sign)
}

// faultOf maps a target's failure to an error kind.
func faultOf(name string, err error) *fault.Error {
	var refusal *target.Refusal
	if errors.As(err, &refusal) {
		switch refusal.Reason {
		case target.ReasonShed:
			return fault.New(fault.Overload, "%s sheds load", name).WithRetry(refusal.Retry.D())
		case target.ReasonLeaving:
			return fault.New(fault.NoReplica, "%s is leaving", name)
		case target.ReasonAbsent, target.ReasonGone:
			return fault.New(fault.Moved, "%s doesn't hold the snapshot: %s", name, refusal.Reason)
		case target.ReasonExpired:
			return fault.New(fault.TooLate, "%s got the request too late", name)
		default:
			return fault.New(fault.Internal, "%s finds the request malformed", name)
		}
	}
	return fault.New(fault.NoReplica, "%s: %v", name, err)
}
