package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/roster"
)

// exchangeSlowly is exchange with messages that take time, which makes all that they tell seem later.
func (h *hosts) exchangeSlowly(transit time.Duration) int {
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
			h.clock.Advance(transit)
			for k, other := range h.registries {
				if k != i {
					other.Learn(records)
				}
			}
		}
	}
	return maxRounds
}

// TestAnswerToACopyInFlightEndsTheQuarantine guards against a wrong quarantine that goes on although a copy which ran when it began is answered.
func TestAnswerToACopyInFlightEndsTheQuarantine(t *testing.T) {
	h := newHosts(3)
	recordEnds(h, h.registries[0], digest(1), targets("a", "b", "c"), targets("c"))
	h.exchange()
	require.Equal(t, []State{Quarantined, Quarantined, Quarantined}, h.states(digest(1)))
	h.clock.Advance(time.Millisecond)
	h.registries[2].NoteAnswered(digest(1))
	h.exchange()
	require.Equal(t, []State{Harmless, Harmless, Harmless}, h.states(digest(1)))
}

// TestCrashesAndAnswersAtTheSameTimeAreToldOnce guards against hosts that tell each other without end of crashes and of the answer that refutes them, because each message makes either seem later than the other.
func TestCrashesAndAnswersAtTheSameTimeAreToldOnce(t *testing.T) {
	h := newHosts(5)
	for i, r := range h.registries {
		r.RecordCrashes(digest(1), targets([]string{"a", "b", "c", "d", "e"}[i], "f"), false)
		h.clock.Advance(time.Millisecond)
	}
	h.registries[3].NoteAnswered(digest(1))
	h.registries[4].RecordCrashes(digest(1), targets("g"), false)
	require.Less(t, h.exchangeSlowly(5*time.Millisecond), 10)
}

// TestLateReportOfARefutedCrashIsIgnored guards against a page becoming a suspect again at hosts that hear of the crash after they have heard of the answer.
func TestLateReportOfARefutedCrashIsIgnored(t *testing.T) {
	h := newHosts(3)
	recordEnds(h, h.registries[0], digest(1), targets("a", "b"), nil)
	late := h.registries[0].Records()
	h.registries[1].Learn(late)
	h.clock.Advance(time.Millisecond)
	h.registries[1].NoteAnswered(digest(1))
	cleared := h.registries[1].TakeChanged()
	h.registries[2].Learn(cleared)
	h.clock.Advance(50 * time.Millisecond)
	// The report took so long that the crash seems to be the later one.
	h.registries[1].Learn(late)
	require.Equal(t, Harmless, h.registries[1].State(digest(1)))
	for i := range late[0].Crashes {
		late[0].Crashes[i].Age += 51 * time.Millisecond
	}
	h.registries[2].Learn(late)
	require.Equal(t, Harmless, h.registries[2].State(digest(1)))
}

// TestEachQuarantineNeedsATrialOfItsOwn guards against the short first quarantine being followed by a long one because further targets ended for another reason.
func TestEachQuarantineNeedsATrialOfItsOwn(t *testing.T) {
	h := newHosts(1)
	registry := h.registries[0]
	recordEnds(h, registry, digest(1), targets("a", "b", "c"), targets("c"))
	first := registry.QuarantineRemaining(digest(1))
	require.LessOrEqual(t, first, 2*firstQuarantine)
	h.clock.Advance(2 * firstQuarantine)
	require.Equal(t, Suspect, registry.RecordCrashes(digest(1), targets("d", "e"), true))
	require.Equal(t, Quarantined, registry.Prove(digest(1), targets("e")[0]))
	require.GreaterOrEqual(t, registry.QuarantineRemaining(digest(1)), quarantineFactor*firstQuarantine)
}

// TestTwoProvenTrialsSkipTheFirstQuarantine guards against a deadly request that may not be repeated, each copy of which ends one target, taking a fourth one after two or three seconds.
func TestTwoProvenTrialsSkipTheFirstQuarantine(t *testing.T) {
	h := newHosts(1)
	r := h.registries[0]
	r.RecordCrashes(digest(1), targets("a"), false)
	for i, p := range targets("b", "c") {
		h.clock.Advance(2 * firstPause)
		r.RecordCrashes(digest(1), []roster.Process{p}, true)
		require.Equal(t, i == 1, r.Prove(digest(1), p) == Quarantined)
	}
	require.GreaterOrEqual(t, r.QuarantineRemaining(digest(1)), quarantineFactor*firstQuarantine)
}

// TestUnprovenTrialsCountTowardsTheFirstQuarantine guards against a deadly request taking a target more, after two or three seconds, because a trial before the proven one had ended a target under another request as well. A page whose trials were all hit by something else doesn't wait longer than after one.
func TestUnprovenTrialsCountTowardsTheFirstQuarantine(t *testing.T) {
	for _, unproven := range []int{0, 1, 4} {
		h := newHosts(1)
		r := h.registries[0]
		r.RecordCrashes(digest(1), targets("a", "b"), false)
		for n := range unproven {
			h.clock.Advance(maxPause)
			r.RecordCrashes(digest(1), targets(fmt.Sprint("unproven ", n)), true)
		}
		h.clock.Advance(maxPause)
		r.RecordCrashes(digest(1), targets("proven"), true)
		require.Equal(t, Quarantined, r.Prove(digest(1), targets("proven")[0]))
		length := quarantineLength(1 + min(unproven, 1))
		require.GreaterOrEqual(t, r.QuarantineRemaining(digest(1)), length)
		require.LessOrEqual(t, r.QuarantineRemaining(digest(1)), length+length/2)
	}
}

// TestSharedEndProvesNothing guards against a caller who has a page of others refused by crashing its targets with requests of its own while the page is being tried.
func TestSharedEndProvesNothing(t *testing.T) {
	h := newHosts(2)
	recordEnds(h, h.registries[0], digest(1), targets("a", "b"), nil)
	h.clock.Advance(firstPause)
	h.registries[0].RecordCrashes(digest(1), targets("c"), true)
	h.registries[1].RecordCrashes(digest(2), targets("c"), false)
	h.exchange()
	require.Equal(t, Suspect, h.registries[0].Prove(digest(1), targets("c")[0]))
	// An answer to the other one leaves this one as the cause.
	h.clock.Advance(time.Millisecond)
	h.registries[1].NoteAnswered(digest(2))
	h.exchange()
	require.Equal(t, Quarantined, h.registries[0].Prove(digest(1), targets("c")[0]))
}

// TestTrialRightAfterOtherEndsProvesNothing guards against a page being quarantined because a trial of it was part of the event in which its first targets ended.
func TestTrialRightAfterOtherEndsProvesNothing(t *testing.T) {
	for _, gap := range []time.Duration{firstPause / 2, firstPause} {
		h := newHosts(1)
		r := h.registries[0]
		r.RecordCrashes(digest(1), targets("a", "b"), false)
		h.clock.Advance(gap)
		r.RecordCrashes(digest(1), targets("c"), true)
		require.Equal(t, gap >= firstPause, r.Prove(digest(1), targets("c")[0]) == Quarantined)
	}
}

// TestProofAfterAnAnswerHasNoEffect guards against a check that ends after an answer quarantining the request all the same.
func TestProofAfterAnAnswerHasNoEffect(t *testing.T) {
	h := newHosts(1)
	r := h.registries[0]
	recordEnds(h, r, digest(1), targets("a", "b", "c"), nil)
	h.clock.Advance(time.Millisecond)
	r.NoteAnswered(digest(1))
	require.Equal(t, Harmless, r.Prove(digest(1), targets("c")[0]))
	require.Equal(t, Harmless, r.State(digest(1)))
}

// TestSuspectIsTriedByOneHost guards against each host losing a target of its own to a suspect at the end of the same pause.
func TestSuspectIsTriedByOneHost(t *testing.T) {
	h := newHosts(3)
	recordEnds(h, h.registries[0], digest(1), targets("a", "b"), nil)
	h.exchange()
	wait, begun := h.registries[1].BeginTrial(digest(1), 2)
	require.False(t, begun)
	require.GreaterOrEqual(t, wait, firstPause)
	require.LessOrEqual(t, wait, 2*firstPause)
	h.clock.Advance(2 * firstPause)
	_, begun = h.registries[1].BeginTrial(digest(1), 2)
	require.True(t, begun)
	h.registries[1].ClaimTrial(digest(1))
	require.LessOrEqual(t, h.exchange(), 3)
	for _, r := range h.registries {
		_, begun := r.BeginTrial(digest(1), 2)
		require.False(t, begun)
	}
	// A host that has ended meanwhile keeps no other one from trying.
	h.clock.Advance(claimPeriod)
	_, begun = h.registries[2].BeginTrial(digest(1), 2)
	require.True(t, begun)
}

// TestTrialIsToldWhereManyTargetsHaveEnded guards against each host trying a deadly request in turn without a pause after it has ended more targets than are remembered, because the hosts don't take over that another one's trial has ended a target.
func TestTrialIsToldWhereManyTargetsHaveEnded(t *testing.T) {
	h := newHosts(4)
	for i, r := range h.registries {
		var ids []string
		for n := range maxCrashes {
			ids = append(ids, fmt.Sprint(i, "/", n))
		}
		r.RecordCrashes(digest(1), targets(ids...), false)
	}
	require.LessOrEqual(t, h.exchangeSlowly(time.Millisecond), 3)
	for n := range 3 * maxCrashes {
		h.clock.Advance(2 * maxPause)
		tried := targets(fmt.Sprint("trial ", n))
		h.registries[n%4].RecordCrashes(digest(1), tried, true)
		require.LessOrEqual(t, h.exchangeSlowly(time.Millisecond), 3)
		for i, r := range h.registries {
			wait, begun := r.BeginTrial(digest(1), 2)
			require.False(t, begun, "trial %d, host %d", n, i)
			require.Positive(t, wait)
			require.LessOrEqual(t, len(r.Crashed(digest(1))), maxCrashes)
			require.Contains(t, r.Crashed(digest(1)), tried[0])
		}
		// What a host has dropped doesn't come back with the reminders of others.
		for i, r := range h.registries {
			h.registries[(i+1)%4].Learn(r.Records())
		}
		require.LessOrEqual(t, h.exchangeSlowly(time.Millisecond), 1)
	}
}

// TestTrialClaimedByTwoHostsIsSentByOne guards against two hosts that claim a trial at the same moment both sending it, or neither.
func TestTrialClaimedByTwoHostsIsSentByOne(t *testing.T) {
	for range 20 {
		h := newHosts(4)
		recordEnds(h, h.registries[0], digest(1), targets("a", "b"), nil)
		h.exchange()
		h.clock.Advance(2 * firstPause)
		for _, r := range h.registries[1:] {
			_, begun := r.BeginTrial(digest(1), 2)
			require.True(t, begun)
			r.ClaimTrial(digest(1))
		}
		require.LessOrEqual(t, h.exchangeSlowly(time.Millisecond), 6)
		kept := 0
		for _, r := range h.registries[1:] {
			if r.KeepsClaim(digest(1)) {
				kept++
				continue
			}
			r.EndTrial(digest(1))
			_, begun := r.BeginTrial(digest(1), 2)
			require.False(t, begun)
		}
		require.Equal(t, 1, kept)
	}
}

// TestTrialsOfAnUnansweredRequestBecomeRare guards against a deadly request taking a target with each trial while targets end for another reason as well, which keeps its trials from proving anything.
func TestTrialsOfAnUnansweredRequestBecomeRare(t *testing.T) {
	for _, answered := range []bool{false, true} {
		h := newHosts(1)
		r := h.registries[0]
		if answered {
			r.NoteAnswered(digest(1))
			r.RecordCrashes(digest(1), targets("x"), false)
		}
		r.RecordCrashes(digest(1), targets("a", "b", "c"), false)
		trials := 0
		for n := range 200 {
			h.clock.Advance(100 * time.Millisecond)
			if _, begun := r.BeginTrial(digest(1), 2); begun {
				trials++
				r.RecordCrashes(digest(1), targets(fmt.Sprint("trial ", n)), true)
				r.EndTrial(digest(1))
			}
		}
		if answered {
			// A page that was answered lately waits no longer each time.
			require.Greater(t, trials, 10)
		} else {
			require.LessOrEqual(t, trials, 6)
		}
	}
}

// TestRetriesOfAnEarlierVersionProveNothing guards against a page being quarantined here because a host of an earlier version takes a retry for a trial.
func TestRetriesOfAnEarlierVersionProveNothing(t *testing.T) {
	h := newHosts(1)
	record := Record{Digest: digest(1)}
	for _, p := range targets("a", "b", "c") {
		record.Crashes = append(record.Crashes, Crash{Target: p, Trial: true})
	}
	h.registries[0].Learn([]Record{record})
	require.Equal(t, Suspect, h.registries[0].State(digest(1)))
}

// longestRefusal is the longest time for which a host refuses copies after one verdict.
const longestRefusal = 30 * time.Second

// TestLongQuarantineOfAnEarlierVersionIsCutShort guards against quarantines of hosts of earlier versions, a minute without proof, half an hour or two hours, being kept here.
func TestLongQuarantineOfAnEarlierVersionIsCutShort(t *testing.T) {
	for count, remaining := range map[int]time.Duration{1: time.Minute, 2: 90 * time.Second, 3: 45 * time.Minute, 7: 2 * time.Hour} {
		h := newHosts(1)
		h.registries[0].Learn([]Record{{Digest: digest(1), Quarantines: count, Remaining: remaining}})
		require.Equal(t, Quarantined, h.registries[0].State(digest(1)))
		longest := longestRefusal
		if count == 1 {
			longest = firstQuarantine + time.Duration(quarantineJitter*float64(firstQuarantine))
		}
		h.clock.Advance(longest)
		require.NotEqual(t, Quarantined, h.registries[0].State(digest(1)))
	}
}

// TestNoVerdictLastsLongerThanSeconds guards against a page of which every trial so far was hit by something else being refused for minutes or hours: each verdict ends after seconds, and so does each pause of a suspect whose trials prove nothing.
func TestNoVerdictLastsLongerThanSeconds(t *testing.T) {
	for _, proven := range []bool{true, false} {
		h := newHosts(1)
		r := h.registries[0]
		r.RecordCrashes(digest(1), targets("a", "b", "c"), false)
		refused := time.Duration(0)
		for n := 0; n < 12; {
			h.clock.Advance(100 * time.Millisecond)
			refused += 100 * time.Millisecond
			require.LessOrEqual(t, refused, longestRefusal, "after %d trials", n)
			if r.State(digest(1)) == Quarantined {
				continue
			}
			if _, begun := r.BeginTrial(digest(1), 2); !begun {
				continue
			}
			n++
			refused = 0
			end := targets(fmt.Sprint("trial ", n))
			r.RecordCrashes(digest(1), end, true)
			if proven {
				r.Prove(digest(1), end[0])
			}
			r.EndTrial(digest(1))
		}
	}
}

// TestSuspectMayTakeTheLastTarget guards against a page being refused until the suspicion is forgotten because only one target of its service has come back.
func TestSuspectMayTakeTheLastTarget(t *testing.T) {
	h := newHosts(1)
	r := h.registries[0]
	r.RecordCrashes(digest(1), targets("a", "b"), false)
	require.False(t, r.MayTakeLastTarget(digest(1)))
	h.clock.Advance(lastTargetPause)
	require.True(t, r.MayTakeLastTarget(digest(1)))
	r.NoteAnswered(digest(1))
	h.clock.Advance(time.Second)
	r.RecordCrashes(digest(1), targets("c"), false)
	r.RecordCrashes(digest(1), targets("d"), false)
	require.Equal(t, Suspect, r.State(digest(1)))
	require.True(t, r.MayTakeLastTarget(digest(1)), "it was answered lately")
}
