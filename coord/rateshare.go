package coord

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/relay"
	"kingcupcross/roster"
	"kingcupcross/timer"
)

const (
	// RateSharePeriod is the interval at which a host renews its shares of rate limits.
	RateSharePeriod = 500 * time.Millisecond
	// rateLeaseTime is how long a share is valid: two renewals may be lost.
	rateLeaseTime = 3 * RateSharePeriod
	// maxRateOwners is the number of hosts that are asked for shares, one after the other, until one answers.
	maxRateOwners = 3
)

// RateServiceName is the name under which the calls for shares of rate limits are registered.
const RateServiceName = "Rates"

// RateShareRequest asks for a host's shares of the rate limits of targets.
type RateShareRequest struct {
	Host string
	// Rank is the number of hosts before the receiving one in the order of owners that did not answer.
	Rank int
	// LimitsShare is the share of all limits over all hosts that the host may use without asking.
	LimitsShare float64
	Demands     []relay.RateDemand
}

// Validate reports the first invalid field.
func (r *RateShareRequest) Validate() error {
	switch {
	case r.Host == "":
		return errors.New("request for shares of rate limits names no host")
	case r.Rank < 0 || r.Rank >= maxRateOwners:
		return fmt.Errorf("request of host %s for shares of rate limits has rank %d", r.Host, r.Rank)
	case !(r.LimitsShare >= 0 && r.LimitsShare <= 1):
		return fmt.Errorf("request of host %s for shares of rate limits has limits share %g", r.Host, r.LimitsShare)
	}
	for _, d := range r.Demands {
		if err := d.Limit.Validate(); err != nil {
			return fmt.Errorf("request of host %s: %w", r.Host, err)
		}
		if !(d.PerSecond >= 0) || math.IsInf(d.PerSecond, 0) {
			return fmt.Errorf("request of host %s: demand for target %s is %g/s", r.Host, d.Limit.ID, d.PerSecond)
		}
	}
	return nil
}

// RateShareReply holds the shares that a host may use until rateLeaseTime has passed, and the limits as the owner knows them.
type RateShareReply struct {
	Shares []RateShare
}

// Validate reports the first invalid field.
func (r *RateShareReply) Validate() error {
	for _, s := range r.Shares {
		if err := s.Limit.Validate(); err != nil {
			return fmt.Errorf("reply with shares of rate limits: %w", err)
		}
		if !(s.Share >= 0 && s.Share <= 1) {
			return fmt.Errorf("reply with shares of rate limits: the share of target %s is %g", s.Limit.ID, s.Share)
		}
	}
	return nil
}

// RateShare is a host's share of one target's rate limit.
type RateShare struct {
	Limit roster.RateLimit
	// Share is a fraction of the limit. It is valid only if Granted is set.
	Share   float64
	Granted bool
}

// RateShares leases shares of the rate limits that targets state for all hosts together.
//
// One host for each region of targets, the owner, divides these limits among the hosts by their demand. A host without a lease uses its equal share of the limits over all hosts.
type RateShares struct {
	clock   *timer.Clock
	self    string
	members func() []Member
	// limitsShare returns this host's share of the limits over all hosts.
	limitsShare func() float64
	// call asks another host for shares.
	call   func(context.Context, Member, RateShareRequest) (RateShareReply, error)
	learn  func([]roster.RateLimit)
	log    *zap.Logger
	scope  tally.Scope
	grants rateGrants

	mu     sync.Mutex
	leases map[rateKey]rateLease
}

// rateKey identifies one process of a target.
type rateKey struct {
	id   string
	born int64
}

// keyOf returns the key of a target's process.
func keyOf(target string, born time.Time) rateKey {
	return rateKey{id: target, born: born.UnixNano()}
}

// rateLease is a share that this host may use until a time.
type rateLease struct {
	share float64
	until time.Time
}

// NewRateShares returns a RateShares without leases. It reads the known hosts and this host's share of all limits from c, asks other hosts with call, and passes the limits that they report to learn.
func NewRateShares(clock *timer.Clock, c *Coord, call func(context.Context, Member, RateShareRequest) (RateShareReply, error), learn func([]roster.RateLimit), log *zap.Logger, scope tally.Scope) *RateShares {
	return &RateShares{
		clock:       clock,
		self:        c.Self.Name,
		members:     c.Members,
		limitsShare: c.LimitShare,
		call:        call,
		learn:       learn,
		log:         log,
		scope:       scope,
		grants:      rateGrants{targets: map[rateKey]*rateGrant{}},
		leases:      map[rateKey]rateLease{},
	}
}

// Share returns the share of a target's rate limit that this host may use.
func (s *RateShares) Share(target string, born time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l, found := s.leases[keyOf(target, born)]; found && s.clock.Now().Before(l.until) {
		return l.share
	}
	return s.limitsShare()
}

// Renew asks the owners of the demanded targets for shares and returns once all of them have answered or failed.
func (s *RateShares) Renew(ctx context.Context, demands []relay.RateDemand) {
	byRegion := map[string][]relay.RateDemand{}
	for _, d := range demands {
		byRegion[d.Region] = append(byRegion[d.Region], d)
	}
	var calls sync.WaitGroup
	for region, some := range byRegion {
		calls.Go(func() { s.renewRegion(ctx, region, some) })
	}
	calls.Wait()
	s.dropExpired()
}

// renewRegion asks the first reachable owner of a region's targets for shares.
func (s *RateShares) renewRegion(ctx context.Context, region string, demands []relay.RateDemand) {
	sentAt := s.clock.Now()
	request := RateShareRequest{
		Host:        s.self,
		LimitsShare: s.limitsShare(),
		Demands:     demands,
	}
	for rank, m := range rateOwners(s.members(), region) {
		request.Rank = rank
		reply, err := s.ask(ctx, m, request)
		if err == nil {
			err = reply.Validate()
		}
		if err == nil {
			s.apply(reply, sentAt)
			return
		}
		s.scope.Counter("rate_share_failures").Inc(1)
		s.log.Debug("no shares of rate limits from another host", zap.String("owner", m.Name), zap.Error(err))
	}
}

// ask asks a host, which may be this one, for shares.
func (s *RateShares) ask(ctx context.Context, m Member, r RateShareRequest) (RateShareReply, error) {
	if m.Name != s.self {
		return s.call(ctx, m, r)
	}
	var reply RateShareReply
	err := s.grant(r, &reply)
	return reply, err
}

// apply stores the leases and limits of a reply to a request that was sent at sentAt.
func (s *RateShares) apply(reply RateShareReply, sentAt time.Time) {
	var limits []roster.RateLimit
	s.mu.Lock()
	for _, share := range reply.Shares {
		limits = append(limits, share.Limit)
		if share.Granted {
			s.leases[keyOf(share.Limit.ID, share.Limit.Born)] = rateLease{share: share.Share, until: sentAt.Add(rateLeaseTime)}
		}
	}
	s.mu.Unlock()
	s.learn(limits)
}

// dropExpired deletes the leases that have expired.
func (s *RateShares) dropExpired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	maps.DeleteFunc(s.leases, func(_ rateKey, l rateLease) bool { return !now.Before(l.until) })
	s.scope.Gauge("rate_leases").Update(float64(len(s.leases)))
}

// RateService serves the calls of other hosts for shares of rate limits.
type RateService struct {
	shares *RateShares
}

// NewRateService returns a service that grants shares from s.
func NewRateService(s *RateShares) *RateService {
	return &RateService{shares: s}
}

// Lease is the call with which a host asks for shares. The error names an invalid field of the request.
func (v *RateService) Lease(r RateShareRequest, reply *RateShareReply) error {
	return v.shares.grant(r, reply)
}

// grant checks a request and grants the shares.
func (s *RateShares) grant(r RateShareRequest, reply *RateShareReply) error {
	if err := r.Validate(); err != nil {
		return err
	}
	reply.Shares = s.grants.handle(r, s.clock.Now())
	return nil
}

// compareNames orders hosts by name.
func compareNames(a, b Member) int { return strings.Compare(a.Name, b.Name) }

// rateOwners returns the hosts that divide the rate limits of a region's targets, in the order in which they are asked. All hosts that know the same members agree on it.
func rateOwners(all []Member, region string) []Member {
	if !slices.ContainsFunc(all, func(m Member) bool { return m.Region == region }) && len(all) > 0 {
		region = slices.MinFunc(all, compareNames).Region
	}
	owners := Coordinators(all, region, nil)
	if len(owners) < maxRateOwners {
		rest := slices.DeleteFunc(slices.Clone(all), func(m Member) bool {
			return slices.ContainsFunc(owners, func(o Member) bool { return o.Name == m.Name })
		})
		slices.SortFunc(rest, compareNames)
		owners = slices.Concat(owners, rest)
	}
	return owners[:min(len(owners), maxRateOwners)]
}
