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
	// Claims is the prefix of the documents in the store that hold the claims of callers' keys.
	Claims = "claims/"
	// KeyLife is the time after its making in which a caller's key is accepted; claims are deleted after twice that time.
	KeyLife = 24 * time.Hour
	// keyAhead is how far a caller's clock may be ahead.
	keyAhead = time.Hour
	// bucket is the span of keys' making times that share a document, documents the number of documents for one span.
	bucket    = 10 * time.Second
	documents = 4
	// claimWindow is the least time between two writes of one host to the same document.
	claimWindow = 100 * time.Millisecond
	// claimTries bounds the writes that are tried where other writers come first.
	claimTries = 8
	// claimTimeout bounds a claim.
	claimTimeout = 3 * time.Second
	digestSize   = 16
)

// Key is a caller's own name for an order.
type Key struct {
	Service string
	Name    string
	// Since is when the caller made the key; it is part of the name.
	Since time.Time
	// Repeated says that the caller has sent the key before, so that only its holder can know that nothing ran.
	Repeated bool
}

// check refuses keys whose claims may have been deleted.
func (k Key) check(now time.Time) *fault.Error {
	switch {
	case k.Since.Before(now.Add(-KeyLife)):
		return fault.New(fault.Unknown, "the key is older than %s: its record is gone", KeyLife)
	case k.Since.After(now.Add(keyAhead)):
		return fault.New(fault.Invalid, "the key's time lies ahead: %s", k.Since)
	default:
		return nil
	}
}

// claim returns the claim of the key for a ticket.
func (k Key) claim(ticket string) wire.Claim {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\x00%s\x00%d", k.Service, k.Name, k.Since.UnixNano()))
	return wire.Claim{
		Document: fmt.Sprintf("%s%012d-%d", Claims, k.Since.Truncate(bucket).Unix(), sum[0]%documents),
		Digest:   base64.RawURLEncoding.EncodeToString(sum[:digestSize]),
		Ticket:   ticket,
	}
}

// document is the value of a document: the ticket by the key's digest.
type document map[string]string

// claims writes claims to the store, those of one document together.
type claims struct {
	clock    *timer.Service
	board    *board.Board
	dialer   *wire.Dialer
	platform *store.Client
	scope    tally.Scope

	mu      sync.Mutex
	pending map[string][]*waiting
}

// waiting is a claim that waits for its document's next write.
type waiting struct {
	claim wire.Claim
	done  chan wire.ClaimReply
}

func newClaims(clock *timer.Service, b *board.Board, dialer *wire.Dialer, platform *store.Client, scope tally.Scope) *claims {
	return &claims{
		clock:    clock,
		board:    b,
		dialer:   dialer,
		platform: platform,
		scope:    scope,
		pending:  map[string][]*waiting{},
	}
}

// take claims a key through the data centre's claimer of its document, or directly where the claimer gives no answer: the store's condition alone decides who was first.
func (c *claims) take(ctx context.Context, claim wire.Claim) wire.ClaimReply {
	m := c.claimer(claim.Document)
	if m.Name != c.board.Self.Name {
		ctx, cancel := c.clock.WithTimeout(ctx, claimTimeout)
		defer cancel()
		var r wire.ClaimReply
		if c.dialer.Call(ctx, m.Peers, Remote+".Claim", claim, &r) == nil {
			return r
		}
	}
	return c.write(claim)
}

// claimer returns the host of this data centre that gathers the claims of a document, so that the store's writes grow with data centres and not with orders.
func (c *claims) claimer(document string) wire.Member {
	best, weight := c.board.Self, xxhash.Sum64String(c.board.Self.Name+"\x00"+document)
	for _, m := range c.board.View.Load().Members {
		if m.Datacentre != c.board.Self.Datacentre || m.State != wire.Alive {
			continue
		}
		if w := xxhash.Sum64String(m.Name + "\x00" + document); w > weight {
			best, weight = m, w
		}
	}
	return best
}

// write joins the document's next write and waits for it.
func (c *claims) write(claim wire.Claim) wire.ClaimReply {
	w := &waiting{claim: claim, done: make(chan wire.ClaimReply, 1)}
	c.mu.Lock()
	batch, busy := c.pending[claim.Document]
	c.pending[claim.Document] = append(batch, w)
	c.mu.Unlock()
	if !busy {
		go c.drain(claim.Document)
	}
	return <-w.done
}

// drain writes one batch a window for as long as claims come.
func (c *claims) drain(name string) {
	for {
		c.mu.Lock()
		batch := c.pending[name]
		if len(batch) == 0 {
			delete(c.pending, name)
			c.mu.Unlock()
			return
		}
		c.pending[name] = nil
		c.mu.Unlock()
		c.commit(name, batch)
		<-c.clock.After(claimWindow)
	}
}

// commit adds a batch to its document.
func (c *claims) commit(name string, batch []*waiting) {
	ctx, cancel := c.clock.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	c.scope.Counter("claimbatches").Inc(1)
	c.scope.Counter("claims").Inc(int64(len(batch)))
	held, err := c.merge(ctx, name, batch)
	for _, w := range batch {
		if err != nil {
			w.done <- wire.ClaimReply{Fault: fault.New(fault.Store, "the key can't be claimed: %v", err)}
			continue
		}
		w.done <- wire.ClaimReply{Ticket: held[w.claim.Digest]}
	}
}

// merge reads the document and writes it with the batch's new claims until a write takes effect; a write whose reply was lost is settled by reading the document again.
func (c *claims) merge(ctx context.Context, name string, batch []*waiting) (document, error) {
	var last error
	for range claimTries {
		held, revision, err := c.read(ctx, name)
		if err != nil {
			return nil, err
		}
		if !held.add(batch) {
			return held, nil
		}
		value, err := json.Marshal(held)
		if err != nil {
			return nil, err
		}
		if _, last = c.platform.Put(ctx, name, store.Write{Value: value, Expect: revision}); last == nil {
			return held, nil
		}
	}
	return nil, last
}

func (c *claims) read(ctx context.Context, name string) (document, uint64, error) {
	held := document{}
	e, found, err := c.platform.Get(ctx, name)
	if err != nil || !found {
		return held, 0, err
	}
	return held, e.Revision, json.Unmarshal(e.Value, &held)
}

// add adds the claims whose keys nobody holds and reports whether there were any.
func (d document) add(batch []*waiting) bool {
	added := false
	for _, w := range batch {
		if _, taken := d[w.claim.Digest]; !taken {
			d[w.claim.Digest] = w.claim.Ticket
			added = true
		}
	}
	return added
}
