package follow

import (
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/coord"
	"kingcupcross/roster"
	"kingcupcross/route"
)

const (
	// outLimit is the time within which a host has to stop sending to a data centre that is taken out of service.
	outLimit = 5 * time.Second
	// maxReadsPerSecond is a rate of reads that a source answers one at a time: with a delay of longPollWait, or after a pause of retryPeriod.
	maxReadsPerSecond = 3
)

// setOut writes the data centres out of service to the store of the source and to that of the fed host.
func (h *fedHost) setOut(s *fakeStore, out ...string) {
	var next route.OperatorState
	s.modify(func() { next = s.operator })
	next.Out, next.Revision = outOf(out), next.Revision+10
	s.putOperator(next)
	h.ownStore.putOperator(next)
}

// requireOut waits for outLimit at most and requires that the host knows exactly these data centres to be out of service.
func (h *fedHost) requireOut(t *testing.T, step string, out ...string) {
	want := outOf(out)
	for end := time.Now().Add(outLimit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if maps.Equal(want, h.operator.Load().Out) {
			return
		}
	}
	require.Equal(t, want, h.operator.Load().Out, step)
}

// readStoreItself makes the host read the store for as long as f runs, as it does while its traffic is high or its source can't be reached.
func (h *fedHost) readStoreItself(f func()) {
	h.sourceUp.Store(false)
	time.Sleep(longPollWait + longPollGrace + retryPeriod)
	f()
	h.sourceUp.Store(true)
	time.Sleep(longPollWait + longPollGrace + retryPeriod)
}

// TestDatacentresTakenOutAgainReachFedHosts guards against requests to a data centre that is taken out of service for the second time: its source sent the cached state of the first time, which the host dropped as older than what it had read from the store itself. The host must not ask its source without pause either.
func TestDatacentresTakenOutAgainReachFedHosts(t *testing.T) {
	for _, tt := range []struct {
		name  string
		steps [][]string
	}{
		{name: "one data centre twice", steps: [][]string{{"a"}, {}, {"a"}}},
		{name: "one data centre three times", steps: [][]string{{"a"}, {}, {"a"}, {}, {"a"}}},
		{name: "two data centres by turns", steps: [][]string{{"a"}, {"b"}, {"a"}, {"a", "b"}, {"a"}, {"b"}, {"a", "b"}}},
		{name: "out and back again", steps: [][]string{{}, {"a"}, {}, {"a"}, {}}},
	} {
		for _, alone := range []string{"even steps", "odd steps", "no step"} {
			t.Run(tt.name+", the host reads the store itself in "+alone, func(t *testing.T) {
				withFedHost(t, func(fed *fedHost, _ *Follower, s *fakeStore) {
					time.Sleep(3 * time.Second)
					for i, out := range tt.steps {
						change := func() {
							fed.setOut(s, out...)
							fed.requireOut(t, tt.name, out...)
						}
						if (alone == "even steps" && i%2 == 0) || (alone == "odd steps" && i%2 == 1) {
							fed.readStoreItself(change)
						} else {
							change()
						}
					}
					before := fed.sourceReads.Load()
					time.Sleep(10 * time.Second)
					require.LessOrEqual(t, fed.sourceReads.Load()-before, int64(10*maxReadsPerSecond))
					require.Zero(t, fed.spins.Load(), "reads without pause")
				})
			})
		}
	}
}

// TestRepeatedContentIsSentAtItsRevision guards against cached answers that state the revision at which the same content was first sent, for the operator data and for all targets.
func TestRepeatedContentIsSentAtItsRevision(t *testing.T) {
	withFollower(t, func(source *Follower, s *fakeStore) {
		time.Sleep(time.Second)
		members := func() []coord.Member { return nil }
		for revision := uint64(10); revision < 40; revision += 10 {
			s.putOperator(route.OperatorState{
				Config:   source.Config(),
				Out:      map[string]bool{"a": revision != 20},
				Revision: revision,
			})
			s.modify(func() { s.listing.Revision = revision })
			time.Sleep(4 * time.Second)
			answer := source.AwaitDiff(Known{}, members)
			o, err := unpackOperator(answer.Operator)
			require.NoError(t, err)
			require.Equal(t, revision, o.Revision)
			require.Equal(t, revision != 20, o.Out["a"])
			var p roster.Listing
			require.NoError(t, answer.Targets.unpack(&p))
			require.Equal(t, revision, p.Revision)
		}
	})
}
