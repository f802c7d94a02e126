package keeper

import (
	"context"
	"errors"
	"net"
	"time"

	"kingcupcross/target"
)

// reservation occupies a slot for a request that may still run at the target although this host doesn't wait for its reply: a lost request of this host, or a request of another host.
type reservation struct {
	id    string
	until time.Time
}

// permit allows one request to be sent now. It must be given back by done, or by the gate's returnUnused if the request is not sent.
type permit struct {
	gate *gate
	// id is the request's id at the target, by which it can be cancelled. It is empty for orders.
	id string
	// deadline is the time after which the target may no longer work on the request.
	deadline time.Time
	sentAt   time.Time
	// maxConcurrent is the largest number of slots that this host occupied while the request ran.
	maxConcurrent int
}

// setRequestID sets the request's id at the target. Without one, the request can't be cancelled there.
func (p *permit) setRequestID(id string) {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.id = id
}

// timeLeft returns the time until the deadline, at least zero.
func (p *permit) timeLeft() time.Duration {
	return max(p.deadline.Sub(p.gate.keeper.clock.Now()), 0)
}

// done gives the permit back. s is the state that the target stated in its reply or refusal, and err the error of the exchange.
func (p *permit) done(s target.State, err error) {
	g := p.gate
	g.mu.Lock()
	g.removeInFlight(p)
	g.responses++
	now := g.keeper.clock.Now()
	outcome := outcomeOf(err)
	if outcome == lost && now.Before(p.deadline) {
		g.reserve(now, reservation{id: p.id, until: p.deadline})
	}
	leaving := g.onResult(now, p, s, err)
	g.dispatch()
	g.mu.Unlock()
	if outcome == lost && p.id != "" {
		g.keeper.spawn(func() { g.cancelLost(p) })
	}
	g.keeper.broadcastLeaving(g.name, leaving)
}

// reserve keeps a slot occupied until the reservation ends. The lock is held.
func (g *gate) reserve(now time.Time, r reservation) {
	g.reservations = append(g.reservations, r)
	g.dispatchAfter(r.until.Sub(now))
}

// cancelLost asks the target to cancel a lost request and frees its slot soon after the target has accepted that.
func (g *gate) cancelLost(p *permit) {
	ctx, stop := g.keeper.clock.WithTimeout(context.Background(), p.timeLeft())
	defer stop()
	if g.client.Cancel(ctx, p.id) != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, r := range g.reservations {
		if r.id == p.id {
			g.reservations[i].until = g.keeper.clock.Now().Add(cancelledEndGrace)
		}
	}
	g.dispatchAfter(cancelledEndGrace)
}

// outcome says what is known about a request at its target.
type outcome uint8

const (
	// answered means that the target sent a reply or an error status.
	answered outcome = iota
	// refused means that the target refused the request.
	refused
	// unsent means that the request never reached the target.
	unsent
	// lost means that the request may have reached the target and may still run there.
	lost
)

// outcomeOf returns the outcome that follows from the error of an exchange.
func outcomeOf(err error) outcome {
	if err == nil {
		return answered
	}
	var refusal *target.Refusal
	if errors.As(err, &refusal) {
		return refused
	}
	var status *target.StatusError
	if errors.As(err, &status) {
		return answered
	}
	var failed *target.SendError
	if errors.As(err, &failed) && !failed.Sent {
		return unsent
	}
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return unsent
	}
	return lost
}

// stateOf returns the state that a target stated in a refusal, or the zero state.
func stateOf(err error) target.State {
	var refusal *target.Refusal
	if errors.As(err, &refusal) {
		return refusal.State
	}
	return target.State{}
}
