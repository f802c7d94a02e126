package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// failoverBound is the time after which a host that has lost its way to the targets must serve its callers through others.
	failoverBound = 2 * time.Second
	// lostFor is how long hosts have no way to the targets.
	lostFor = 6 * time.Second
)

// TestHostsWithoutAWayToTheTargetsServeTheirCallers guards against a host that has lost its links to all targets refusing callers whom other hosts could serve: by all of its routes, whatever happens to its open connections, also when all hosts of its data centre have lost theirs, and without requests that may not be repeated running twice.
func TestHostsWithoutAWayToTheTargetsServeTheirCallers(t *testing.T) {
	program, err := buildProgram()
	require.NoError(t, err)
	for _, tt := range []struct {
		name  string
		fault pathFault
		// hosts are the numbers of those that lose their way; hosts 0 and 3 are all of a data centre.
		hosts []int
	}{
		{name: "connections hang", fault: pathStalls, hosts: []int{1, 3}},
		{name: "connections are reset", fault: pathResets, hosts: []int{0, 2, 4, 5}},
		{name: "open connections go on", fault: pathKeeps, hosts: []int{1, 2}},
		{name: "all hosts of a data centre", fault: pathResets, hosts: []int{0, 3}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newCluster(t, program, false)
			w.awaitServing()
			// The hosts learn of each other.
			time.Sleep(2500 * time.Millisecond)
			var lost []*host
			for _, i := range tt.hosts {
				lost = append(lost, w.hosts[i])
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var exchanges []*exchange
			var callers sync.WaitGroup
			callers.Go(func() { exchanges = w.runCallers(ctx, rand.New(rand.NewPCG(2, 8)), 12) })
			time.Sleep(2500 * time.Millisecond)
			w.rewriteEntries()
			time.Sleep(time.Second)
			began := time.Now()
			for _, h := range lost {
				h.path.lose(tt.fault)
			}
			time.Sleep(lostFor)
			ended := time.Now()
			for _, h := range lost {
				h.path.restore()
			}
			time.Sleep(2 * time.Second)
			cancel()
			callers.Wait()
			sent, served := map[bool]int{}, map[bool]int{}
			for _, x := range exchanges {
				require.LessOrEqual(t, len(w.requestLog.Runs(x.id)), map[bool]int{true: 1, false: 2 * shards}[x.path == "/once/x"], "%s %s ran too often", x.id, x.path)
				w.checkExchangeIsTrue(t, x)
				if x.start.Before(began.Add(failoverBound)) || x.start.After(ended) {
					continue
				}
				atLost := slices.Contains(lost, x.host)
				sent[atLost]++
				if x.err == nil && x.response.Status == http.StatusOK {
					served[atLost]++
				}
			}
			require.NotZero(t, sent[true])
			require.GreaterOrEqual(t, served[false]*50, sent[false]*49, "%d of %d requests were served at the other hosts", served[false], sent[false])
			require.GreaterOrEqual(t, served[true]*50, sent[true]*49, "%d of %d requests were served at the hosts without a way to the targets", served[true], sent[true])
		})
	}
}

// rewriteEntries has all targets write their entries again. Hosts that have callers read them from the store, which shows each its own way; until then they use what another host has read.
func (w *cluster) rewriteEntries() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, target := range w.targets {
		w.put("servers/"+target.ID, target.Entry(w.datacentreOf[target.ID], "ready", 3))
	}
}

// checkExchangeIsTrue checks that an answer is whole and that a promise that the request wasn't executed is true.
func (w *cluster) checkExchangeIsTrue(t *testing.T, x *exchange) {
	if x.err != nil {
		return
	}
	w.checkAnswer(x, w.requestLog.Runs(x.id), func(x *exchange, format string, args ...any) {
		t.Errorf("%s %s: "+format, append([]any{x.id, x.path}, args...)...)
	})
}
