package relay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/fault"
	"kingcupcross/roster"
)

// entry returns the n-th target of a service.
func (l *fleet) entry(service string, n int) *roster.Entry {
	return l.known().Services[service][n]
}

// says has a target say something of itself now.
func (l *fleet) says(service string, n int, w Word) {
	l.engine.hear(l.entry(service, n), w)
}

// restart replaces a target by one that started later under the same id.
func (l *fleet) restart(service string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.view.Listing()
	p.Revision++
	id := l.view.Services[service][n].ID
	for i := range p.Targets {
		if p.Targets[i].ID == id {
			p.Targets[i].Born, p.Targets[i].Revision = time.Now(), p.Revision
		}
	}
	l.view = l.view.Merge(p, time.Now(), time.Time{})
}

const leaveBound = 5 * time.Second

// TestAllTargetsOfAShardSayThatTheyLeave has them go on for most of the bound, as nothing else can answer, and never after it; a target of that id which starts later has said nothing.
func TestAllTargetsOfAShardSayThatTheyLeave(t *testing.T) {
	withFleet(t, func(l *fleet) {
		l.engine.limits.Leave = leaveBound
		l.one(true, 2)
		first, second := l.add("one", 0, nil), l.add("one", 1, nil)
		l.says("one", 0, Word{Leaving: true})
		l.says("one", 1, Word{Leaving: true})
		for range 10 {
			a, _ := l.ask("/one/1")
			require.Nil(t, a.Fault)
		}
		time.Sleep(leaveBound)
		sent := l.sent()
		a, took := l.ask("/one/1")
		require.Equal(t, fault.NoReplica, a.Fault.Kind)
		require.Zero(t, took)
		require.Equal(t, sent, l.sent())
		l.engine.Forget()
		l.restart("one", 1)
		a, _ = l.ask("/one/1")
		require.Nil(t, a.Fault)
		require.Equal(t, 1, l.sent()-sent)
		require.Equal(t, sent, l.sentTo(first)+l.sentTo(second)-1)
	})
}

// TestLeavingTargetIsNoSecondChoice sends no hedge to a target that says that it leaves while another one holds the shard, however slow that is.
func TestLeavingTargetIsNoSecondChoice(t *testing.T) {
	withFleet(t, func(l *fleet) {
		l.engine.limits.Leave = leaveBound
		l.one(true, 3)
		l.add("one", 0, answers(100*time.Millisecond, "slow"))
		second := l.add("one", 0, nil)
		l.says("one", 1, Word{Leaving: true})
		a, _ := l.ask("/one/1")
		require.Nil(t, a.Fault)
		require.Zero(t, l.sentTo(second))
	})
}

// TestLeavingOutlastsTheStoresEntry guards against a target that said that it leaves being used again because its entry went, while the store was away, and came back.
func TestLeavingOutlastsTheStoresEntry(t *testing.T) {
	withFleet(t, func(l *fleet) {
		l.one(true, 2)
		first := l.add("one", 0, nil)
		second := l.add("one", 1, nil)
		kept := l.known()
		l.says("one", 0, Word{Leaving: true})
		l.leave(first, false)
		l.engine.Forget()
		l.mu.Lock()
		l.view = kept
		l.mu.Unlock()
		l.engine.Forget()
		a, _ := l.ask("/one/1")
		require.Nil(t, a.Fault)
		require.Zero(t, l.sentTo(first))
		require.Equal(t, 1, l.sentTo(second))
	})
}

// TestOtherHostHeardIt takes what another host heard of a target, and tells it on with its age.
func TestOtherHostHeardIt(t *testing.T) {
	withFleet(t, func(l *fleet) {
		l.one(true, 2)
		first := l.add("one", 0, nil)
		l.add("one", 1, nil)
		l.engine.Learn([]roster.Leaver{{ID: first, Age: time.Second}})
		a, _ := l.ask("/one/1")
		require.Nil(t, a.Fault)
		require.Zero(t, l.sentTo(first))
		require.Empty(t, a.Leavers, "callers aren't told")
		a = l.engine.Handle(context.Background(), &Request{ID: "q", Host: "h", Path: "/one/1", Left: deadline, Origin: "other"})
		require.Len(t, a.Leavers, 1)
		require.GreaterOrEqual(t, a.Leavers[0].Age, time.Second)
		time.Sleep(toldAge)
		require.Empty(t, l.engine.Leavers())
		require.True(t, l.engine.Leaving(l.entry("one", 0)))
	})
}

// TestLeavingIsSaidByAnotherTarget blames the one that took over the address, not the one that was asked.
func TestLeavingIsSaidByAnotherTarget(t *testing.T) {
	withFleet(t, func(l *fleet) {
		l.one(true, 2)
		l.add("one", 0, nil)
		second := l.add("one", 1, nil)
		l.says("one", 0, Word{Leaving: true, Other: second})
		require.False(t, l.engine.Leaving(l.entry("one", 0)))
		require.True(t, l.engine.Leaving(l.entry("one", 1)))
		l.says("one", 0, Word{Leaving: true, Other: "nobody"})
		require.False(t, l.engine.Leaving(l.entry("one", 0)))
	})
}

// TestQuietShards refuses at once, with when the first of them may be asked again, what needs shards all of whose targets want nothing.
func TestQuietShards(t *testing.T) {
	withFleet(t, func(l *fleet) {
		l.fanout(20, 0.89)
		for n := range 2 {
			for _, s := range []string{"s00", "s01", "s02"} {
				l.says(s, n, Word{Quiet: 10 * time.Second})
			}
		}
		a, took := l.ask("/all/1")
		require.Equal(t, fault.NoReplica, a.Fault.Kind)
		require.Zero(t, took)
		require.Zero(t, l.sent())
		require.InDelta(t, 10, a.Fault.RetryAfter().Seconds(), 0.6)
		l.restart("s00", 0)
		a, _ = l.ask("/all/1")
		require.Nil(t, a.Fault)
		require.Equal(t, 2, a.Missing)
	})
}

// TestQuietTargetComesBackSlowly gives it one request at a time at first, later for some hosts than for others, and never before its time.
func TestQuietTargetComesBackSlowly(t *testing.T) {
	withFleet(t, func(l *fleet) {
		l.one(true, 2)
		id := l.add("one", 0, answers(50*time.Millisecond, "x"))
		l.says("one", 0, Word{Quiet: 4 * time.Second})
		l.says("one", 0, Word{Quiet: time.Second})
		began := time.Now()
		for l.sentTo(id) == 0 {
			l.ask("/one/1")
			time.Sleep(10 * time.Millisecond)
		}
		require.GreaterOrEqual(t, time.Since(began), 4*time.Second)
		require.Less(t, time.Since(began), 4*time.Second+returnMost+aim)
		together := make(chan *Answer)
		for range 5 {
			go func() {
				a, _ := l.ask("/one/1")
				together <- a
			}()
		}
		whole := 0
		for range 5 {
			if a := <-together; a.Fault == nil {
				whole++
			}
		}
		require.Equal(t, 1, whole)
	})
}

// TestGroupThatTargetsRefused is paid for when its shards are asked for again: the targets have had them once already.
func TestGroupThatTargetsRefused(t *testing.T) {
	for _, one := range []struct {
		name    string
		status  int
		offered bool
		spent   float64
	}{
		{name: "refused by targets", status: http.StatusServiceUnavailable, offered: true, spent: 1},
		{name: "not offered", status: http.StatusServiceUnavailable},
		{name: "no room", status: http.StatusTooManyRequests},
	} {
		t.Run(one.name, func(t *testing.T) {
			withFleet(t, func(l *fleet) {
				l.regional(func(*Request) (*Answer, error) {
					return &Answer{Status: one.status, Offered: one.offered}, nil
				})
				part := []*part{{service: "s01"}}
				before := l.engine.budgets.least(part)
				a, _ := l.ask("/all/1")
				require.Nil(t, a.Fault)
				require.InDelta(t, one.spent, before-l.engine.budgets.least(part), 0.2)
			})
		})
	}
}

// TestGroupLacksAsManyAsTheWhole guards against a group of shards that is given up on although the whole query can do without those that are missing.
func TestGroupLacksAsManyAsTheWhole(t *testing.T) {
	withFleet(t, func(l *fleet) {
		l.fanout(40, 0.9)
		for _, s := range []string{"s00", "s01", "s02", "s03"} {
			l.set(s, 0, closed)
			l.set(s, 1, closed)
		}
		r := &Request{ID: "q", Host: "h", Path: "/all/1", Left: deadline, Version: l.config.Version}
		for i := range 20 {
			r.Shards = append(r.Shards, i)
		}
		a := l.engine.Handle(context.Background(), r)
		require.Nil(t, a.Fault)
		require.Len(t, a.Signatures, 16)
		l.set("s04", 0, closed)
		l.set("s04", 1, closed)
		require.NotNil(t, l.engine.Handle(context.Background(), r).Fault)
	})
}
