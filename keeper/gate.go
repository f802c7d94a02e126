package keeper

import (
	"context"
	"errors"

	"kingcupcross/fault"
	"kingcupcross/shard"
	"kingcupcross/target"
	"kingcupcross/timer"
)

// gate admits work to one target.
type gate struct {
	target shard.Target
	client *target.Client
	clock  *timer.Service
	slots  chan struct{}
}

func newGate(clock *timer.Service, t shard.Target) *gate {
	return &gate{
		target: t,
		client: target.NewClient(t.Address, t.Conns),
		clock:  clock,
		slots:  make(chan struct{}, t.Slots),
	}
}

// enter waits for a slot and returns the function that frees it.
func (g *gate) enter(ctx context.Context) (leave func(), err error) {
	select {
	case g.slots <- struct{}{}:
		return func() { <-g.slots }, nil
	case <-ctx.Done():
		return nil, fault.New(fault.TooLate, "no slot of %s came free in time", g.target.Name)
	}
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
