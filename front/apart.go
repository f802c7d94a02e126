package front

import (
	"context"
	"time"
)

// apartPeriod is the time between two looks whether this host is cut off, which cost a call to some hosts each.
const apartPeriod = 500 * time.Millisecond

// watchCut has callers go to hosts elsewhere while this one is cut off and can't serve them.
//
// Being cut off is no reason by itself: a data centre alone goes on with what it can serve.
func (f *Front) watchCut(ctx context.Context) error {
	for {
		select {
		case <-f.engine.Blocked():
		case <-ctx.Done():
			return nil
		}
		if f.coord.Apart(ctx) {
			f.apart.Store(true)
			f.log.Warn("host is cut off and can't serve: callers are sent elsewhere")
			for f.coord.Apart(ctx) && f.clock.Sleep(ctx, apartPeriod) == nil {
			}
			f.apart.Store(false)
			f.log.Info("host is no longer cut off")
		}
		if f.clock.Sleep(ctx, apartPeriod) != nil {
			return nil
		}
	}
}

// aside reports whether callers are to go to other hosts.
func (f *Front) aside() bool {
	return f.leaving.Load() || f.apart.Load()
}
