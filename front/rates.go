package front

import (
	"context"

	"kingcupcross/coord"
)

// renewRateShares renews this host's shares of the rate limits that targets state until the context ends.
func (f *Front) renewRateShares(ctx context.Context) error {
	tick := f.clock.Every(coord.RateSharePeriod)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if demands := f.engine.RateDemands(); len(demands) > 0 {
				f.rateShares.Renew(ctx, demands)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// askRateShares asks another host for shares of rate limits.
func (f *Front) askRateShares(ctx context.Context, to coord.Member, r coord.RateShareRequest) (coord.RateShareReply, error) {
	ctx, cancel := f.clock.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var reply coord.RateShareReply
	err := f.dialer.Call(ctx, to.Views, coord.RateServiceName+".Lease", r, &reply)
	return reply, err
}
