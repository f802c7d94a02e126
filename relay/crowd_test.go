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

// The Archive's index as its users state it: 20 shards in two of three regions each, targets with two slots that pause, searches of 15 ms and checks of 5 ms at three to one.
const (
	indexShards  = 20
	indexHosts   = 9
	indexRegions = 3
	indexSlots   = 2
	indexQueue   = 12
	indexRate    = 90.0
	indexPause   = 200 * time.Millisecond
	indexPeriod  = 4500 * time.Millisecond
	indexNear    = 200 * time.Microsecond
	indexFar     = 12 * time.Millisecond
	searchWork   = 15 * time.Millisecond
	checkWork    = 5 * time.Millisecond
	searchShare  = 0.75
	// indexBears is the number of queries a second that all slots work off if no one is idle but in its pauses.
	indexBears = 2 * indexSlots * 0.956 / (searchShare*0.015 + (1-searchShare)*0.005)
)

// slotted is a target with slots, a queue that sheds what doesn't fit, and pauses at its own time.
type slotted struct {
	mu    sync.Mutex
	free  [indexSlots]time.Time
	ends  []time.Time
	phase time.Duration
	began time.Time
	rand  *rand.Rand
}

// skipPause returns when the target works again, at a time.
func (s *slotted) skipPause(t time.Time) time.Time {
	into := (t.Sub(s.began) + s.phase) % indexPeriod
	if into < indexPause {
		return t.Add(indexPause - into)
	}
	return t
}

// serve returns when a request of a mean time that comes now is answered; it isn't where the queue is full.
func (s *slotted) serve(mean time.Duration) (after time.Duration, served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.ends = slices.DeleteFunc(s.ends, func(t time.Time) bool { return !t.After(now) })
	if len(s.ends) >= indexSlots+indexQueue {
		return 0, false
	}
	slot := 0
	for i := range s.free {
		if s.free[i].Before(s.free[slot]) {
			slot = i
		}
	}
	begin := s.free[slot]
	if begin.Before(now) {
		begin = now
	}
	const spread = 0.35
	work := time.Duration(float64(mean) * math.Exp(spread*s.rand.NormFloat64()-spread*spread/2))
	end := s.skipPause(begin).Add(work)
	s.free[slot] = end
	s.ends = append(s.ends, end)
	return end.Sub(now), true
}

// index is several hosts over the targets of an index, within a bubble of simulated time.
type index struct {
	engines []*Engine
	targets map[string]*slotted
	config  *route.Config
	view    *roster.View
	rand    *rand.Rand
}

func region(n int) string { return fmt.Sprintf("r%d", n%indexRegions) }

func newIndex(t *testing.T, seed uint64, room float64) *index {
	x := &index{
		targets: map[string]*slotted{},
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
				Datacentre: region(i + k),
				Region:     region(i + k),
				Slots:      indexSlots,
			}}
			x.view.Entries[e.ID] = e
			x.view.Services[s] = append(x.view.Services[s], e)
			x.targets[e.ID] = &slotted{
				phase: time.Duration(x.rand.Int64N(int64(indexPeriod))),
				began: time.Now(),
				rand:  rand.New(rand.NewPCG(seed, x.rand.Uint64())),
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
		x.engines = append(x.engines, New(timer.New(), Place{Datacentre: region(h), Region: region(h)}, Beliefs{
			Config: func() *route.Config { return x.config },
			View:   func() *roster.View { return x.view },
			Out:    func(string) bool { return false },
			Share:  func() float64 { return 0.8 / indexHosts },
			Room:   func() float64 { return room },
		}, Limits{
			Extra: 0.2,
			Slack: 58,
		}, x.sender(region(h)), zap.NewNop(), tally.NoopScope))
	}
	return x
}

// sender carries sub-requests from a region to the targets.
func (x *index) sender(from string) Send {
	return func(ctx context.Context, to *roster.Entry, r *Request, s Sub) (*Reply, error) {
		way, work := indexFar, searchWork
		if to.Region == from {
			way = indexNear
		}
		if r.Path == "/check/x" {
			work = checkWork
		}
		wait := func(d time.Duration) error {
			limited, cancel := context.WithDeadline(ctx, s.Deadline)
			defer cancel()
			select {
			case <-time.After(d):
				return nil
			case <-limited.Done():
				return &pool.Error{Sent: true, Late: true, Err: limited.Err()}
			}
		}
		if err := wait(way); err != nil {
			return nil, err
		}
		after, served := x.targets[to.ID].serve(work)
		if !served {
			return &Reply{Status: 503, NotRun: true}, wait(way)
		}
		if err := wait(after + way); err != nil {
			return nil, err
		}
		return &Reply{Status: 200, Signature: to.ID, Body: recordOf(to.ID)}, nil
	}
}

// kindSum is what came of the requests of one kind.
type kindSum struct {
	asked, inTime, refused int
	// slowest is the longest time that a refusal took.
	slowest time.Duration
}

// play sends a multiple of the usual load for a time after as long a time of the usual one, and returns what came of the requests of the second.
func (x *index) play(times float64, d time.Duration) map[string]*kindSum {
	sums := map[string]*kindSum{"/search/x": {}, "/check/x": {}}
	var mu sync.Mutex
	var all sync.WaitGroup
	began := time.Now()
	for n := 0; ; n++ {
		since := time.Since(began)
		if since >= 2*d {
			break
		}
		rate, counts := indexRate, since >= d
		if counts {
			rate *= times
		}
		time.Sleep(time.Duration(x.rand.ExpFloat64() * float64(time.Second) / rate))
		path := "/check/x"
		if x.rand.Float64() < searchShare {
			path = "/search/x"
		}
		first, second := x.engines[x.rand.IntN(indexHosts)], x.engines[x.rand.IntN(indexHosts)]
		all.Go(func() {
			sum := kindSum{asked: 1}
			sum.call(path, fmt.Sprint(n), first, second)
			mu.Lock()
			defer mu.Unlock()
			if counts {
				to := sums[path]
				to.asked, to.inTime, to.refused, to.slowest = to.asked+1, to.inTime+sum.inTime, to.refused+sum.refused, max(to.slowest, sum.slowest)
			}
		})
	}
	all.Wait()
	return sums
}

// call asks one host and, where it refuses, another one at the time that it names.
func (k *kindSum) call(path, id string, hosts ...*Engine) {
	began := time.Now()
	aim, left := 150*time.Millisecond, time.Second
	if path == "/check/x" {
		aim, left = 100*time.Millisecond, 600*time.Millisecond
	}
	for i, e := range hosts {
		asked := time.Now()
		a := e.Handle(context.Background(), &Request{
			ID:     id,
			Method: "GET",
			Host:   "h",
			Path:   path,
			URI:    path,
			Left:   left - time.Since(began),
		})
		switch {
		case a.Fault == nil:
			if time.Since(began) <= aim {
				k.inTime++
			}
			return
		case a.Fault.Kind != fault.Overload:
			return
		}
		k.refused++
		if !a.Offered {
			k.slowest = max(k.slowest, time.Since(asked))
		}
		if i+1 < len(hosts) {
			time.Sleep(min(a.Fault.RetryAfter(), (left-time.Since(began))/3))
		}
	}
}

// playLoads plays several multiples of the usual load, which is 28% of the slots, with a room for each host, and returns the sums of each.
func playLoads(t *testing.T, room float64, seconds int, loads ...float64) []map[string]*kindSum {
	var all []map[string]*kindSum
	for _, times := range loads {
		synctest.Test(t, func(t *testing.T) {
			x := newIndex(t, 1, room)
			sums := x.play(times, time.Duration(seconds)*time.Second)
			s, c := sums["/search/x"], sums["/check/x"]
			t.Logf("%.1f times: searches %d of %d in time, checks %d of %d, refused %d, slots bear %.0f", times, s.inTime, s.asked, c.inTime, c.asked, s.refused+c.refused, indexBears*float64(seconds))
			all = append(all, sums)
			time.Sleep(time.Hour)
			synctest.Wait()
		})
	}
	return all
}

// requireArranged holds what came of several loads, in rising order, to what an arranger could reach who knows all: at least 0.85 of what the slots bear in time, 0.95 of the highest rank while its own load fits, no fall of more than 3 in 100 as load grows, and refusals within 5 ms.
func requireArranged(t *testing.T, all []map[string]*kindSum, seconds int) {
	bears := indexBears * float64(seconds)
	before := 0
	for _, sums := range all {
		s, c := sums["/search/x"], sums["/check/x"]
		inTime, asked := s.inTime+c.inTime, s.asked+c.asked
		require.GreaterOrEqual(t, float64(inTime), 0.85*min(float64(asked), bears), "in time of %d", asked)
		if float64(s.asked)*searchWork.Seconds() < 2*indexSlots*float64(seconds)*0.956 {
			require.GreaterOrEqual(t, float64(s.inTime), 0.95*float64(s.asked), "searches in time")
		}
		require.GreaterOrEqual(t, float64(inTime), 0.97*float64(before), "no fewer than with less load")
		require.LessOrEqual(t, max(s.slowest, c.slowest), 5*time.Millisecond, "refusals at once")
		before = max(before, inTime)
	}
}

// archiveRoom is a host's part of the slots.
const archiveRoom = 0.8 / indexHosts

// TestArchiveUpToTwiceItsLoad is the load of the Archive's busy days: up to 56% of the slots, with two targets pausing at any time.
func TestArchiveUpToTwiceItsLoad(t *testing.T) {
	const seconds = 6
	requireArranged(t, playLoads(t, archiveRoom, seconds, 1, 1.5, 2), seconds)
}

// TestArchiveUnderSeveralTimesItsLoad is the load that a crowd brings: 84% to 169% of the slots.
func TestArchiveUnderSeveralTimesItsLoad(t *testing.T) {
	const seconds = 6
	requireArranged(t, playLoads(t, archiveRoom, seconds, 2, 3, 4, 6), seconds)
}

// TestWithoutAdmissionTheArchiveCollapses is what admission is for: first come, first served, without limits, serves fewer in time at four times the load than at twice, and fewer than with it.
func TestWithoutAdmissionTheArchiveCollapses(t *testing.T) {
	const seconds, unlimited = 3, 1000
	inTime := func(sums map[string]*kindSum) int {
		return sums["/search/x"].inTime + sums["/check/x"].inTime
	}
	without := playLoads(t, unlimited, seconds, 2, 4)
	with := playLoads(t, archiveRoom, seconds, 4)
	require.Less(t, inTime(without[1]), inTime(without[0]))
	require.Less(t, inTime(without[1]), inTime(with[0]))
}
