package order

import (
	"context"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"
)

const (
	// sweepPeriod is the least time between two looks at the oldest claims.
	sweepPeriod = time.Minute
	// sweepPage is the number of documents that one look deletes at most.
	sweepPage = 50
	// claimLife is the age of a key at which its claim is deleted: hosts refuse keys older than KeyLife, and the difference is what their clocks may be apart.
	claimLife = 2 * KeyLife
)

// Sweep deletes old claims until the context ends; one host of each data centre does so.
func (b *Book) Sweep(ctx context.Context) error {
	tick := b.clock.Every(sweepPeriod)
	defer tick.Stop()
	var next time.Time
	for {
		select {
		case now := <-tick.C:
			if b.claims.claimer(Claims).Name != b.board.Self.Name || now.Before(next) {
				continue
			}
			var err error
			if next, err = b.claims.sweep(ctx, now); err != nil {
				b.log.Debug("claims not swept", zap.Error(err))
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// sweep deletes the oldest claims whose life has ended and returns when the next one's ends.
func (c *claims) sweep(ctx context.Context, now time.Time) (next time.Time, err error) {
	page, err := c.platform.List(ctx, Claims, "", sweepPage)
	if err != nil {
		return next, err
	}
	for _, e := range page.Entries {
		if end := madeAt(e.Key).Add(claimLife); end.After(now) {
			return end, nil
		}
		if err := c.platform.Delete(ctx, e.Key); err != nil {
			return next, err
		}
		c.scope.Counter("sweptclaims").Inc(1)
	}
	return next, nil
}

// madeAt returns the making time of the keys in a document; a key that isn't a document's counts as just made.
func madeAt(document string) time.Time {
	digits, _, _ := strings.Cut(strings.TrimPrefix(document, Claims), "-")
	seconds, err := strconv.ParseInt(digits, 10, 64)
	if err != nil {
		return time.Unix(1<<40, 0)
	}
	return time.Unix(seconds, 0)
}
