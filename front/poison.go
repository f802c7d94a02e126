package front

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"kingcupcross/coord"
	"kingcupcross/poison"
	"kingcupcross/roster"
)

const (
	// targetCheckTimeout limits a connection to a target that is checked: a round trip between regions and a busy processor.
	targetCheckTimeout = 100 * time.Millisecond
	// maxCheckPeers is the number of other hosts that are asked whether they reach targets. Some may have no way to the targets themselves.
	maxCheckPeers = 5
	// enoughCheckPeers is the number of these whose results suffice.
	enoughCheckPeers = 2
	// maxReplyAge is the time since the last reply of any target up to which this host certainly has a way to targets.
	maxReplyAge = 100 * time.Millisecond
	// maxTold is the number of hosts that are told of a change at once. They tell others in turn.
	maxTold = 24
	// reminderPeriod is the time between two messages to a random host with all that is known, for hosts that missed a change.
	reminderPeriod = time.Second
	// recordsWait is the time after the start for which requests wait for the records of another host. The host goes on asking for recordsFetchTime, with recordsRetryPeriod between two attempts; later, reminders reach it.
	recordsWait        = 300 * time.Millisecond
	recordsFetchTime   = 3 * time.Second
	recordsRetryPeriod = 50 * time.Millisecond
)

// endedTargets returns the targets that have ended: this host's connections to them are refused, and so are those of other hosts, of which none reaches them. A host that is cut off from its targets finds others that do.
func (f *Front) endedTargets(ctx context.Context, targets []*roster.Entry) []*roster.Entry {
	var request poison.CheckRequest
	for _, t := range targets {
		request.Targets = append(request.Targets, t.Process())
	}
	peers := f.coord.CheckPeers(maxCheckPeers)
	var own []poison.Reachability
	var others [][]poison.Reachability
	var checks sync.WaitGroup
	checks.Go(func() { own = f.reachAll(ctx, targets) })
	checks.Go(func() { others = f.askPeersToCheck(ctx, peers, request) })
	checks.Wait()
	var ended []*roster.Entry
	for i, t := range targets {
		// If no other host can tell, replies of other targets show that this host isn't cut off.
		refused, reached := len(others) == 0 && f.engine.RepliedWithin(maxReplyAge), false
		for _, results := range others {
			refused = refused || results[i] == poison.Refused
			reached = reached || results[i] == poison.Reached
		}
		if own[i] == poison.Refused && refused && !reached {
			ended = append(ended, t)
		}
	}
	return ended
}

// reachedTargets returns the targets that accept connections of this host.
func (f *Front) reachedTargets(ctx context.Context, targets []*roster.Entry) []*roster.Entry {
	var reached []*roster.Entry
	for i, result := range f.reachAll(ctx, targets) {
		if result == poison.Reached {
			reached = append(reached, targets[i])
		}
	}
	return reached
}

// askPeersToCheck has other hosts connect to targets and returns the results of the first enoughCheckPeers that can tell, or of those that answer in time. It doesn't wait for hosts that are slow or gone.
func (f *Front) askPeersToCheck(ctx context.Context, peers []coord.Member, request poison.CheckRequest) [][]poison.Reachability {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan []poison.Reachability, len(peers))
	for _, m := range peers {
		go func() { replies <- f.askPeerToCheck(ctx, m, request) }()
	}
	var informed [][]poison.Reachability
	for range peers {
		results := <-replies
		if slices.ContainsFunc(results, func(r poison.Reachability) bool { return r != poison.Unknown }) {
			informed = append(informed, results)
		}
		if len(informed) == enoughCheckPeers {
			break
		}
	}
	return informed
}

// askPeerToCheck has another host connect to targets and returns the results, nil if it gives none in time.
func (f *Front) askPeerToCheck(ctx context.Context, m coord.Member, request poison.CheckRequest) []poison.Reachability {
	ctx, cancel := f.clock.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var reply poison.CheckReply
	err := f.dialer.Call(ctx, m.Views, poison.ServiceName+".Check", request, &reply)
	if err == nil {
		err = reply.Validate(len(request.Targets))
	}
	if err != nil {
		f.log.Debug("host can't tell whether it reaches targets", zap.String("from", m.Name), zap.Error(err))
		return nil
	}
	return reply.Results
}

// checkTargets connects to targets for another host.
func (f *Front) checkTargets(processes []roster.Process) []poison.Reachability {
	view := f.follow.View()
	results := make([]poison.Reachability, len(processes))
	if f.coord.FailingOver() {
		// What this host finds says nothing about the targets.
		return results
	}
	var known []*roster.Entry
	var places []int
	for i, p := range processes {
		if e := view.Entries[p.ID]; e != nil && e.Process().Equal(p) {
			known = append(known, e)
			places = append(places, i)
		}
	}
	for i, result := range f.reachAll(context.Background(), known) {
		results[places[i]] = result
	}
	return results
}

// reachAll connects to targets at the same time and returns one result for each.
func (f *Front) reachAll(ctx context.Context, targets []*roster.Entry) []poison.Reachability {
	ctx, cancel := f.clock.WithTimeout(ctx, targetCheckTimeout)
	defer cancel()
	results := make([]poison.Reachability, len(targets))
	var dials sync.WaitGroup
	for i, t := range targets {
		dials.Go(func() {
			switch err := f.pool.Check(ctx, t.Address); {
			case err == nil:
				results[i] = poison.Reached
			case errors.Is(err, syscall.ECONNREFUSED):
				results[i] = poison.Refused
			}
		})
	}
	dials.Wait()
	return results
}

// spreadPoison tells other hosts what this one learns of requests that end their targets, until the context ends.
func (f *Front) spreadPoison(ctx context.Context) error {
	f.fetchPoison(ctx)
	remind := f.clock.Every(reminderPeriod)
	defer remind.Stop()
	for {
		select {
		case <-f.poison.Changes():
			f.tellPoison(ctx, f.coord.Recipients(maxTold), f.poison.TakeChanged())
		case <-remind.C:
			if !f.poison.Empty() {
				f.tellPoison(ctx, f.coord.CheckPeers(1), f.poison.Records())
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// tellPoison sends records to other hosts and returns once all have answered or failed.
func (f *Front) tellPoison(ctx context.Context, to []coord.Member, records []poison.Record) {
	if len(records) == 0 {
		return
	}
	ctx, cancel := f.clock.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, m := range to {
		calls.Go(func() {
			var taken bool
			if err := f.dialer.Call(ctx, m.Views, poison.ServiceName+".Learn", poison.Records{Records: records}, &taken); err != nil {
				f.log.Debug("host can't be told of requests that end targets", zap.String("to", m.Name), zap.Error(err))
			}
		})
	}
	calls.Wait()
}

// fetchPoison reads the records of other hosts after the start, as soon as hosts are known. After recordsWait requests no longer wait for it.
func (f *Front) fetchPoison(ctx context.Context) {
	f.clock.AfterFunc(recordsWait, f.poisonKnown.open)
	defer f.poisonKnown.open()
	defer f.poison.SetComplete()
	if f.conf.First {
		return
	}
	for range int(recordsFetchTime / recordsRetryPeriod) {
		if f.readPoison(ctx) || f.clock.Sleep(ctx, recordsRetryPeriod) != nil {
			return
		}
	}
}

// readPoison takes over the records of a few other hosts and reports whether one of them knows what the others know: hosts that have just started themselves don't.
func (f *Front) readPoison(ctx context.Context) (complete bool) {
	ctx, cancel := f.clock.WithTimeout(ctx, pingTimeout)
	defer cancel()
	peers := f.coord.CheckPeers(maxCheckPeers)
	replies := make([]poison.Records, len(peers))
	var calls sync.WaitGroup
	for i, m := range peers {
		calls.Go(func() {
			if err := f.dialer.Call(ctx, m.Views, poison.ServiceName+".List", true, &replies[i]); err != nil {
				f.log.Debug("host can't list requests that end targets", zap.String("from", m.Name), zap.Error(err))
			}
		})
	}
	calls.Wait()
	for _, r := range replies {
		f.poison.Learn(r.Records)
		complete = complete || r.Complete
	}
	return complete
}

// gate holds requests back until it is opened.
type gate struct {
	once   sync.Once
	opened chan struct{}
}

func newGate() *gate {
	return &gate{opened: make(chan struct{})}
}

// open lets all requests pass.
func (g *gate) open() {
	g.once.Do(func() { close(g.opened) })
}

// wait returns once the gate is open or the context ends.
func (g *gate) wait(ctx context.Context) {
	select {
	case <-g.opened:
	case <-ctx.Done():
	}
}
