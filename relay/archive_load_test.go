package relay

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/fault"
	"kingcupcross/pool"
	"kingcupcross/roster"
	"kingcupcross/route"
	"kingcupcross/timer"
)

// Parameters of the Archive's index as its users state them: 20 shards, each in two of three regions, targets with two slots that pause, and searches of 15 ms and checks of 5 ms in the ratio three to one.
const (
	indexShards    = 20
	indexHosts     = 9
	indexRegions   = 3
	indexSlots     = 2
	indexQueue     = 12
	indexRate      = 90.0
	indexPause     = 200 * time.Millisecond
	indexPeriod    = 4500 * time.Millisecond
	indexNearDelay = 200 * time.Microsecond
	indexFarDelay  = 12 * time.Millisecond
	searchWork     = 15 * time.Millisecond
	checkWork      = 5 * time.Millisecond
	searchShare    = 0.75
	// indexCapacity is the number of queries per second that all slots can serve when they are idle only during pauses.
	indexCapacity = 2 * indexSlots * 0.956 / (searchShare*0.015 + (1-searchShare)*0.005)
)

// pausingTarget is a target with slots, a bounded queue and periodic pauses.
type pausingTarget struct {
	mu        sync.Mutex
	freeAt    [indexSlots]time.Time
	endTimes  []time.Time
	phase     time.Duration
	startedAt time.Time
	rand      *rand.Rand
}

// afterPause returns t, or the end of the pause if t falls into one.
func (s *pausingTarget) afterPause(t time.Time) time.Time {
	into := (t.Sub(s.startedAt) + s.phase) % indexPeriod
	if into < indexPause {
		return t.Add(indexPause - into)
	}
	return t
}

// serve returns the time until a request with the given mean work that arrives now is answered. It refuses the request if the queue is full.
func (s *pausingTarget) serve(mean time.Duration) (after time.Duration, served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.endTimes = slices.DeleteFunc(s.endTimes, func(t time.Time) bool { return !t.After(now) })
	if len(s.endTimes) >= indexSlots+indexQueue {
		return 0, false
	}
	slot := 0
	for i := range s.freeAt {
		if s.freeAt[i].Before(s.freeAt[slot]) {
			slot = i
		}
	}
	begin := s.freeAt[slot]
	if begin.Before(now) {
		begin = now
	}
	const spread = 0.35
	work := time.Duration(float64(mean) * math.Exp(spread*s.rand.NormFloat64()-spread*spread/2))
	end := s.afterPause(begin).Add(work)
	s.freeAt[slot] = end
	s.endTimes = append(s.endTimes, end)
	return end.Sub(now), true
}

// archiveIndex simulates several hosts and the targets of an index. It runs within a synctest bubble.
type archiveIndex struct {
	engines []*Engine
	targets map[string]*pausingTarget
	config  *route.Config
	view    *roster.View
	rand    *rand.Rand
}

// regionName returns the name of the n-th region; the numbers wrap around.
func regionName(n int) string { return fmt.Sprintf("r%d", n%indexRegions) }

// newArchiveIndex returns an index with random pauses; slotsShare is each host's share of the slots.
func newArchiveIndex(t *testing.T, seed uint64, slotsShare float64) *archiveIndex {
	x := &archiveIndex{
		targets: map[string]*pausingTarget{},
		view:    roster.Empty(),
		rand:    rand.New(rand.NewPCG(seed, 3)),
	}
	search := route.Route{
		Name:       "search",
		Host:       "h",
		Prefix:     "/search/",
		Idempotent: true,
		Timeout:    time.Second,
		Aim:        150 * time.Millisecond,
		Attempts:   2,
		Top:        10,
		Least:      0.89,
		Priority:   1,
	}
	services := map[string]route.Service{}
	for i := range indexShards {
		s := fmt.Sprintf("s%02d", i)
		search.Shards = append(search.Shards, s)
		services[s] = route.Service{Name: s, Conns: 26}
		for k := range 2 {
			e := &roster.Entry{Target: roster.Target{
				ID:         fmt.Sprintf("%s-%d", s, k),
				Service:    s,
				Address:    netip.MustParseAddrPort("127.0.0.1:1"),
				Datacentre: regionName(i + k),
				Region:     regionName(i + k),
				Slots:      indexSlots,
			}}
			x.view.Entries[e.ID] = e
			x.view.Services[s] = append(x.view.Services[s], e)
			x.targets[e.ID] = &pausingTarget{
				phase:     time.Duration(x.rand.Int64N(int64(indexPeriod))),
				startedAt: time.Now(),
				rand:      rand.New(rand.NewPCG(seed, x.rand.Uint64())),
			}
		}
	}
	check := search
	check.Name, check.Prefix, check.Priority = "check", "/check/", 2
	check.Aim, check.Timeout, check.Top, check.Least = 100*time.Millisecond, 600*time.Millisecond, 5, 0.75
	config, err := route.New(route.Config{Version: 1, Services: services, Routes: []route.Route{search, check}})
	require.NoError(t, err)
	x.config = config
	for h := range indexHosts {
		x.engines = append(x.engines, New(timer.New(), Location{Datacentre: regionName(h), Region: regionName(h)}, ClusterState{
			Config:        func() *route.Config { return x.config },
			View:          func() *roster.View { return x.view },
			DatacentreOut: func(string) bool { return false },
			LimitsShare:   func() float64 { return 0.8 / indexHosts },
			SlotsShare:    func() float64 { return slotsShare },
		}, Limits{
			ExtraShare: 0.2,
			ExtraSlack: 58,
		}, x.sender(regionName(h)), zap.NewNop(), tally.NoopScope))
	}
	return x
}

// sender returns the engine's sending function for a host in a region, with the delays of the network and the targets.
func (x *archiveIndex) sender(from string) SendFunc {
	return func(ctx context.Context, to *roster.Entry, r *Request, s SendOptions) (*Reply, error) {
		delay, work := indexFarDelay, searchWork
		if to.Region == from {
			delay = indexNearDelay
		}
		if r.Path == "/check/x" {
			work = checkWork
		}
		wait := func(d time.Duration) error {
			limitedCtx, cancel := context.WithDeadline(ctx, s.Deadline)
			defer cancel()
			select {
			case <-time.After(d):
				return nil
			case <-limitedCtx.Done():
				return &pool.Error{Sent: true, Late: true, Err: limitedCtx.Err()}
			}
		}
		if err := wait(delay); err != nil {
			return nil, err
		}
		after, served := x.targets[to.ID].serve(work)
		if !served {
			return &Reply{Status: 503, NotRun: true}, wait(delay)
		}
		if err := wait(after + delay); err != nil {
			return nil, err
		}
		return &Reply{Status: 200, Signature: to.ID, Body: recordFrom(to.ID)}, nil
	}
}

// requestCounts counts the outcomes of the requests of one kind.
type requestCounts struct {
	sent, inTime, refused int
	// slowestRefusal is the longest time that a refusal took.
	slowestRefusal time.Duration
}

// runLoad sends the usual load for a duration and then a multiple of it for the same duration, and returns the outcomes of the second period.
func (x *archiveIndex) runLoad(factor float64, d time.Duration) map[string]*requestCounts {
	outcomes := map[string]*requestCounts{"/search/x": {}, "/check/x": {}}
	var mu sync.Mutex
	var requests sync.WaitGroup
	start := time.Now()
	for n := 0; ; n++ {
		elapsed := time.Since(start)
		if elapsed >= 2*d {
			break
		}
		rate, counted := indexRate, elapsed >= d
		if counted {
			rate *= factor
		}
		time.Sleep(time.Duration(x.rand.ExpFloat64() * float64(time.Second) / rate))
		path := "/check/x"
		if x.rand.Float64() < searchShare {
			path = "/search/x"
		}
		first, second := x.engines[x.rand.IntN(indexHosts)], x.engines[x.rand.IntN(indexHosts)]
		requests.Go(func() {
			outcome := requestCounts{sent: 1}
			outcome.request(path, fmt.Sprint(n), first, second)
			mu.Lock()
			defer mu.Unlock()
			if counted {
				total := outcomes[path]
				total.sent, total.inTime, total.refused, total.slowestRefusal = total.sent+1, total.inTime+outcome.inTime, total.refused+outcome.refused, max(total.slowestRefusal, outcome.slowestRefusal)
			}
		})
	}
	requests.Wait()
	return outcomes
}

// request sends a request to the first host and, if that refuses it for overload, to the next one after the retry delay.
func (k *requestCounts) request(path, id string, hosts ...*Engine) {
	start := time.Now()
	maxLatency, timeLeft := 150*time.Millisecond, time.Second
	if path == "/check/x" {
		maxLatency, timeLeft = 100*time.Millisecond, 600*time.Millisecond
	}
	for i, e := range hosts {
		attemptStart := time.Now()
		a := e.Handle(context.Background(), &Request{
			ID:       id,
			Method:   "GET",
			Host:     "h",
			Path:     path,
			URI:      path,
			TimeLeft: timeLeft - time.Since(start),
		})
		switch {
		case a.Fault == nil:
			if time.Since(start) <= maxLatency {
				k.inTime++
			}
			return
		case a.Fault.Kind != fault.Overload:
			return
		}
		k.refused++
		if !a.ReachedTargets {
			k.slowestRefusal = max(k.slowestRefusal, time.Since(attemptStart))
		}
		if i+1 < len(hosts) {
			time.Sleep(min(a.Fault.RetryAfter(), (timeLeft-time.Since(start))/3))
		}
	}
}

// runLoads runs several multiples of the usual load, which is 28% of the slots, with slotsShare as each host's share of the slots, and returns the outcomes of each.
func runLoads(t *testing.T, slotsShare float64, seconds int, loads ...float64) []map[string]*requestCounts {
	var all []map[string]*requestCounts
	for _, factor := range loads {
		synctest.Test(t, func(t *testing.T) {
			x := newArchiveIndex(t, 1, slotsShare)
			outcomes := x.runLoad(factor, time.Duration(seconds)*time.Second)
			s, c := outcomes["/search/x"], outcomes["/check/x"]
			t.Logf("%.1f times the usual load: searches %d of %d in time, checks %d of %d, refused %d, capacity %.0f", factor, s.inTime, s.sent, c.inTime, c.sent, s.refused+c.refused, indexCapacity*float64(seconds))
			all = append(all, outcomes)
			time.Sleep(time.Hour)
			synctest.Wait()
		})
	}
	return all
}

// requireNearOptimal compares the outcomes of rising loads with what a scheduler with full knowledge could reach: at least 0.85 of the capacity answered in time, 0.95 of the searches as long as they alone fit, no drop of more than 3% as the load grows, and refusals within 5 ms.
func requireNearOptimal(t *testing.T, all []map[string]*requestCounts, seconds int) {
	capacity := indexCapacity * float64(seconds)
	best := 0
	for _, outcomes := range all {
		s, c := outcomes["/search/x"], outcomes["/check/x"]
		inTime, sent := s.inTime+c.inTime, s.sent+c.sent
		require.GreaterOrEqual(t, float64(inTime), 0.85*min(float64(sent), capacity), "in time of %d", sent)
		if float64(s.sent)*searchWork.Seconds() < 2*indexSlots*float64(seconds)*0.956 {
			require.GreaterOrEqual(t, float64(s.inTime), 0.95*float64(s.sent), "searches in time")
		}
		require.GreaterOrEqual(t, float64(inTime), 0.97*float64(best), "no fewer in time than with less load")
		require.LessOrEqual(t, max(s.slowestRefusal, c.slowestRefusal), 5*time.Millisecond, "slowest refusal")
		best = max(best, inTime)
	}
}

// archiveSlotsShare is each host's share of the slots.
const archiveSlotsShare = 0.8 / indexHosts

// TestArchiveUpToTwiceItsLoad runs the load of the Archive's busy days: up to 56% of the slots, with two targets pausing at any time.
func TestArchiveUpToTwiceItsLoad(t *testing.T) {
	const seconds = 6
	requireNearOptimal(t, runLoads(t, archiveSlotsShare, seconds, 1, 1.5, 2), seconds)
}

// TestArchiveUnderSeveralTimesItsLoad runs the load of a sudden crowd of users, 84% to 169% of the slots, after twice the usual load for comparison.
func TestArchiveUnderSeveralTimesItsLoad(t *testing.T) {
	const seconds = 6
	requireNearOptimal(t, runLoads(t, archiveSlotsShare, seconds, 2, 3, 4, 6), seconds)
}

// TestArchiveWithoutAdmissionServesFewerUnderLoad shows why admission is needed: without limits, four times the load gets fewer answers in time than twice the load, and fewer than four times the load with limits.
func TestArchiveWithoutAdmissionServesFewerUnderLoad(t *testing.T) {
	const seconds, unlimited = 3, 1000
	inTime := func(outcomes map[string]*requestCounts) int {
		return outcomes["/search/x"].inTime + outcomes["/check/x"].inTime
	}
	without := runLoads(t, unlimited, seconds, 2, 4)
	with := runLoads(t, archiveSlotsShare, seconds, 4)
	require.Less(t, inTime(without[1]), inTime(without[0]))
	require.Less(t, inTime(without[1]), inTime(with[0]))
}
