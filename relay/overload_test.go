package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/fault"
)

// TestRefusalsUnderOverloadDontWait guards against requests that are held for room, and refused all the same with less of their time left.
func TestRefusalsUnderOverloadDontWait(t *testing.T) {
	const decided = 5 * time.Millisecond
	withCrowd(t, func(l *fleet) {
		answers, times := l.flood(3, 1600, 2*time.Second)
		refused := 0
		for i, a := range answers {
			if a.Fault != nil && a.Fault.Kind == fault.Overload && !a.Offered {
				refused++
				require.LessOrEqual(t, times[i], decided)
				require.Positive(t, a.Fault.RetryAfter())
				require.True(t, a.Fault.NotRun())
			}
		}
		require.Positive(t, refused)
	})
}

// TestOverloadSwitchesHedgesOff guards against hedges that fill the targets' slots when these are what is short: a stalled target is hedged while there is room, and not beside much other work.
func TestOverloadSwitchesHedgesOff(t *testing.T) {
	for _, one := range []struct {
		name  string
		busy  float64
		asked int
	}{
		{name: "little other work", busy: 0.1, asked: 1},
		{name: "much other work", busy: 0.5},
	} {
		t.Run(one.name, func(t *testing.T) {
			withFleet(t, func(l *fleet) {
				l.hosts = 1
				l.fanout(10, 0.9)
				l.set("s03", 0, answers(300*time.Millisecond, "late"))
				q := l.engine.newRun(t.Context(), &Request{Host: "h", Path: "/all/1"}, l.config, l.config.Match("h", "/all/1"), time.Now())
				l.engine.load.add(groupOf(q.route, nil), int(one.busy*q.room()))
				q.cancel()
				a, _ := l.ask("/all/1")
				require.Nil(t, a.Fault)
				require.Equal(t, one.asked, l.sentTo(l.entry("s03", 1).ID))
			})
		})
	}
}

// TestRouteToAShardAloneHasItsOwnRoom guards against requests on a route to one service that are refused because queries over an index, of which it is the first shard, are under way.
func TestRouteToAShardAloneHasItsOwnRoom(t *testing.T) {
	withFleet(t, func(l *fleet) {
		l.fanout(20, 0.89)
		all := l.config.Routes[0]
		alone := all
		alone.Name, alone.Prefix, alone.Shards, alone.Top, alone.Least = "alone", "/alone/", nil, 0, 0
		alone.Shares = l.shareOf("s00")
		l.force(l.config.Services, all, alone)
		l.engine.load.add(groupOf(&all, nil), 1000)
		a, _ := l.ask("/alone/1")
		require.Nil(t, a.Fault)
	})
}
