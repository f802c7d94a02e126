package keeper

import (
	"context"
	"errors"
	"time"

	"kingcupcross/fault"
	"kingcupcross/shard"
	"kingcupcross/target"
	"kingcupcross/timer"
	"kingcupcross/wire"
)

// gate admits work to one target.
type gate struct {
	target shard.Target
	client *target.Client
	clock  *timer.Service
	awake  func() bool
	slots  chan struct{}
}

func newGate(clock *timer.Service, t shard.Target, awake func() bool) *gate {
	return &gate{
		target: t,
		client: target.NewClient(t.Address, t.Conns),
		clock:  clock,
		awake:  awake,
		slots:  make(chan struct{}, t.Slots),
	}
}

// flightLimit bounds the time that a sub-request may run at a target.
const flightLimit = 2 * time.Second

// pass is the right to send one request now; it must be given back through done.
type pass struct {
	gate *gate
	// id is the request's id at the target, for its cancellation; it is empty for orders.
	id string
	// deadline is when the target may no longer work on the request.
	deadline time.Time
}

// left returns the time that the target may take from now on.
func (p *pass) left() time.Duration {
	return max(p.deadline.Sub(p.gate.clock.Now()), 0)
}

// done gives the pass back with what the target said of itself in its reply or refusal, and the error of the exchange.
func (p *pass) done(_ target.State, _ error) {
	<-p.gate.slots
}

// enter waits for room at the target; the request must be sent at once, and the error is a fault.Error.
func (g *gate) enter(ctx context.Context, _ wire.Class, deadline time.Time) (*pass, error) {
	select {
	case g.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, fault.New(fault.TooLate, "no slot of %s came free in time", g.target.Name)
	}
	if !g.awake() {
		<-g.slots
		return nil, fault.New(fault.Paused, "this host was paused")
	}
	if latest := g.clock.Now().Add(flightLimit); deadline.After(latest) {
		deadline = latest
	}
	return &pass{gate: g, deadline: deadline}, nil
}

// stateOf returns what a target said of itself in a refusal, or the zero state.
func stateOf(err error) target.State {
	var refusal *target.Refusal
	if errors.As(err, &refusal) {
		return refusal.State
	}
	return target.State{}
}

// faultOf maps a target's failure to an error kind.
func faultOf(name string, err error) *fault.Error {
	var refusal *target.Refusal
	if errors.As(err, &refusal) {
		switch refusal.Reason {
		case target.Shed:
			return fault.New(fault.Overload, "%s sheds load", name).After(refusal.Retry.D())
		case target.Left:
			return fault.New(fault.NoReplica, "%s is leaving", name)
		case target.Absent, target.Gone:
			return fault.New(fault.Moved, "%s doesn't hold the snapshot: %s", name, refusal.Reason)
		case target.Expired:
			return fault.New(fault.TooLate, "%s got the request too late", name)
		default:
			return fault.New(fault.Internal, "%s finds the request malformed", name)
		}
	}
	return fault.New(fault.NoReplica, "%s: %v", name, err)
}
