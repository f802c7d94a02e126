package order

import (
	"context"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"
)

const (
	// claimDeletionPeriod is the time between two checks whether claims have to be deleted.
	claimDeletionPeriod = time.Minute
	// claimDeletionPageSize is the maximum number of documents that one check deletes.
	claimDeletionPageSize = 50
	// claimLifetime is the age of a key at which its claim is deleted.
	// Hosts refuse keys older than KeyLifetime; the difference allows for clocks that differ.
	claimLifetime = 2 * KeyLifetime
)

// DeleteExpiredClaims deletes expired claims until the context ends; in each data centre only one host does so.
func (b *Book) DeleteExpiredClaims(ctx context.Context) error {
	tick := b.clock.Every(claimDeletionPeriod)
	defer tick.Stop()
	var next time.Time
	for {
		select {
		case now := <-tick.C:
			if b.claims.documentWriter(ClaimsPrefix).Name != b.board.Self.Name || now.Before(next) {
				continue
			}
			var err error
			if next, err = b.claims.deleteExpiredClaims(ctx, now); err != nil {
				b.log.Debug("failed to delete expired claims", zap.Error(err))
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// deleteExpiredClaims deletes up to claimDeletionPageSize expired claim documents, oldest first, and returns when the first one that it leaves expires.
// A zero time means that it saw no document that it leaves, so that more expired ones may follow.
func (c *claimWriter) deleteExpiredClaims(ctx context.Context, now time.Time) (next time.Time, err error) {
	page, err := c.platform.List(ctx, ClaimsPrefix, "", claimDeletionPageSize)
	if err != nil {
		return next, err
	}
	for _, e := range page.Entries {
		if expiry := documentTime(e.Key).Add(claimLifetime); expiry.After(now) {
			return expiry, nil
		}
		if err := c.platform.Delete(ctx, e.Key); err != nil {
			return next, err
		}
		c.scope.Counter("sweptclaims").Inc(1)
	}
	return next, nil
}

// documentTime returns the start of the span in which the keys of a claim document were created, from the document's store key; for any other store key it returns a time in the far future, so that it is never deleted.
func documentTime(document string) time.Time {
	digits, _, _ := strings.Cut(strings.TrimPrefix(document, ClaimsPrefix), "-")
	seconds, err := strconv.ParseInt(digits, 10, 64)
	if err != nil {
		return time.Unix(1<<40, 0)
	}
	return time.Unix(seconds, 0)
}
