package coord

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/board"
	"kingcupcross/fault"
	"kingcupcross/logs"
	"kingcupcross/pool"
	"kingcupcross/rank"
	"kingcupcross/relay"
	"kingcupcross/roster"
	"kingcupcross/route"
	"kingcupcross/timer"
)

const (
	// priorLatency is expected of a coordinator that nothing is known of.
	priorLatency = 80 * time.Millisecond
	// avoid is the estimate from which a host serves a request itself.
	avoid = time.Second
)

// Parts are what a coordinator is made of.
type Parts struct {
	Self Member
	// Local answers a request at this host.
	Local func(context.Context, *relay.Request) *relay.Answer
	// Send carries a request to another host.
	Send func(ctx context.Context, to Member, r *relay.Request, deadline time.Time) (*relay.Answer, error)
	// Ping asks another host for an answer that needs no work, with a short timeout.
	Ping func(ctx context.Context, to Member) error
	// Config is the configuration in force, nil before the first.
	Config func() *route.Config
	// View is the roster of targets.
	View func() *roster.View
}

// Coord decides where a request is answered.
type Coord struct {
	Parts
	clock   *timer.Service
	log     *zap.Logger
	scope   tally.Scope
	members *board.Cell[[]Member]
	ranks   rank.Table
	rate    rate
	way     way
	// helperWay is the way to the hosts that answer for other data centres.
	helperWay way
	// version is the newest configuration that an answer of this host came from.
	version atomic.Uint64
	// few says that this host had few requests lately.
	few   atomic.Bool
	loans *loans
}

// New returns a Coord that knows no other hosts yet.
func New(clock *timer.Service, p Parts, log *zap.Logger, scope tally.Scope) *Coord {
	c := &Coord{
		Parts:   p,
		clock:   clock,
		log:     log,
		scope:   scope,
		members: board.NewCell(&[]Member{}),
		loans:   newLoans(),
	}
	c.few.Store(true)
	return c
}

// SetMembers replaces the hosts that are known.
func (c *Coord) SetMembers(all []Member) {
	c.members.Update(func(old *[]Member) *[]Member {
		if len(*old) != len(all) {
			c.log.Info("hosts are known", zap.Int("hosts", len(all)))
			c.scope.Gauge("hosts").Update(float64(len(all)))
		}
		return &all
	})
}

// Members returns the hosts that are known.
func (c *Coord) Members() []Member {
	return *c.members.Load()
}

// Few reports whether this host had few requests lately, so that it sends them on.
func (c *Coord) Few() bool {
	return c.few.Load()
}

// Busy reports whether this host answers requests itself, its own or those of others.
func (c *Coord) Busy() bool {
	return !c.few.Load() || c.answersForOthers()
}

// answersForOthers reports whether another host sent requests here lately.
func (c *Coord) answersForOthers() bool {
	return c.loans.busy(c.clock.Now())
}

// Chosen returns the other coordinators of the region in this host's own order, and whether this host answers its own requests as one of them.
//
// A spare has few requests while the others live and so sends its own on as well.
func (c *Coord) Chosen() (others []Member, self bool) {
	view := c.View()
	targets := map[string]int{}
	for _, e := range view.Entries {
		targets[e.Datacentre]++
	}
	all := order(Coordinators(c.Members(), c.Self.Region, targets), c.Self.Name)
	for i, m := range all {
		if m.Name == c.Self.Name {
			self = i < len(all)-spares
			continue
		}
		others = append(others, m)
	}
	return others, self
}

// mostSpares bounds the hosts that are asked at once for what the store can't tell.
const mostSpares = 3

// Spares returns some other hosts, at random: one of the own data centre, which a cut is least likely to keep away, and others of anywhere.
func (c *Coord) Spares() []Member {
	all := slices.DeleteFunc(slices.Clone(c.Members()), func(m Member) bool { return m.Name == c.Self.Name })
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	if near := slices.IndexFunc(all, func(m Member) bool { return m.Datacentre == c.Self.Datacentre }); near > 0 {
		all[0], all[near] = all[near], all[0]
	}
	return all[:min(len(all), mostSpares)]
}

const (
	// greetedNear is the number of hosts of the own data centre that a host greets.
	greetedNear = 2
	// greetedAll is the number of hosts of any data centre that it greets besides: they look after a data centre that was down as a whole.
	greetedAll = 1
)

// Neighbours returns the hosts that follow this one in its data centre and among all, in an order that all hosts agree on, so that each host has a few that look after it.
func (c *Coord) Neighbours() []Member {
	weight := func(m Member) uint64 { return xxhash.Sum64String(m.Name) }
	all := slices.DeleteFunc(slices.Clone(c.Members()), func(m Member) bool { return m.Name == c.Self.Name })
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(weight(a)-weight(c.Self), weight(b)-weight(c.Self)) })
	var next []Member
	near := 0
	for i, m := range all {
		own := m.Datacentre == c.Self.Datacentre && near < greetedNear
		if own {
			near++
		}
		if own || i < greetedAll {
			next = append(next, m)
		}
	}
	return next
}

// own returns this host's part of the limits over all hosts.
func (c *Coord) own() float64 {
	hosts := len(c.Members())
	if hosts == 0 {
		hosts = unknownHosts
	}
	return shareOfAll / float64(hosts)
}

// Share returns the part of the limits over all hosts that this host may use: its own and those that others leave to it, without what it leaves to others.
func (c *Coord) Share() float64 {
	return c.loans.held(c.own(), c.clock.Now())
}

// Room returns the part of the targets' slots that this host may fill: its own and those that others leave to it. All hosts together needn't keep to the slots, so what is lent still counts here.
func (c *Coord) Room() float64 {
	return c.loans.reach(c.own(), c.clock.Now())
}

// Handle answers a caller's request here or at a coordinator.
func (c *Coord) Handle(ctx context.Context, r *relay.Request) *relay.Answer {
	now := c.clock.Now()
	low, rare := c.rate.note(now)
	c.few.Store(low)
	if low {
		if others, self := c.Chosen(); !self {
			if a := c.forward(ctx, r, others, rare, now); a != nil {
				return a
			}
		}
	}
	return c.Answer(ctx, r)
}

// Answer answers a request at this host, also one that another host sent on.
func (c *Coord) Answer(ctx context.Context, r *relay.Request) *relay.Answer {
	if r.Origin != "" {
		c.loans.take(r.Origin, r.Share, r.ShareFor, r.Shards != nil, c.clock.Now())
	}
	least := max(r.Least, c.version.Load())
	if config := c.Config(); config != nil && config.Version < least {
		// An older configuration must not decide after a newer one has.
		return &relay.Answer{Fault: fault.New(fault.Starting, "version %d is in force here, a request was answered by %d", config.Version, least).After(100 * time.Millisecond)}
	}
	return c.Local(ctx, r)
}

// forward sends a request to the best coordinator; it returns nil where this host is to answer itself.
func (c *Coord) forward(ctx context.Context, r *relay.Request, others []Member, rare bool, now time.Time) *relay.Answer {
	to, found := c.best(r, others, now)
	if !found {
		return nil
	}
	left := c.allowed(r)
	if left <= 0 {
		return nil
	}
	sent := c.sentOn(r, to, rare, now)
	k := c.rank(to)
	f := k.Begin(now)
	a, err := c.exchange(ctx, to, &sent, now.Add(left))
	switch {
	case err == nil && a.Aside:
		k.End(f, c.clock.Now(), rank.Dead)
		c.scope.Counter("aside").Inc(1)
		c.log.Info("coordinator stood aside", zap.String("request", r.ID), zap.String("coordinator", to.Name), zap.Uint64("least", sent.Least))
		return nil
	case err == nil:
		k.End(f, c.clock.Now(), rank.Answered)
		c.advance(a.Version)
		c.way.learn(c.clock.Since(now) - a.Took)
		c.scope.Counter("forwarded").Inc(1)
		fields := []zap.Field{
			zap.String("request", r.ID),
			zap.String("coordinator", to.Name),
			zap.Int("status", a.Status),
			zap.Int64("ms", c.clock.Since(now).Milliseconds()),
			zap.Int64("there_ms", a.Took.Milliseconds()),
			zap.Uint64("config", a.Version),
		}
		if a.Status < 300 {
			fields = append(fields, logs.Routine())
		}
		c.log.Info("request was sent on", fields...)
		return a
	}
	k.End(f, c.clock.Now(), rank.Dead)
	if ctx.Err() != nil {
		return &relay.Answer{Fault: fault.New(fault.TooLate, "the caller has left")}
	}
	c.scope.Counter("lost").Inc(1)
	c.log.Info("coordinator gave no answer", zap.String("request", r.ID), zap.String("coordinator", to.Name), zap.Error(err))
	var lost *pool.Error
	known := errors.As(err, &lost)
	switch {
	case known && !lost.Sent:
		// What is left of the caller's time is this host's own.
		r.Left = max(left-c.clock.Since(now), time.Millisecond)
		return nil
	case known && lost.Late:
		f := fault.New(fault.TooLate, "coordinator %s gave no answer in time", to.Name)
		f.Ran = true
		return &relay.Answer{Fault: f}
	case c.idempotent(r):
		// The coordinator may have sent it to as many targets as it may be sent to: only a new attempt of the caller may go further.
		return &relay.Answer{Fault: fault.New(fault.Failed, "coordinator %s gave no answer", to.Name)}
	}
	return &relay.Answer{Fault: fault.New(fault.Unknown, "coordinator %s gave no answer", to.Name)}
}

// sentOn returns a request as it is sent to a coordinator.
func (c *Coord) sentOn(r *relay.Request, to Member, rare bool, now time.Time) relay.Request {
	if config := c.Config(); config != nil {
		// A coordinator that is behind must not answer by less than this host knows.
		c.advance(config.Version)
	}
	sent := *r
	sent.Origin, sent.Least, sent.Reserve = c.Self.Name, c.version.Load(), c.way.reserve()
	sent.ShareFor = briefly
	if rare {
		sent.ShareFor = delegated
	}
	sent.Share = c.loans.lend(to.Name, c.own(), sent.ShareFor, now)
	return sent
}

// errSilent says that a coordinator doesn't answer a question that needs no work.
var errSilent = errors.New("the coordinator is silent")

// exchange sends a request on; where the answer is overdue and the request may be repeated, a coordinator that is silent is given up on.
func (c *Coord) exchange(ctx context.Context, to Member, r *relay.Request, deadline time.Time) (*relay.Answer, error) {
	type outcome struct {
		answer *relay.Answer
		err    error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan outcome, 1)
	go func() {
		a, err := c.Send(ctx, to, r, deadline)
		done <- outcome{answer: a, err: err}
	}()
	overdue := make(<-chan time.Time)
	if m := c.match(r); m != nil && m.Idempotent {
		overdue = c.clock.After(time.Duration(patience * float64(m.Aim)))
	}
	for {
		select {
		case o := <-done:
			return o.answer, o.err
		case <-overdue:
			if err := c.Ping(ctx, to); err != nil {
				return nil, errSilent
			}
			overdue = c.clock.After(pingPeriod)
		}
	}
}

// advance notes the configuration that an answer came from.
func (c *Coord) advance(version uint64) {
	for {
		old := c.version.Load()
		if version <= old || c.version.CompareAndSwap(old, version) {
			return
		}
	}
}

// rank returns what is known of another host.
func (c *Coord) rank(m Member) *rank.Rank {
	return c.ranks.Of(m.Name, time.Time{}, priorLatency)
}

// best returns the coordinator that is expected to answer first of those that may see the request.
func (c *Coord) best(r *relay.Request, others []Member, now time.Time) (Member, bool) {
	if m := c.match(r); m != nil && !m.Allows(c.Self.Region) {
		return Member{}, false
	}
	for _, m := range others {
		if c.rank(m).Estimate(now, 1000) < avoid {
			return m, true
		}
	}
	return Member{}, false
}

func (c *Coord) match(r *relay.Request) *route.Route {
	if config := c.Config(); config != nil {
		return config.Match(r.Host, r.Path)
	}
	return nil
}

func (c *Coord) idempotent(r *relay.Request) bool {
	m := c.match(r)
	return m != nil && m.Idempotent
}

const (
	// patience is the part of the latency objective after which a coordinator without an answer is asked whether it lives.
	patience = 0.8
	// pingPeriod is the time between two such questions.
	pingPeriod = 500 * time.Millisecond
)

// unknownLeft is the time for a request without a deadline on a route that isn't known here.
const unknownLeft = 5 * time.Second

// allowed returns how long a coordinator may take.
func (c *Coord) allowed(r *relay.Request) time.Duration {
	left := r.Left
	if left <= 0 {
		left = unknownLeft
	}
	if m := c.match(r); m != nil {
		left = min(left, m.Timeout)
	}
	return left
}
