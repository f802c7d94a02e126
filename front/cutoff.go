package front

import (
	"context"
	"time"
)

// cutOffCheckPeriod is the time between two checks whether this host is cut off; each check pings a few hosts of every other data centre.
const cutOffCheckPeriod = 500 * time.Millisecond

// watchCutOff sends callers to other hosts while this one is cut off and can't serve them.
//
// Being cut off alone is not a reason: a data centre without contact to others goes on with the requests that it can serve.
func (f *Front) watchCutOff(ctx context.Context) error {
	for {
		select {
		case <-f.engine.UnresponsiveRefusals():
		case <-ctx.Done():
			return nil
		}
		if f.coord.InMinorityPartition(ctx) {
			f.cutOff.Store(true)
			f.log.Warn("host is cut off and can't serve, sending callers to other hosts")
			for f.coord.InMinorityPartition(ctx) && f.clock.Sleep(ctx, cutOffCheckPeriod) == nil {
			}
			f.cutOff.Store(false)
			f.log.Info("host is no longer cut off")
		}
		if f.clock.Sleep(ctx, cutOffCheckPeriod) != nil {
			return nil
		}
	}
}

// divertsCallers reports whether callers are to go to other hosts. While it does, the health check fails and connections are closed after an answer.
func (f *Front) divertsCallers() bool {
	return f.leaving.Load() || f.cutOff.Load()
}
