package poison

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/roster"
	"kingcupcross/timer"
)

// hosts are registries of several hosts with one clock.
type hosts struct {
	clock      *timer.ManualClock
	registries []*Registry
}

func newHosts(n int) *hosts {
	clock, manual := timer.NewManualClock(time.Unix(1000, 0))
	h := &hosts{clock: manual}
	for range n {
		h.registries = append(h.registries, NewRegistry(clock, zap.NewNop(), tally.NoopScope))
	}
	return h
}

// maxRounds bounds the rounds of an exchange that doesn't end.
const maxRounds = 100

// exchange tells all hosts at the same time what each has changed, until no host has anything new, and returns the number of rounds.
func (h *hosts) exchange() int {
	for round := range maxRounds {
		changed := false
		told := make([][]Record, len(h.registries))
		for i, r := range h.registries {
			told[i] = r.TakeChanged()
			changed = changed || len(told[i]) > 0
		}
		if !changed {
			return round
		}
		for i, records := range told {
			for k, other := range h.registries {
				if k != i {
					other.Learn(records)
				}
			}
		}
	}
	return maxRounds
}

// states returns the state of a request at each host.
func (h *hosts) states(d Digest) (all []State) {
	for _, r := range h.registries {
		all = append(all, r.State(d))
	}
	return all
}

// recordEnds records targets that have ended under a request, some of them in trials that are proven, and returns its state.
func recordEnds(h *hosts, r *Registry, d Digest, ended, trials []roster.Process) State {
	isTrial := func(p roster.Process) bool { return slices.ContainsFunc(trials, p.Equal) }
	r.RecordCrashes(d, slices.DeleteFunc(slices.Clone(ended), isTrial), false)
	for _, p := range ended {
		if isTrial(p) {
			h.clock.Advance(firstPause)
			r.RecordCrashes(d, []roster.Process{p}, true)
			r.Prove(d, p)
		}
	}
	return r.State(d)
}

func digest(n int) Digest { return DigestOf("GET", "h", fmt.Sprint("/", n), "", nil) }

func targets(ids ...string) (all []roster.Process) {
	for _, id := range ids {
		all = append(all, roster.Process{ID: id, Born: time.Unix(5, 0)})
	}
	return all
}

// TestQuarantineNeedsSeveralEndsAndATrial guards against a request being refused because it was in flight where targets ended for another reason.
func TestQuarantineNeedsSeveralEndsAndATrial(t *testing.T) {
	for _, tc := range []struct {
		name          string
		ended, trials []string
		quarantined   bool
	}{
		{name: "one end", ended: []string{"a"}},
		{name: "one end in a trial", ended: []string{"a"}, trials: []string{"a"}},
		{name: "two ends, one in a trial", ended: []string{"a", "b"}, trials: []string{"b"}},
		{name: "the same end again", ended: []string{"a", "a", "a"}, trials: []string{"a"}},
		{name: "many ends, none in a trial", ended: []string{"a", "b", "c", "d", "e"}},
		{name: "three ends, one in a trial", ended: []string{"a", "b", "c"}, trials: []string{"c"}, quarantined: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHosts(1)
			r := h.registries[0]
			state := recordEnds(h, r, digest(1), targets(tc.ended...), targets(tc.trials...))
			require.Equal(t, tc.quarantined, state == Quarantined)
			require.Equal(t, state, r.State(digest(1)))
			require.Equal(t, Harmless, r.State(digest(2)))
		})
	}
}

// TestEndsAtSeveralHostsAddUp guards against each host losing targets of its own to the same request.
func TestEndsAtSeveralHostsAddUp(t *testing.T) {
	h := newHosts(3)
	require.Equal(t, Suspect, recordEnds(h, h.registries[0], digest(1), targets("a"), nil))
	h.exchange()
	require.Equal(t, []State{Suspect, Suspect, Suspect}, h.states(digest(1)))
	require.Equal(t, Suspect, recordEnds(h, h.registries[1], digest(1), targets("b"), targets("b")))
	h.exchange()
	require.Equal(t, Quarantined, recordEnds(h, h.registries[2], digest(1), targets("c"), targets("c")))
	require.LessOrEqual(t, h.exchange(), 3, "hosts must not tell each other the same again")
	require.Equal(t, []State{Quarantined, Quarantined, Quarantined}, h.states(digest(1)))
}

// TestAnswerEndsQuarantineEverywhere guards against a wrong verdict that stands, and against reports from before the answer bringing it back.
func TestAnswerEndsQuarantineEverywhere(t *testing.T) {
	h := newHosts(3)
	recordEnds(h, h.registries[0], digest(1), targets("a", "b", "c"), targets("c"))
	late := h.registries[0].Records()
	h.exchange()
	h.clock.Advance(time.Second)
	h.registries[2].Clear(digest(1))
	h.exchange()
	require.Equal(t, []State{Harmless, Harmless, Harmless}, h.states(digest(1)))
	for i := range late {
		late[i].QuarantineAge += time.Second
		for k := range late[i].Crashes {
			late[i].Crashes[k].Age += time.Second
		}
	}
	h.registries[1].Learn(late)
	h.exchange()
	require.Equal(t, []State{Harmless, Harmless, Harmless}, h.states(digest(1)))
	// Later ends count as before.
	h.clock.Advance(time.Second)
	require.Equal(t, Quarantined, recordEnds(h, h.registries[1], digest(1), targets("d", "e", "f"), targets("f")))
	h.exchange()
	require.Equal(t, []State{Quarantined, Quarantined, Quarantined}, h.states(digest(1)))
}

// TestQuarantineEndsAndGrows guards against a quarantine without end, and against a deadly request costing targets as often later as at first.
func TestQuarantineEndsAndGrows(t *testing.T) {
	h := newHosts(3)
	recordEnds(h, h.registries[0], digest(1), targets("a", "b", "c"), targets("c"))
	h.exchange()
	length := firstQuarantine
	for n := range 4 {
		h.clock.Advance(length - time.Second)
		require.Equal(t, []State{Quarantined, Quarantined, Quarantined}, h.states(digest(1)), n)
		h.clock.Advance(time.Duration(quarantineJitter*float64(length)) + 2*time.Second)
		require.Equal(t, []State{Suspect, Suspect, Suspect}, h.states(digest(1)), n)
		next := targets(fmt.Sprint("next", n))
		require.Equal(t, Quarantined, recordEnds(h, h.registries[n%3], digest(1), next, next))
		h.exchange()
		length = min(length*quarantineFactor, maxQuarantine)
	}
	h.clock.Advance(4*maxQuarantine + suspectRetention)
	for _, r := range h.registries {
		r.Prune()
		require.True(t, r.Empty())
	}
}

// TestSharedEndsAreExplained guards against a request that shared targets with a deadly one staying a suspect once that one is known, wherever either is found out.
func TestSharedEndsAreExplained(t *testing.T) {
	h := newHosts(2)
	recordEnds(h, h.registries[0], digest(1), targets("a", "b"), nil)
	recordEnds(h, h.registries[1], digest(2), targets("a", "b"), targets("b"))
	h.exchange()
	require.Equal(t, []State{Suspect, Suspect}, h.states(digest(2)))
	require.Equal(t, Quarantined, recordEnds(h, h.registries[0], digest(1), targets("c"), targets("c")))
	h.exchange()
	require.Equal(t, []State{Quarantined, Quarantined}, h.states(digest(1)))
	require.Equal(t, []State{Harmless, Harmless}, h.states(digest(2)))
	recordEnds(h, h.registries[1], digest(2), targets("c"), targets("c"))
	require.Equal(t, Harmless, h.registries[1].State(digest(2)))
}

// TestRegistryIsBounded guards against a caller filling the memory of hosts with suspects, or driving out a quarantine that way.
func TestRegistryIsBounded(t *testing.T) {
	h := newHosts(1)
	r := h.registries[0]
	recordEnds(h, r, digest(0), targets("a", "b", "c"), targets("c"))
	for n := range 3 * maxRecords {
		recordEnds(h, r, digest(n+1), targets(fmt.Sprint("x", n)), nil)
	}
	for n := range 3 * maxCrashes {
		recordEnds(h, r, digest(3*maxRecords), targets(fmt.Sprint("y", n)), nil)
	}
	require.Len(t, r.Records(), maxRecords)
	require.Equal(t, Quarantined, r.State(digest(0)))
	all := Records{Records: r.Records()}
	require.NoError(t, all.Validate())
}

// TestInvalidRecordsAreIgnored guards against a damaged message of another host quarantining requests.
func TestInvalidRecordsAreIgnored(t *testing.T) {
	valid := Record{Digest: digest(1), Quarantines: 1, Remaining: time.Minute}
	for name, change := range map[string]func(*Record){
		"negative count":     func(r *Record) { r.Quarantines = -1 },
		"too many":           func(r *Record) { r.Quarantines = maxQuarantines + 1 },
		"negative age":       func(r *Record) { r.QuarantineAge = -1 },
		"negative remaining": func(r *Record) { r.Remaining = -1 },
		"too long":           func(r *Record) { r.Remaining = maxRemaining + 1 },
		"crash without id":   func(r *Record) { r.Crashes = []Crash{{}} },
		"crash to come":      func(r *Record) { r.Crashes = []Crash{{Target: targets("a")[0], Age: -1}} },
		"too many crashes":   func(r *Record) { r.Crashes = make([]Crash, maxCrashes+1) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHosts(1)
			r := h.registries[0]
			invalid := valid
			change(&invalid)
			r.Learn([]Record{invalid})
			require.True(t, r.Empty())
			r.Learn([]Record{valid})
			require.Equal(t, Quarantined, r.State(digest(1)))
		})
	}
}

// TestAnsweredRequestsAreNoSuspects guards against copies of a popular request being refused because one of them ran at targets that another request ended.
func TestAnsweredRequestsAreNoSuspects(t *testing.T) {
	for _, answerer := range []int{0, 1} {
		h := newHosts(2)
		h.registries[answerer].NoteAnswered(digest(1))
		h.clock.Advance(time.Second)
		recordEnds(h, h.registries[0], digest(1), targets("a", "b", "c"), nil)
		h.exchange()
		require.Equal(t, []State{Harmless, Harmless}, h.states(digest(1)))
		// Without another answer the next ends count.
		h.clock.Advance(time.Second)
		recordEnds(h, h.registries[0], digest(1), targets("d"), nil)
		h.exchange()
		require.Equal(t, []State{Suspect, Suspect}, h.states(digest(1)))
		// An answer from before a trial doesn't outweigh it.
		recordEnds(h, h.registries[0], digest(1), targets("e", "f"), targets("f"))
		h.exchange()
		require.Equal(t, []State{Quarantined, Quarantined}, h.states(digest(1)))
	}
}

// TestAnsweredSetIsBounded guards against the memory of answered requests growing with their number.
func TestAnsweredSetIsBounded(t *testing.T) {
	h := newHosts(1)
	r := h.registries[0]
	for n := range 5 * maxAnswered {
		r.NoteAnswered(digest(n))
	}
	require.LessOrEqual(t, len(r.answered.current)+len(r.answered.previous), 2*maxAnswered)
	recordEnds(h, r, digest(0), targets("a"), nil)
	require.Equal(t, Suspect, r.State(digest(0)))
	recordEnds(h, r, digest(5*maxAnswered-1), targets("a"), nil)
	require.Equal(t, Harmless, r.State(digest(5*maxAnswered-1)))
}

// TestManyCrashesAreToldOnce guards against hosts that have recorded different crashes of one request telling each other without end.
func TestManyCrashesAreToldOnce(t *testing.T) {
	h := newHosts(4)
	for i, r := range h.registries {
		var ids []string
		for n := range 2 * maxCrashes {
			ids = append(ids, fmt.Sprint(i, "/", n))
		}
		recordEnds(h, r, digest(1), targets(ids...), targets(ids[0]))
	}
	require.LessOrEqual(t, h.exchange(), 3)
	h.clock.Advance(2 * firstQuarantine)
	require.Equal(t, Suspect, h.registries[1].State(digest(1)))
	require.Equal(t, Quarantined, recordEnds(h, h.registries[1], digest(1), targets("next"), targets("next")))
	require.LessOrEqual(t, h.exchange(), 3)
	require.Equal(t, []State{Quarantined, Quarantined, Quarantined, Quarantined}, h.states(digest(1)))
}
