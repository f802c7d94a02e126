package order

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"kingcupcross/board"
	"kingcupcross/fault"
	"kingcupcross/store"
	"kingcupcross/timer"
	"kingcupcross/wire"
)

const (
	// ClaimsPrefix is the prefix of the store keys of claim documents, which map callers' keys to tickets.
	ClaimsPrefix = "claims/"
	// KeyLifetime is how long a caller's key is accepted after its creation; claims are deleted after twice that time.
	KeyLifetime = 24 * time.Hour
	// maxClockAhead is how far in the future the creation time of a key may lie, since callers' clocks may be ahead.
	maxClockAhead = time.Hour
	// Keys that were created in the same documentSpan share documentsPerSpan documents.
	documentSpan     = 10 * time.Second
	documentsPerSpan = 4
	// claimWriteInterval is the minimum time between two writes of one host to the same document.
	claimWriteInterval = 100 * time.Millisecond
	// maxClaimAttempts limits the attempts to write a document that other hosts are writing too.
	maxClaimAttempts = 8
	// claimTimeout is the timeout of a Claim call and of the write of one batch.
	claimTimeout = 3 * time.Second
	// digestSize is the number of bytes of the key's SHA-256 sum that identify it in a document.
	digestSize = 16
)

// Key identifies an order by a name that the caller chose.
type Key struct {
	Service string
	Name    string
	// CreatedAt is the time when the caller created the key; keys of the same name and another time are different keys.
	CreatedAt time.Time
	// Repeated says that the caller has sent the key before, so that only the host that issued the key's ticket knows whether the order has run.
	Repeated bool
}

// validate refuses keys that are so old that their claims may have been deleted, and keys from the future.
func (k Key) validate(now time.Time) *fault.Error {
	switch {
	case k.CreatedAt.Before(now.Add(-KeyLifetime)):
		return fault.New(fault.Unknown, "the key is older than %s: its record is gone", KeyLifetime)
	case k.CreatedAt.After(now.Add(maxClockAhead)):
		return fault.New(fault.Invalid, "the key's time lies ahead: %s", k.CreatedAt)
	default:
		return nil
	}
}

// claimFor returns the claim that binds the key to a ticket.
func (k Key) claimFor(ticket string) wire.Claim {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\x00%s\x00%d", k.Service, k.Name, k.CreatedAt.UnixNano()))
	return wire.Claim{
		Document: fmt.Sprintf("%s%012d-%d", ClaimsPrefix, k.CreatedAt.Truncate(documentSpan).Unix(), sum[0]%documentsPerSpan),
		Digest:   base64.RawURLEncoding.EncodeToString(sum[:digestSize]),
		Ticket:   ticket,
	}
}

// claimDocument is the value of a claim document in the store: tickets by the digest of their key.
type claimDocument map[string]string

// claimWriter writes claims to the store and batches those of the same document into one write.
type claimWriter struct {
	clock    *timer.Clock
	board    *board.State
	dialer   *wire.Dialer
	platform *store.Client
	scope    tally.Scope

	mu sync.Mutex
	// pending holds the claims for the next write of each document; an entry exists for as long as writeBatches runs for the document.
	pending map[string][]*pendingClaim
}

// pendingClaim is a claim that waits for the next write of its document.
type pendingClaim struct {
	claim wire.Claim
	done  chan wire.ClaimReply
}

func newClaimWriter(clock *timer.Clock, b *board.State, dialer *wire.Dialer, platform *store.Client, scope tally.Scope) *claimWriter {
	return &claimWriter{
		clock:    clock,
		board:    b,
		dialer:   dialer,
		platform: platform,
		scope:    scope,
		pending:  map[string][]*pendingClaim{},
	}
}

// claim claims a key through the data centre's writer of the key's document, or writes to the store itself if that host doesn't answer.
// Either is safe: the store's conditional write alone decides who was first.
func (c *claimWriter) claim(ctx context.Context, claim wire.Claim) wire.ClaimReply {
	writer := c.documentWriter(claim.Document)
	if writer.Name != c.board.Self.Name {
		ctx, cancel := c.clock.WithTimeout(ctx, claimTimeout)
		defer cancel()
		var result wire.ClaimReply
		if c.dialer.Call(ctx, writer.Peers, ServiceName+".Claim", claim, &result) == nil {
			return result
		}
	}
	return c.enqueue(claim)
}

// documentWriter returns the host of this data centre that batches the claims of a document, chosen by rendezvous hashing.
// This makes the store's writes grow with the number of data centres and not with the number of orders.
func (c *claimWriter) documentWriter(document string) wire.Member {
	writer, maxWeight := c.board.Self, xxhash.Sum64String(c.board.Self.Name+"\x00"+document)
	for _, m := range c.board.Membership.Load().Members {
		if m.Datacentre != c.board.Self.Datacentre || m.State != wire.Alive {
			continue
		}
		if weight := xxhash.Sum64String(m.Name + "\x00" + document); weight > maxWeight {
			writer, maxWeight = m, weight
		}
	}
	return writer
}

// enqueue adds a claim to the next write of its document and waits for the result.
func (c *claimWriter) enqueue(claim wire.Claim) wire.ClaimReply {
	p := &pendingClaim{claim: claim, done: make(chan wire.ClaimReply, 1)}
	c.mu.Lock()
	batch, active := c.pending[claim.Document]
	c.pending[claim.Document] = append(batch, p)
	c.mu.Unlock()
	if !active {
		go c.writeBatches(claim.Document)
	}
	return <-p.done
}

// writeBatches writes the pending claims of a document, one batch per claimWriteInterval, until none are left.
func (c *claimWriter) writeBatches(document string) {
	for {
		c.mu.Lock()
		batch := c.pending[document]
		if len(batch) == 0 {
			delete(c.pending, document)
			c.mu.Unlock()
			return
		}
		c.pending[document] = nil
		c.mu.Unlock()
		c.writeBatch(document, batch)
		<-c.clock.After(claimWriteInterval)
	}
}

// writeBatch adds a batch of claims to its document and gives each of them its result.
func (c *claimWriter) writeBatch(document string, batch []*pendingClaim) {
	ctx, cancel := c.clock.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	c.scope.Counter("claimbatches").Inc(1)
	c.scope.Counter("claims").Inc(int64(len(batch)))
	tickets, err := c.mergeBatch(ctx, document, batch)
	for _, p := range batch {
		if err != nil {
			p.done <- wire.ClaimReply{Fault: fault.New(fault.Store, "the key can't be claimed: %v", err)}
			continue
		}
		p.done <- wire.ClaimReply{Ticket: tickets[p.claim.Digest]}
	}
}

// mergeBatch adds a batch to a document by a conditional write and retries on conflicts; it returns the document with the tickets that hold the keys.
// If the reply to a write was lost, the next read shows whether the write took effect.
func (c *claimWriter) mergeBatch(ctx context.Context, key string, batch []*pendingClaim) (claimDocument, error) {
	var lastErr error
	for range maxClaimAttempts {
		document, revision, err := c.readDocument(ctx, key)
		if err != nil {
			return nil, err
		}
		if !document.addMissing(batch) {
			return document, nil
		}
		value, err := json.Marshal(document)
		if err != nil {
			return nil, err
		}
		if _, lastErr = c.platform.Put(ctx, key, store.Write{Value: value, Expect: revision}); lastErr == nil {
			return document, nil
		}
	}
	return nil, lastErr
}

// readDocument returns a claim document and its revision; a document that doesn't exist is empty and has revision zero.
func (c *claimWriter) readDocument(ctx context.Context, key string) (claimDocument, uint64, error) {
	document := claimDocument{}
	e, found, err := c.platform.Get(ctx, key)
	if err != nil || !found {
		return document, 0, err
	}
	return document, e.Revision, json.Unmarshal(e.Value, &document)
}

// addMissing adds the claims of keys that aren't in the document and reports whether there were any.
func (d claimDocument) addMissing(batch []*pendingClaim) bool {
	added := false
	for _, p := range batch {
		if _, taken := d[p.claim.Digest]; !taken {
			d[p.claim.Digest] = p.claim.Ticket
			added = true
		}
	}
	return added
}
