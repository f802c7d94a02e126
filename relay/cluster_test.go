package relay

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/pool"
	"kingcupcross/roster"
	"kingcupcross/route"
	"kingcupcross/timer"
)

// behaviour is how a target responds: with a reply or an error after a delay.
type behaviour func() (time.Duration, *Reply, error)

// answersAfter returns a behaviour that succeeds after a delay.
func answersAfter(after time.Duration, id string) behaviour {
	return func() (time.Duration, *Reply, error) {
		return after, &Reply{Status: 200, Signature: id, Body: recordFrom(id)}, nil
	}
}

// neverAnswers is a behaviour that gives no reply within any deadline.
func neverAnswers() (time.Duration, *Reply, error) {
	return time.Hour, nil, errors.New("unreachable")
}

// refusesWithoutRunning is a behaviour that refuses at once and states that nothing ran.
func refusesWithoutRunning() (time.Duration, *Reply, error) {
	return time.Millisecond, &Reply{Status: 503, NotRun: true}, nil
}

// losesConnection is a behaviour that loses the connection after the request was sent.
func losesConnection() (time.Duration, *Reply, error) {
	return time.Millisecond, nil, &pool.Error{Sent: true, Err: errors.New("reset")}
}

// refusesConnection is a behaviour that refuses the connection.
func refusesConnection() (time.Duration, *Reply, error) {
	return time.Millisecond, nil, &pool.Error{Err: errors.New("refused")}
}

// recordFrom returns a record that starts with id.
func recordFrom(id string) []byte {
	b := make([]byte, recordSize)
	copy(b, id)
	return b
}

// testCluster is an engine with simulated targets. It runs within a synctest bubble. The engine's host is in data centre dc0 of region r0.
type testCluster struct {
	t              *testing.T
	engine         *Engine
	config         *route.Config
	view           *roster.View
	outDatacentres map[string]bool
	hosts          int

	mu           sync.Mutex
	behaviours   map[string]behaviour
	sentByTarget map[string]int
	sentTotal    int
	// connectTimes is the time that a new connection takes, per target.
	connectTimes map[string]time.Duration
}

const (
	deadline  = 800 * time.Millisecond
	objective = 150 * time.Millisecond
)

// withCluster runs f with an empty cluster in simulated time.
func withCluster(t *testing.T, f func(*testCluster)) {
	synctest.Test(t, func(t *testing.T) {
		l := &testCluster{
			t:              t,
			view:           roster.Empty(),
			outDatacentres: map[string]bool{},
			hosts:          10,
			behaviours:     map[string]behaviour{},
			sentByTarget:   map[string]int{},

			connectTimes: map[string]time.Duration{},
		}
		l.engine = New(timer.New(), Location{Datacentre: "dc0", Region: "r0"}, ClusterState{
			Config:        func() *route.Config { return l.config },
			View:          l.currentView,
			DatacentreOut: l.isOut,
			LimitsShare:   func() float64 { return 0.8 / float64(l.hosts) },
			SlotsShare:    func() float64 { return 0.8 / float64(l.hosts) },
		}, Limits{
			ExtraShare:     0.2,
			ExtraSlack:     50,
			ColdRateFactor: 1.5,
			ColdRateMargin: 5,
		}, l.send, zap.NewNop(), tally.NoopScope)
		f(l)
		// Lets the remaining sub-requests end, since synctest requires that no goroutine is left.
		time.Sleep(2 * time.Hour)
		synctest.Wait()
	})
}

// isOut reports whether a data centre is out of service.
func (l *testCluster) isOut(datacentre string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outDatacentres[datacentre]
}

// currentView returns the current roster.
func (l *testCluster) currentView() *roster.View {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view
}

// send is the engine's sending function; it runs the target's behaviour.
func (l *testCluster) send(ctx context.Context, to *roster.Entry, _ *Request, s SendOptions) (*Reply, error) {
	l.mu.Lock()
	connectTime := l.connectTimes[to.ID]
	l.mu.Unlock()
	if connectTime > 0 {
		time.Sleep(connectTime)
		if !s.StillAllowed() {
			return nil, &pool.Error{Err: pool.ErrNoLongerAllowed}
		}
	}
	l.mu.Lock()
	l.sentByTarget[to.ID]++
	l.sentTotal++
	behave := l.behaviours[to.ID]
	l.mu.Unlock()
	after, reply, err := behave()
	wait := time.NewTimer(min(after, time.Until(s.Deadline)))
	defer wait.Stop()
	select {
	case <-wait.C:
		if after > time.Until(s.Deadline) && reply == nil && !errors.As(err, new(*pool.Error)) {
			return nil, &pool.Error{Sent: true, Late: true, Err: context.DeadlineExceeded}
		}
		return reply, err
	case <-ctx.Done():
		return nil, &pool.Error{Sent: true, Err: ctx.Err()}
	}
}

// addTarget adds a target of a service in a data centre and returns its id; data centre dcN lies in region rN. A nil behaviour answers after 10 ms.
func (l *testCluster) addTarget(service string, datacentre int, behave behaviour) string {
	id := fmt.Sprintf("%s-%d-%d", service, datacentre, len(l.view.Entries))
	e := &roster.Entry{Target: roster.Target{
		ID:         id,
		Service:    service,
		Address:    netip.MustParseAddrPort("127.0.0.1:1"),
		Datacentre: fmt.Sprintf("dc%d", datacentre),
		Region:     fmt.Sprintf("r%d", datacentre),
		Slots:      2,
	}}
	if behave == nil {
		behave = answersAfter(10*time.Millisecond, id)
	}
	l.view.Entries[id] = e
	l.view.Services[service] = append(l.view.Services[service], e)
	l.behaviours[id] = behave
	return id
}

// setFanoutRoute installs a route over n shards with two targets each, the first of them in the engine's data centre.
func (l *testCluster) setFanoutRoute(n int, least float64) {
	r := route.Route{
		Name:       "all",
		Host:       "h",
		Prefix:     "/all/",
		Idempotent: true,
		Timeout:    deadline,
		Aim:        objective,
		Attempts:   2,
		Top:        5,
		Least:      least,
	}
	services := map[string]route.Service{}
	for i := range n {
		s := fmt.Sprintf("s%02d", i)
		r.Shards = append(r.Shards, s)
		services[s] = route.Service{Name: s, Conns: 26}
		l.addTarget(s, 0, nil)
		l.addTarget(s, 1, nil)
	}
	l.setConfig(services, r)
}

// setConfig installs a configuration.
func (l *testCluster) setConfig(services map[string]route.Service, routes ...route.Route) {
	c, err := route.New(route.Config{Version: 1, Routes: routes, Services: services})
	require.NoError(l.t, err)
	l.config = c
}

// setSingleRoute installs a route to a single service.
func (l *testCluster) setSingleRoute(idempotent bool, attempts int) {
	l.setConfig(map[string]route.Service{"one": {Name: "one", Conns: 50}}, route.Route{
		Name:       "one",
		Host:       "h",
		Prefix:     "/one/",
		Idempotent: idempotent,
		Timeout:    deadline,
		Aim:        objective,
		Attempts:   attempts,
		Shares:     []route.WeightedService{{Service: "one", Weight: 1}},
	})
}

// setBehaviour replaces the behaviour of the n-th target of a service.
func (l *testCluster) setBehaviour(service string, n int, behave behaviour) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.behaviours[l.view.Services[service][n].ID] = behave
}

// request sends a request to the engine and returns the answer with its latency.
func (l *testCluster) request(path string) (*Answer, time.Duration) {
	start := time.Now()
	a := l.engine.Handle(context.Background(), &Request{
		ID:       "q",
		Method:   "GET",
		Host:     "h",
		Path:     path,
		URI:      path,
		TimeLeft: deadline,
	})
	return a, time.Since(start)
}

// sent returns the number of sub-requests sent so far.
func (l *testCluster) sent() int {
	// A sub-request is counted by its own goroutine, which may not have run yet.
	synctest.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sentTotal
}

// sentTo returns the number of sub-requests sent to a target so far.
func (l *testCluster) sentTo(id string) int {
	synctest.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sentByTarget[id]
}

// firstNumber decodes the first eight bytes of a record.
func firstNumber(b []byte) uint64 { return binary.BigEndian.Uint64(b) }

// onlyService returns a traffic split with a single service.
func (l *testCluster) onlyService(service string) []route.WeightedService {
	return []route.WeightedService{{Service: service, Weight: 1}}
}
