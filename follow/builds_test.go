package follow

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/coord"
	"kingcupcross/roster"
)

// earlierKnown and earlierState are Known and State as builds before the naming of leaving processes send and read them.
type (
	earlierKnown struct {
		Operator, OperatorRevision  uint64
		Targets, TargetsRevision    uint64
		Members                     uint64
		OperatorEpoch, TargetsEpoch uint64
		Leavers                     []string
		RateLimits                  uint64
	}
	earlierState struct {
		Operator                Packed
		Targets                 Packed
		Changes                 *roster.Changes
		Members                 []coord.Member
		Leavers                 []roster.Leaver
		RateLimits              []roster.RateLimit
		Epoch                   uint64
		OperatorAge, TargetsAge time.Duration
	}
)

// recode encodes a value as one build does and decodes it as another one.
func recode(t *testing.T, from, into any) {
	var b bytes.Buffer
	require.NoError(t, gob.NewEncoder(&b).Encode(from))
	require.NoError(t, gob.NewDecoder(&b).Decode(into))
}

// TestHostsOfEarlierBuildsUnderstandEachOther guards against messages between hosts that one of two builds beside each other can't decode or takes for something else.
func TestHostsOfEarlierBuildsUnderstandEachOther(t *testing.T) {
	born := time.UnixMilli(1000).UTC()
	leaver := roster.Leaver{ID: "a", Born: born, Age: time.Second}
	known := Known{
		Operator:         1,
		OperatorRevision: 2,
		Targets:          3,
		TargetsRevision:  4,
		Members:          5,
		OperatorEpoch:    6,
		TargetsEpoch:     7,
		Leavers:          []string{"a"},
		LeavingProcesses: []roster.Process{leaver.Process()},
		RateLimits:       8,
	}
	var earlier earlierKnown
	recode(t, known, &earlier)
	require.Equal(t, earlierKnown{
		Operator:         1,
		OperatorRevision: 2,
		Targets:          3,
		TargetsRevision:  4,
		Members:          5,
		OperatorEpoch:    6,
		TargetsEpoch:     7,
		Leavers:          []string{"a"},
		RateLimits:       8,
	}, earlier)
	var back Known
	recode(t, earlier, &back)
	require.Nil(t, back.LeavingProcesses)
	require.True(t, back.hasLeaver(leaver))
	state := State{
		Operator:    Packed("o"),
		Targets:     Packed("t"),
		Changes:     &roster.Changes{From: 1, To: 2},
		Members:     []coord.Member{{Name: "h"}},
		Leavers:     []roster.Leaver{leaver},
		RateLimits:  []roster.RateLimit{{ID: "a", Limited: true, PerSecond: 2}},
		Epoch:       3,
		OperatorAge: unknownAge,
		TargetsAge:  time.Second,
	}
	var earlierAnswer earlierState
	recode(t, state, &earlierAnswer)
	var answer State
	recode(t, earlierAnswer, &answer)
	require.Equal(t, state, answer)
}
