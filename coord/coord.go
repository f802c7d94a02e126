package coord

import (
	"cmp"
	"context"
	"errors"
	"maps"
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
	// priorLatency is the latency assumed for a coordinator without measurements.
	priorLatency = 80 * time.Millisecond
	// maxPeerLatency is the latency estimate from which another host isn't asked; if no host is below it, this host answers itself.
	maxPeerLatency = time.Second
)

// Dependencies holds the dependencies of a Coord.
type Dependencies struct {
	Self Member
	// AnswerLocally answers a request on this host.
	AnswerLocally func(context.Context, *relay.Request) *relay.Answer
	// Send forwards a request to another host.
	Send func(ctx context.Context, to Member, r *relay.Request, deadline time.Time) (*relay.Answer, error)
	// Ping sends another host a request that needs no work, with a short timeout.
	Ping func(ctx context.Context, to Member) error
	// Config returns the configuration in force, or nil before the first one.
	Config func() *route.Config
	// View returns the current roster of targets.
	View func() *roster.View
}

// Coord decides on which host a request is answered: this one or a coordinator.
type Coord struct {
	Dependencies
	clock      *timer.Clock
	log        *zap.Logger
	scope      tally.Scope
	members    *board.Observable[[]Member]
	estimators rank.Table
	rate       requestRate
	// coordinatorTransit estimates the network time to coordinators and back.
	coordinatorTransit transitEstimator
	// proxyTransit estimates the network time to shard proxies and back.
	proxyTransit transitEstimator
	// newestVersion is the newest configuration version that is in force here or that an answer came from.
	newestVersion atomic.Uint64
	// lowTraffic is set while this host's own request rate is low, so that it forwards its requests.
	lowTraffic atomic.Bool
	// failoverHosts holds the hosts that answer this host's requests while it has no way to the targets, nil or empty if it has.
	failoverHosts atomic.Pointer[[]Member]
	quota         *quota
}

// New returns a Coord that knows no other hosts yet.
func New(clock *timer.Clock, d Dependencies, log *zap.Logger, scope tally.Scope) *Coord {
	c := &Coord{
		Dependencies: d,
		clock:        clock,
		log:          log,
		scope:        scope,
		members:      board.NewObservable(&[]Member{}),
		quota:        newQuota(),
	}
	c.lowTraffic.Store(true)
	return c
}

// SetMembers replaces the list of known hosts.
func (c *Coord) SetMembers(all []Member) {
	c.members.Update(func(old *[]Member) *[]Member {
		if len(*old) != len(all) {
			c.log.Info("number of known hosts changed", zap.Int("hosts", len(all)))
			c.scope.Gauge("hosts").Update(float64(len(all)))
		}
		return &all
	})
}

// Members returns the known hosts.
func (c *Coord) Members() []Member {
	return *c.members.Load()
}

// LowTraffic reports whether this host's own request rate is low, so that it forwards its requests.
func (c *Coord) LowTraffic() bool {
	return c.lowTraffic.Load()
}

// ServesRequests reports whether this host answers requests: its own or those that others forward.
func (c *Coord) ServesRequests() bool {
	return !c.lowTraffic.Load() || c.servesOtherHosts()
}

// servesOtherHosts reports whether a grant that came with another host's request is still active.
func (c *Coord) servesOtherHosts() bool {
	return c.quota.hasReceived(c.clock.Now())
}

// PreferredCoordinators returns the other coordinators of the region in this host's order of preference, and whether this host is a coordinator that answers its own requests.
//
// A spare coordinator gets few requests while the others are up, so it forwards its own as well.
func (c *Coord) PreferredCoordinators() (others []Member, answersOwn bool) {
	view := c.View()
	targets := map[string]int{}
	for _, e := range view.Entries {
		targets[e.Datacentre]++
	}
	all := orderForHost(Coordinators(c.Members(), c.Self.Region, targets), c.Self.Name)
	for i, m := range all {
		if m.Name == c.Self.Name {
			answersOwn = i < len(all)-spareCoordinators
			continue
		}
		others = append(others, m)
	}
	return others, answersOwn
}

// maxFallbackPeers bounds the hosts that are asked at once for data that the store can't supply.
const maxFallbackPeers = 3

// FallbackPeers returns a few other hosts at random: at least one of this host's data centre where there is one, since a partition is least likely to separate it, and others from anywhere.
func (c *Coord) FallbackPeers() []Member {
	all := c.others()
	if local := slices.IndexFunc(all, func(m Member) bool { return m.Datacentre == c.Self.Datacentre }); local > 0 {
		all[0], all[local] = all[local], all[0]
	}
	return all[:min(len(all), maxFallbackPeers)]
}

// others returns the other known hosts in random order.
func (c *Coord) others() []Member {
	all := slices.DeleteFunc(slices.Clone(c.Members()), func(m Member) bool { return m.Name == c.Self.Name })
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

// CheckPeers returns up to n other hosts at random, of as many data centres as possible and those of other data centres first: what has cut this host off has least likely cut these off too.
func (c *Coord) CheckPeers(n int) []Member {
	all := c.others()
	taken := map[string]int{}
	rank := map[string]int{}
	for _, m := range all {
		rank[m.Name] = 2 * taken[m.Datacentre]
		if m.Datacentre == c.Self.Datacentre {
			rank[m.Name]++
		}
		taken[m.Datacentre]++
	}
	slices.SortStableFunc(all, func(a, b Member) int { return cmp.Compare(rank[a.Name], rank[b.Name]) })
	return all[:min(len(all), n)]
}

// Recipients returns up to n other hosts to be told of news that concern all: the coordinators of all regions, which answer most requests in a large cluster, and others at random.
func (c *Coord) Recipients(n int) []Member {
	all := c.others()
	if len(all) <= n {
		return all
	}
	coordinators := map[string]bool{}
	for _, region := range regionsOf(all) {
		for _, m := range Coordinators(all, region, nil) {
			coordinators[m.Name] = true
		}
	}
	slices.SortStableFunc(all, func(a, b Member) int {
		switch {
		case coordinators[a.Name] == coordinators[b.Name]:
			return 0
		case coordinators[a.Name]:
			return -1
		default:
			return 1
		}
	})
	return all[:n]
}

// regionsOf returns the regions of hosts.
func regionsOf(all []Member) []string {
	regions := map[string]bool{}
	for _, m := range all {
		regions[m.Region] = true
	}
	return slices.Sorted(maps.Keys(regions))
}

const (
	// neighboursInDatacentre is the number of neighbours in the host's own data centre.
	neighboursInDatacentre = 2
	// neighboursAnywhere is the number of neighbours in any data centre. They reach the hosts of a data centre that was down as a whole.
	neighboursAnywhere = 1
)

// Neighbours returns the hosts that follow this one on a hash ring of its data centre and of all hosts. All hosts compute the same ring, so each host is the neighbour of a few others.
func (c *Coord) Neighbours() []Member {
	position := func(m Member) uint64 { return xxhash.Sum64String(m.Name) }
	all := slices.DeleteFunc(slices.Clone(c.Members()), func(m Member) bool { return m.Name == c.Self.Name })
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(position(a)-position(c.Self), position(b)-position(c.Self)) })
	var next []Member
	localCount := 0
	for i, m := range all {
		local := m.Datacentre == c.Self.Datacentre && localCount < neighboursInDatacentre
		if local {
			localCount++
		}
		if local || i < neighboursAnywhere {
			next = append(next, m)
		}
	}
	return next
}

// ownShare returns this host's equal share of the limits over all hosts, before grants.
func (c *Coord) ownShare() float64 {
	hosts := len(c.Members())
	if hosts == 0 {
		hosts = assumedHosts
	}
	return distributedShare / float64(hosts)
}

// LimitShare returns the share of the limits over all hosts that this host may use: its own and what others granted to it, less what it granted to others.
func (c *Coord) LimitShare() float64 {
	return c.quota.usable(c.ownShare(), c.clock.Now())
}

// SlotShare returns the share of the targets' slots that this host may fill: its own and what others granted to it. Grants to others aren't deducted, since the hosts together may exceed the number of slots.
func (c *Coord) SlotShare() float64 {
	return c.quota.withReceived(c.ownShare(), c.clock.Now())
}

// Handle answers a caller's request here or forwards it to a coordinator.
func (c *Coord) Handle(ctx context.Context, r *relay.Request) *relay.Answer {
	now := c.clock.Now()
	low, sparse := c.rate.record(now)
	c.lowTraffic.Store(low)
	if a := c.failOver(ctx, r, now); a != nil {
		return a
	}
	if low {
		if others, answersOwn := c.PreferredCoordinators(); !answersOwn {
			if a := c.forward(ctx, r, others, sparse, now); a != nil {
				return a
			}
		}
	}
	return c.failOverAfter(ctx, r, c.Answer(ctx, r), now)
}

// Answer answers a request on this host and records the grant that comes with a request from another host.
func (c *Coord) Answer(ctx context.Context, r *relay.Request) *relay.Answer {
	if r.Origin != "" {
		if c.FailingOver() {
			return declineWithoutPath()
		}
		c.quota.receive(r.Origin, r.LimitsShare, r.LimitsShareTTL, r.Shards != nil, c.clock.Now())
	}
	minVersion := max(r.MinVersion, c.newestVersion.Load())
	if config := c.Config(); config != nil && config.Version < minVersion {
		// Once a request has been answered by a newer configuration, none may be answered by an older one.
		return &relay.Answer{Fault: fault.New(fault.Starting, "version %d is in force here, a request was answered by %d", config.Version, minVersion).WithRetry(100 * time.Millisecond)}
	}
	a := c.AnswerLocally(ctx, r)
	// The other host may use all attempts itself only if none was used here.
	a.Declined = a.Declined || (a.PathLost && r.Origin != "" && a.AttemptsUsed == 0)
	return a
}

// forward sends a request to the best coordinator. It returns nil where this host is to answer the request itself, within what is left of r.TimeLeft.
func (c *Coord) forward(ctx context.Context, r *relay.Request, others []Member, sparse bool, now time.Time) *relay.Answer {
	to, found := c.bestCoordinator(r, others, now)
	if !found {
		return nil
	}
	return c.forwardTo(ctx, r, to, sparse, now)
}

// forwardTo is forward to a given host.
func (c *Coord) forwardTo(ctx context.Context, r *relay.Request, to Member, sparse bool, now time.Time) *relay.Answer {
	timeout := c.forwardTimeout(r)
	if timeout <= 0 {
		return nil
	}
	forwarded := c.forwardedCopy(r, to, sparse, now)
	k := c.estimatorOf(to)
	f := k.Begin(now)
	a, err := c.sendWithPings(ctx, to, &forwarded, now.Add(timeout))
	switch {
	case err == nil && a.Declined:
		k.End(f, c.clock.Now(), rank.Unreachable)
		c.scope.Counter("aside").Inc(1)
		c.log.Info("coordinator declined the request", zap.String("request", r.ID), zap.String("coordinator", to.Name), zap.Uint64("least", forwarded.MinVersion))
		r.TimeLeft = max(timeout-c.clock.Since(now), time.Millisecond)
		return nil
	case err == nil:
		k.End(f, c.clock.Now(), rank.Answered)
		c.raiseVersion(a.Version)
		c.coordinatorTransit.record(c.clock.Since(now) - a.Took)
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
		c.log.Info("request forwarded", fields...)
		return a
	}
	k.End(f, c.clock.Now(), rank.Unreachable)
	if ctx.Err() != nil {
		return &relay.Answer{Fault: fault.New(fault.TooLate, "the caller has left")}
	}
	c.scope.Counter("lost").Inc(1)
	c.log.Info("coordinator did not answer", zap.String("request", r.ID), zap.String("coordinator", to.Name), zap.Error(err))
	var callErr *pool.Error
	isPoolErr := errors.As(err, &callErr)
	switch {
	case isPoolErr && !callErr.Sent:
		// Nothing was sent: this host answers within the rest of the caller's time.
		r.TimeLeft = max(timeout-c.clock.Since(now), time.Millisecond)
		return nil
	case isPoolErr && callErr.Late:
		f := fault.New(fault.TooLate, "coordinator %s gave no answer in time", to.Name)
		f.Ran = true
		return &relay.Answer{Fault: f}
	case c.idempotent(r):
		// The coordinator may have used up all attempts that the route allows, so this host must not send the request to further targets; the caller may retry.
		return &relay.Answer{Fault: fault.New(fault.Failed, "coordinator %s gave no answer", to.Name)}
	}
	return &relay.Answer{Fault: fault.New(fault.Unknown, "coordinator %s gave no answer", to.Name)}
}

// forwardedCopy returns the request as it is sent to a coordinator, with a grant of a share of the limits.
func (c *Coord) forwardedCopy(r *relay.Request, to Member, sparse bool, now time.Time) relay.Request {
	if config := c.Config(); config != nil {
		// A coordinator with an older configuration than this host's must not answer.
		c.raiseVersion(config.Version)
	}
	forwarded := *r
	forwarded.Origin, forwarded.MinVersion, forwarded.TransitTime = c.Self.Name, c.newestVersion.Load(), c.coordinatorTransit.reserve()
	forwarded.LimitsShareTTL = shortGrantTime
	if sparse {
		forwarded.LimitsShareTTL = grantTime
	}
	forwarded.LimitsShare = c.quota.grantToCoordinator(to.Name, c.ownShare(), forwarded.LimitsShareTTL, now)
	return forwarded
}

// errUnresponsive is returned if no host that could be asked is reachable or the asked host doesn't answer a ping.
var errUnresponsive = errors.New("other host is unreachable")

// sendWithPings sends a request to another host. If the request is idempotent and the answer is overdue, it pings the host and gives up once a ping fails.
func (c *Coord) sendWithPings(ctx context.Context, to Member, r *relay.Request, deadline time.Time) (*relay.Answer, error) {
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
	if m := c.matchRoute(r); m != nil && m.Idempotent {
		overdue = c.clock.After(time.Duration(pingAfterFraction * float64(m.Aim)))
	}
	for {
		select {
		case o := <-done:
			return o.answer, o.err
		case <-overdue:
			if err := c.Ping(ctx, to); err != nil {
				return nil, errUnresponsive
			}
			overdue = c.clock.After(pingPeriod)
		}
	}
}

// raiseVersion sets the newest known configuration version to version unless it is already as new.
func (c *Coord) raiseVersion(version uint64) {
	for {
		old := c.newestVersion.Load()
		if version <= old || c.newestVersion.CompareAndSwap(old, version) {
			return
		}
	}
}

// estimatorOf returns the latency estimator of another host.
func (c *Coord) estimatorOf(m Member) *rank.Estimator {
	return c.estimators.Estimator(m.Name, time.Time{}, priorLatency)
}

// bestCoordinator returns the first coordinator in order of preference whose latency estimate is acceptable. It finds none where the route may not be served in this region: such requests aren't forwarded.
func (c *Coord) bestCoordinator(r *relay.Request, others []Member, now time.Time) (Member, bool) {
	if m := c.matchRoute(r); m != nil && !m.Allows(c.Self.Region) {
		return Member{}, false
	}
	for _, m := range others {
		// With 1000 slots, requests in flight hardly raise the estimate.
		if c.estimatorOf(m).Estimate(now, 1000) < maxPeerLatency {
			return m, true
		}
	}
	return Member{}, false
}

// matchRoute returns the route of a request, or nil where none matches or no configuration is in force.
func (c *Coord) matchRoute(r *relay.Request) *route.Route {
	if config := c.Config(); config != nil {
		return config.Match(r.Host, r.Path)
	}
	return nil
}

// idempotent reports whether a request's route is known to be idempotent.
func (c *Coord) idempotent(r *relay.Request) bool {
	m := c.matchRoute(r)
	return m != nil && m.Idempotent
}

const (
	// pingAfterFraction is the fraction of the latency objective after which a coordinator that hasn't answered is pinged.
	pingAfterFraction = 0.8
	// pingPeriod is the time between later pings.
	pingPeriod = 500 * time.Millisecond
)

// defaultTimeout is the time that a request without a deadline gets where its route isn't known.
const defaultTimeout = 5 * time.Second

// forwardTimeout returns how long a coordinator may take to answer.
func (c *Coord) forwardTimeout(r *relay.Request) time.Duration {
	left := r.TimeLeft
	if left <= 0 {
		left = defaultTimeout
	}
	if m := c.matchRoute(r); m != nil {
		left = min(left, m.Timeout)
	}
	return left
}
