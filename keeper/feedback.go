package keeper

import (
	"context"
	"errors"
	"net/http"
	"time"

	"kingcupcross/fault"
	"kingcupcross/target"
)

// onResult updates the gate after a request has ended. It returns the process that the result newly shows to be leaving, or zero. The lock is held.
func (g *gate) onResult(now time.Time, p *permit, s target.State, err error) (leaving uint64) {
	if !g.keeper.guards.useStatedState {
		s = target.State{}
	}
	leaving = g.applyState(now, s)
	g.reserveForeign(now, p, s)
	var refusal *target.Refusal
	switch {
	case errors.As(err, &refusal):
		leaving = max(leaving, g.onRefusal(now, refusal))
	case err == nil:
		g.limiter.onSuccess(s, g.coldLimit(s), g.target.Slots, p.sentAt, now.Sub(p.sentAt))
	case isCancelled(err) && now.Before(p.deadline):
		// This host cancelled the request, which says nothing about the target.
	default:
		g.suspectRestart(now, "a request failed")
	}
	return leaving
}

// isCancelled reports whether a request failed because this host cancelled it, through the context or at the target.
func isCancelled(err error) bool {
	var status *target.StatusError
	return errors.Is(err, context.Canceled) || (errors.As(err, &status) && status.Status == http.StatusGatewayTimeout)
}

// applyState applies the state that the target stated and returns the process that is newly known to be leaving, or zero. The lock is held.
func (g *gate) applyState(now time.Time, s target.State) (leaving uint64) {
	before := g.limiter.limit
	cold := g.coldLimit(s)
	if _, current := g.limiter.observeProcess(now, s, cold); !current {
		return 0
	}
	g.limiter.applyStated(now, s, cold)
	g.reportIfLowered(before)
	if s.Phase == target.Leaving {
		return g.markLeaving(s.Process)
	}
	return 0
}

// onRefusal lowers the limit and backs off after load was shed, and notes a leaving target. It returns the process that is newly known to be leaving, or zero. The lock is held.
func (g *gate) onRefusal(now time.Time, r *target.Refusal) (leaving uint64) {
	switch r.Reason {
	case target.ReasonShed:
		before := g.limiter.limit
		g.limiter.onShed(now, r.State)
		g.reportIfLowered(before)
		if backoff := min(r.Retry.D(), maxBackoff); backoff > 0 {
			g.backoffUntil = now.Add(backoff)
			g.dispatchAfter(backoff)
		}
	case target.ReasonLeaving:
		process := r.State.Process
		if process == 0 {
			process = unknownProcess
		}
		return g.markLeaving(process)
	}
	return 0
}

// markLeaving records that a process is leaving and returns it if that was not known yet, or else zero. The lock is held.
func (g *gate) markLeaving(process uint64) uint64 {
	if !g.limiter.markLeaving(process) {
		return 0
	}
	g.keeper.counters.leavingSignals.Inc(1)
	g.keeper.logChange("target is leaving", g)
	g.dispatch()
	return process
}

// reserveForeign reserves slots for the requests that the target reports beyond this host's own. The lock is held.
func (g *gate) reserveForeign(now time.Time, p *permit, s target.State) {
	foreign := s.Busy - p.maxConcurrent
	if foreign <= 0 || !g.keeper.guards.countForeignWork {
		return
	}
	g.foreignWorkAt = now
	g.keeper.counters.foreignWork.Inc(1)
	for range min(foreign, g.target.Slots) {
		g.reserve(now, reservation{until: now.Add(maxRequestTime)})
	}
}

// suspectRestart treats the target as cold until a reply confirms that its process is the same. The lock is held.
func (g *gate) suspectRestart(now time.Time, reason string) {
	if !g.keeper.guards.suspectRestarts {
		return
	}
	before := g.limiter.limit
	g.limiter.lowerUntilConfirmed(now, g.coldLimit(target.State{}), reason)
	g.reportIfLowered(before)
}

// checkOverdue suspects a restart if a reply has been missing for much longer than the mean response time. The lock is held.
func (g *gate) checkOverdue(now time.Time) {
	if g.limiter.meanResponseTime == 0 {
		return
	}
	overdue := max(overdueFactor*g.limiter.meanResponseTime, minOverdueTime)
	for _, p := range g.inFlight {
		if now.Sub(p.sentAt) > overdue && p.sentAt.After(g.limiter.loweredAt) {
			g.suspectRestart(now, "a reply is overdue")
			return
		}
	}
}

// reportIfLowered counts and logs a drop of the limit below its earlier value. The lock is held.
func (g *gate) reportIfLowered(before int) {
	if g.limiter.limit < before {
		g.keeper.counters.limitReductions.Inc(1)
		g.keeper.logChange("limit of target lowered", g)
	}
}

// onDisconnect is called when the target closes a connection, as happens when its process ends.
func (g *gate) onDisconnect() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.suspectRestart(g.keeper.clock.Now(), "the target ended a connection")
}

// checkState reads the target's state endpoint. As its answer may be outdated, it can lower the limit and signal that the target is leaving, but never raises the limit.
func (g *gate) checkState(ctx context.Context) {
	g.mu.Lock()
	last := g.responses
	g.mu.Unlock()
	ctx, cancel := g.keeper.clock.WithTimeout(ctx, stateReadTimeout)
	defer cancel()
	s, err := g.client.State(ctx)
	if err != nil {
		return
	}
	g.mu.Lock()
	var leaving uint64
	// A reply that came meanwhile is newer than the endpoint's answer, of which then only the leaving phase counts.
	if g.responses == last || s.Phase == target.Leaving {
		leaving = g.applyState(g.keeper.clock.Now(), s)
	}
	g.mu.Unlock()
	g.keeper.broadcastLeaving(g.name, leaving)
}

// faultOf returns the fault that callers get for a failure of a target.
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
