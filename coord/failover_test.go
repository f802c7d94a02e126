package coord

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/fault"
	"kingcupcross/pool"
	"kingcupcross/relay"
	"kingcupcross/route"
	"kingcupcross/timer"
)

// failoverFixture is a host without a way to the targets and what the others answer.
type failoverFixture struct {
	*Coord
	// answers holds the answers of the other hosts by name; a host without one is unreachable.
	answers map[string]*relay.Answer
	errs    map[string]error
	asked   []string
	own     *relay.Answer
	ownRuns int
}

// newFailoverFixture returns a host in region "near" that knows hosts there and in region "far". Routes: /any/, /near/ with a home in "near", and /once/, which may not be repeated.
func newFailoverFixture(t *testing.T) *failoverFixture {
	f := &failoverFixture{
		answers: map[string]*relay.Answer{},
		errs:    map[string]error{},
		own:     &relay.Answer{Status: 200},
	}
	r := func(prefix string, idempotent bool, regions ...string) route.Route {
		return route.Route{
			Name:       prefix,
			Host:       "h",
			Prefix:     prefix,
			Idempotent: idempotent,
			Timeout:    time.Second,
			Aim:        100 * time.Millisecond,
			Attempts:   2,
			Shares:     []route.WeightedService{{Service: "s", Weight: 1}},
			Regions:    regions,
		}
	}
	config, err := route.New(route.Config{
		Version: 1,
		Routes:  []route.Route{r("/any/", true), r("/near/", true, "near"), r("/once/", false)},
	})
	require.NoError(t, err)
	self := member(0, "a", 1)
	self.Region = "near"
	f.Coord = New(timer.New(), Dependencies{
		Self: self,
		AnswerLocally: func(context.Context, *relay.Request) *relay.Answer {
			f.ownRuns++
			return f.own
		},
		Send: func(_ context.Context, to Member, r *relay.Request, _ time.Time) (*relay.Answer, error) {
			f.asked = append(f.asked, to.Name)
			require.Equal(t, self.Name, r.Origin)
			if err := f.errs[to.Name]; err != nil {
				return nil, err
			}
			if a := f.answers[to.Name]; a != nil {
				return a, nil
			}
			return nil, &pool.Error{Err: errors.New("refused")}
		},
		Ping:   func(context.Context, Member) error { return nil },
		Config: func() *route.Config { return config },
	}, zap.NewNop(), tally.NoopScope)
	// Requests aren't passed on for a low rate.
	f.rate.high, f.rate.windowStart = true, time.Now()
	return f
}

// hosts returns two hosts in the region "far" and one in "near".
func (f *failoverFixture) hosts() []Member {
	near, far, farther := member(1, "b", 1), member(2, "c", 1), member(3, "d", 1)
	near.Region, far.Region, farther.Region = "near", "far", "far"
	return []Member{far, near, farther}
}

func (f *failoverFixture) request(path string) *relay.Answer {
	f.asked = nil
	return f.Handle(context.Background(), &relay.Request{ID: "q", Host: "h", Path: path, TimeLeft: time.Second})
}

// TestFailoverGoesToHostsOfTheRegionFirst guards against requests leaving the region without need, or at all where the route has its home there.
func TestFailoverGoesToHostsOfTheRegionFirst(t *testing.T) {
	f := newFailoverFixture(t)
	f.SetFailoverHosts(f.hosts())
	f.answers["h01"], f.answers["h02"], f.answers["h03"] = &relay.Answer{Status: 201}, &relay.Answer{Status: 202}, &relay.Answer{Status: 202}
	require.Equal(t, 201, f.request("/any/x").Status)
	require.Equal(t, []string{"h01"}, f.asked)
	delete(f.answers, "h01")
	require.Equal(t, 202, f.request("/any/x").Status)
	require.Equal(t, "h01", f.asked[0])
	require.Len(t, f.asked, 2)

	f = newFailoverFixture(t)
	f.SetFailoverHosts(f.hosts())
	require.Equal(t, 200, f.request("/near/x").Status)
	require.Equal(t, []string{"h01"}, f.asked, "hosts outside the route's home must not get the request")
	require.Equal(t, 1, f.ownRuns)
}

// TestFailoverEnds guards against requests that go on by other hosts once the way is back.
func TestFailoverEnds(t *testing.T) {
	f := newFailoverFixture(t)
	f.SetFailoverHosts(f.hosts())
	require.True(t, f.FailingOver())
	f.SetFailoverHosts(nil)
	require.False(t, f.FailingOver())
	require.Equal(t, 200, f.request("/any/x").Status)
	require.Empty(t, f.asked)
}

// TestHostWithoutAWayDeclinesOthers guards against hosts without a way to the targets asking each other in circles.
func TestHostWithoutAWayDeclinesOthers(t *testing.T) {
	f := newFailoverFixture(t)
	f.SetFailoverHosts(f.hosts())
	a := f.Answer(context.Background(), &relay.Request{ID: "q", Host: "h", Path: "/any/x", Origin: "h09"})
	require.True(t, a.Declined)
	require.True(t, a.Fault.NotRun())
	require.Zero(t, f.ownRuns)
	require.Empty(t, f.asked)

	f.answers["h01"] = &relay.Answer{Declined: true, Status: 503}
	f.answers["h02"], f.answers["h03"] = &relay.Answer{Status: 202}, &relay.Answer{Status: 202}
	require.Equal(t, 202, f.request("/any/x").Status)
}

// TestRequestsCaughtByTheLossFailOver guards against requests that waited when the way was lost being failed, and against one that may not be repeated being sent again though it may have run.
func TestRequestsCaughtByTheLossFailOver(t *testing.T) {
	ran, notRun := fault.New(fault.NoReplica, "no way"), fault.New(fault.NoReplica, "no way")
	ran.Ran = true
	for _, tc := range []struct {
		name, path string
		own        *relay.Answer
		failedOver bool
	}{
		{name: "idempotent, may have run", path: "/any/x", own: &relay.Answer{Fault: ran, PathLost: true}, failedOver: true},
		{name: "idempotent, all attempts used", path: "/any/x", own: &relay.Answer{Fault: ran, PathLost: true, AttemptsUsed: 2}},
		{name: "idempotent, other failure", path: "/any/x", own: &relay.Answer{Fault: ran}},
		{name: "not idempotent, may have run", path: "/once/x", own: &relay.Answer{Fault: ran, PathLost: true}},
		{name: "not idempotent, has not run", path: "/once/x", own: &relay.Answer{Fault: notRun, PathLost: true}, failedOver: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFailoverFixture(t)
			f.answers["h01"] = &relay.Answer{Status: 201}
			f.AnswerLocally = func(context.Context, *relay.Request) *relay.Answer {
				f.SetFailoverHosts(f.hosts())
				return tc.own
			}
			a := f.request(tc.path)
			require.Equal(t, tc.failedOver, a.Status == 201)
			if !tc.failedOver {
				require.Equal(t, tc.own, a)
			}
		})
	}
}

// TestLostFailoverIsNotRepeated guards against a request that may not be repeated running at two hosts because the first one's answer was lost.
func TestLostFailoverIsNotRepeated(t *testing.T) {
	f := newFailoverFixture(t)
	f.SetFailoverHosts(f.hosts())
	f.errs["h01"] = &pool.Error{Sent: true, Err: errors.New("reset")}
	a := f.request("/once/x")
	require.Equal(t, fault.Unknown, a.Fault.Kind)
	require.False(t, a.Fault.NotRun())
	require.Equal(t, []string{"h01"}, f.asked)
	require.Zero(t, f.ownRuns)
}

// TestRefusalAfterARunIsNoPromise guards against a caller that is told that its request has not run, because the host that took it over refused it, while the first host had sent it to a target before it lost its way.
func TestRefusalAfterARunIsNoPromise(t *testing.T) {
	ran := fault.New(fault.NoReplica, "this host has lost its way to the targets")
	ran.Ran = true
	notRun := fault.New(fault.NoReplica, "this host has lost its way to the targets")
	for _, status := range []int{408, 421, 429, 503} {
		for own, passedOn := range map[*fault.Error]bool{ran: false, notRun: true} {
			f := newFailoverFixture(t)
			f.answers["h01"] = &relay.Answer{Status: status}
			f.AnswerLocally = func(context.Context, *relay.Request) *relay.Answer {
				f.SetFailoverHosts(f.hosts())
				return &relay.Answer{Fault: own, PathLost: true, AttemptsUsed: 1}
			}
			a := f.request("/any/x")
			require.Equal(t, []string{"h01"}, f.asked)
			if passedOn {
				require.Equal(t, status, a.Status)
				continue
			}
			require.NotNil(t, a.Fault, "status %d is a promise", status)
			require.False(t, a.Fault.NotRun())
		}
	}
}
