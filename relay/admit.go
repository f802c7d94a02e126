package relay

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"kingcupcross/fault"
	"kingcupcross/route"
)

const (
	// lessUrgent is the part of the room that requests of less urgent routes may fill, so that urgent ones find some.
	lessUrgent = 0.9
	// leastRoom is the number of requests at once that a host lets in whatever its share is.
	leastRoom = 2
	// comeBack is the time after which a caller finds room again, if the load doesn't last: that of a few answers.
	comeBack = 150 * time.Millisecond
)

// load counts the sub-requests under way to groups of services that are not overdue: those that are wait for a target, not for room.
type load struct {
	mu     sync.Mutex
	groups map[string]int
	// pace is the part of its room that each group may fill now.
	pace map[string]float64
}

const (
	// leastPace bounds how far late answers take a group's room down.
	leastPace = 0.2
	// latePace is the factor of a late answer, timelyPace what an answer in time adds.
	latePace   = 0.9
	timelyPace = 0.005
)

// learn takes the outcome of a request: where answers come late, more at once only makes more of them late.
func (l *load) learn(group string, late bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pace == nil {
		l.pace = map[string]float64{}
	}
	pace, known := l.pace[group]
	if !known {
		pace = 1
	}
	if late {
		l.pace[group] = max(pace*latePace, leastPace)
	} else {
		l.pace[group] = min(pace+timelyPace, 1)
	}
}

// slowShare is the part of the latency objective from which usual replies are slow: half of the time is spent waiting then.
const slowShare = 0.4

// congested reports whether the request's targets had too much to do: they refused some of it, or most replies took long. Targets that are silent while the others answer as always are no reason to let in less.
func (q *run) congested() bool {
	if q.sheds > 0 {
		return true
	}
	if len(q.times) == 0 {
		return false
	}
	slices.Sort(q.times)
	return q.times[len(q.times)/2] > time.Duration(slowShare*float64(q.route.Aim))
}

func (l *load) paceOf(group string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if pace, known := l.pace[group]; known {
		return pace
	}
	return 1
}

// keep forgets the groups that known doesn't name.
func (l *load) keep(known func(string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.pace, func(g string, _ float64) bool { return !known(strings.TrimPrefix(g, shardsOf)) })
}

// shardsOf begins the name of a group of shards, which tells it from that of a route to the first of them alone.
const shardsOf = "shards of "

// groupOf names the services that share their room: all shards of an index, or one service.
func groupOf(r *route.Route, p *part) string {
	if r.Fanout() {
		return shardsOf + r.Shards[0]
	}
	return p.service
}

// read returns the number of sub-requests of a group under way.
func (l *load) read(group string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.groups[group]
}

func (l *load) add(group string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.groups == nil {
		l.groups = map[string]int{}
	}
	if l.groups[group] += n; l.groups[group] == 0 {
		delete(l.groups, group)
	}
}

// enter takes room for n sub-requests of a group, unless they would be more than room with those under way; a group with none under way has room for any. It returns the number under way.
func (l *load) enter(group string, n int, room float64) (busy int, entered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	busy = l.groups[group]
	if busy > 0 && float64(busy+n) > room {
		return busy, false
	}
	if l.groups == nil {
		l.groups = map[string]int{}
	}
	l.groups[group] = busy + n
	return busy, true
}

// loadOne counts one sub-request as load, from the room that the request has reserved while there is some.
func (q *run) loadOne(p *part) {
	if q.reserved > 0 {
		q.reserved--
		return
	}
	q.engine.load.add(groupOf(q.route, p), 1)
}

// freeRoom gives back the room that no sub-request has taken.
func (q *run) freeRoom() {
	if q.reserved > 0 {
		q.engine.load.add(groupOf(q.route, q.parts[0]), -q.reserved)
		q.reserved = 0
	}
}

// depth is the number of sub-requests for each slot of a target that all hosts together have under way at most, if no answer is late: one that runs, one that is on its way, and what a target queues.
const depth = 10

// room returns the number of sub-requests at once that this host may have at a request's services: its share of what their targets work on in good time.
func (q *run) room() float64 {
	total := 0.0
	now := q.engine.clock.Now()
	for _, p := range q.parts {
		for _, t := range q.engine.serving(p.service, now) {
			total += float64(depth * t.Slots)
		}
	}
	return total * q.engine.beliefs.Room()
}

// unlimitedConns stands for a service that doesn't state how many connections its targets accept.
const unlimitedConns = 1 << 20

// conns returns the number of sub-requests that this host may have under way at one target.
func (e *Engine) conns(s route.Service) int {
	if s.Conns <= 0 {
		return unlimitedConns
	}
	return max(1, int(float64(s.Conns)*e.beliefs.Share()))
}

// urgent reports whether no route that shares the room is more urgent.
func (q *run) urgent() bool {
	group := groupOf(q.route, q.parts[0])
	for i := range q.config.Routes {
		if r := &q.config.Routes[i]; r.Priority < q.route.Priority && uses(r, group) {
			return false
		}
	}
	return true
}

// uses reports whether a route's requests take room of a group.
func uses(r *route.Route, group string) bool {
	if r.Fanout() {
		return groupOf(r, nil) == group
	}
	return slices.ContainsFunc(r.Shares, func(s route.WeightedService) bool { return s.Service == group })
}

// admit takes room for the request or refuses it at once, with when to come back: a wait would only take from the time that the caller has left.
func (q *run) admit() *fault.Error {
	e := q.engine
	group := groupOf(q.route, q.parts[0])
	q.allowed = max(q.room()*e.load.paceOf(group), float64(leastRoom*len(q.parts)))
	room := q.allowed
	if !q.urgent() {
		room *= lessUrgent
	}
	busy, entered := e.load.enter(group, len(q.parts), room)
	if !entered {
		e.scope.Counter("without_room").Inc(1)
		return fault.New(fault.Overload, "%d sub-requests are under way, there is room for %.0f", busy, room).WithRetry(comeBack)
	}
	q.reserved = len(q.parts)
	return nil
}
