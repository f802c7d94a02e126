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

// behaviour is how a target answers: after a time with a reply or an error.
type behaviour func() (time.Duration, *Reply, error)

// answers returns a target's usual behaviour.
func answers(after time.Duration, id string) behaviour {
	return func() (time.Duration, *Reply, error) {
		return after, &Reply{Status: 200, Signature: id, Body: recordOf(id)}, nil
	}
}

// silent never answers within a request's time.
func silent() (time.Duration, *Reply, error) {
	return time.Hour, nil, errors.New("unreachable")
}

// sheds refuses at once and states that nothing ran.
func sheds() (time.Duration, *Reply, error) {
	return time.Millisecond, &Reply{Status: 503, NotRun: true}, nil
}

// breaks loses the connection after the request was sent.
func breaks() (time.Duration, *Reply, error) {
	return time.Millisecond, nil, &pool.Error{Sent: true, Err: errors.New("reset")}
}

// closed has nobody listening.
func closed() (time.Duration, *Reply, error) {
	return time.Millisecond, nil, &pool.Error{Err: errors.New("refused")}
}

func recordOf(id string) []byte {
	b := make([]byte, recordSize)
	copy(b, id)
	return b
}

// fleet is an engine over targets that are functions, within a bubble of simulated time.
type fleet struct {
	t      *testing.T
	engine *Engine
	config *route.Config
	view   *roster.View
	out    map[string]bool
	hosts  int

	mu    sync.Mutex
	acts  map[string]behaviour
	sends map[string]int
	total int
	// connects is the time that a connection to a target takes.
	connects map[string]time.Duration
}

const (
	deadline = 800 * time.Millisecond
	aim      = 150 * time.Millisecond
)

func withFleet(t *testing.T, f func(*fleet)) {
	synctest.Test(t, func(t *testing.T) {
		l := &fleet{
			t:     t,
			view:  roster.Empty(),
			out:   map[string]bool{},
			hosts: 10,
			acts:  map[string]behaviour{},
			sends: map[string]int{},

			connects: map[string]time.Duration{},
		}
		l.engine = New(timer.New(), Place{Datacentre: "dc0", Region: "r0"}, Beliefs{
			Config: func() *route.Config { return l.config },
			View:   l.known,
			Out:    l.isOut,
			Share:  func() float64 { return 0.8 / float64(l.hosts) },
			Room:   func() float64 { return 0.8 / float64(l.hosts) },
		}, Limits{
			Extra:  0.2,
			Slack:  50,
			Heat:   1.5,
			Margin: 5,
		}, l.send, zap.NewNop(), tally.NoopScope)
		f(l)
		// Lets the sub-requests that lost end, so that no goroutine is left.
		time.Sleep(2 * time.Hour)
		synctest.Wait()
	})
}

func (l *fleet) isOut(datacentre string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out[datacentre]
}

// known is the roster as it is now.
func (l *fleet) known() *roster.View {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view
}

func (l *fleet) send(ctx context.Context, to *roster.Entry, _ *Request, s Sub) (*Reply, error) {
	l.mu.Lock()
	connects := l.connects[to.ID]
	l.mu.Unlock()
	if connects > 0 {
		time.Sleep(connects)
		if !s.Wanted() {
			return nil, &pool.Error{Err: pool.ErrUnwanted}
		}
	}
	l.mu.Lock()
	l.sends[to.ID]++
	l.total++
	act := l.acts[to.ID]
	l.mu.Unlock()
	after, reply, err := act()
	left := time.NewTimer(min(after, time.Until(s.Deadline)))
	defer left.Stop()
	select {
	case <-left.C:
		if after > time.Until(s.Deadline) && reply == nil && !errors.As(err, new(*pool.Error)) {
			return nil, &pool.Error{Sent: true, Late: true, Err: context.DeadlineExceeded}
		}
		return reply, err
	case <-ctx.Done():
		return nil, &pool.Error{Sent: true, Err: ctx.Err()}
	}
}

// add makes a target of a service in a data centre; data centre dcN lies in region rN.
func (l *fleet) add(service string, datacentre int, act behaviour) string {
	id := fmt.Sprintf("%s-%d-%d", service, datacentre, len(l.view.Entries))
	e := &roster.Entry{Target: roster.Target{
		ID:         id,
		Service:    service,
		Address:    netip.MustParseAddrPort("127.0.0.1:1"),
		Datacentre: fmt.Sprintf("dc%d", datacentre),
		Region:     fmt.Sprintf("r%d", datacentre),
		Slots:      2,
	}}
	if act == nil {
		act = answers(10*time.Millisecond, id)
	}
	l.view.Entries[id] = e
	l.view.Services[service] = append(l.view.Services[service], e)
	l.acts[id] = act
	return id
}

// fanout puts a route over n shards into force, with two targets each, the first in the own data centre.
func (l *fleet) fanout(n int, least float64) {
	r := route.Route{
		Name:       "all",
		Host:       "h",
		Prefix:     "/all/",
		Idempotent: true,
		Timeout:    deadline,
		Aim:        aim,
		Attempts:   2,
		Top:        5,
		Least:      least,
	}
	services := map[string]route.Service{}
	for i := range n {
		s := fmt.Sprintf("s%02d", i)
		r.Shards = append(r.Shards, s)
		services[s] = route.Service{Name: s, Conns: 26}
		l.add(s, 0, nil)
		l.add(s, 1, nil)
	}
	l.force(services, r)
}

func (l *fleet) force(services map[string]route.Service, routes ...route.Route) {
	c, err := route.New(route.Config{Version: 1, Routes: routes, Services: services})
	require.NoError(l.t, err)
	l.config = c
}

// one puts a route to one service into force.
func (l *fleet) one(idempotent bool, attempts int) {
	l.force(map[string]route.Service{"one": {Name: "one", Conns: 50}}, route.Route{
		Name:       "one",
		Host:       "h",
		Prefix:     "/one/",
		Idempotent: idempotent,
		Timeout:    deadline,
		Aim:        aim,
		Attempts:   attempts,
		Shares:     []route.WeightedService{{Service: "one", Weight: 1}},
	})
}

// set replaces the behaviour of the n-th target of a service.
func (l *fleet) set(service string, n int, act behaviour) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acts[l.view.Services[service][n].ID] = act
}

func (l *fleet) ask(path string) (*Answer, time.Duration) {
	start := time.Now()
	a := l.engine.Handle(context.Background(), &Request{
		ID:     "q",
		Method: "GET",
		Host:   "h",
		Path:   path,
		URI:    path,
		Left:   deadline,
	})
	return a, time.Since(start)
}

// sent returns the number of sub-requests so far.
func (l *fleet) sent() int {
	// A sub-request that was launched right before is counted by its own goroutine.
	synctest.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

// sentTo returns the number of those to one target.
func (l *fleet) sentTo(id string) int {
	synctest.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sends[id]
}

// firstNumber decodes the first eight bytes of a record.
func firstNumber(b []byte) uint64 { return binary.BigEndian.Uint64(b) }

// shareOf is the list of a route to one service.
func (l *fleet) shareOf(service string) []route.WeightedService {
	return []route.WeightedService{{Service: service, Weight: 1}}
}
