package front

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"kingcupcross/coord"
	"kingcupcross/fault"
	"kingcupcross/follow"
	"kingcupcross/poison"
	"kingcupcross/wire"
)

const (
	// memberTTL is how long this host's entry stays in the store without being renewed.
	memberTTL = 20 * time.Second
	// renewPeriod is the time between two renewals of the entry; memberTTL leaves room for two lost ones.
	renewPeriod = 6 * time.Second
	// membersPeriod is the time between two readings of the list of hosts, and between two attempts to register.
	membersPeriod = 2 * time.Second
	// firstMembersDelay is the time after which all hosts of a fleet that starts for the first time have registered, so that the list of hosts is complete.
	firstMembersDelay = 1200 * time.Millisecond
	// maxRestoreJitter spreads the registrations of all hosts after a restore of the store, within the two seconds in which they have to be back.
	maxRestoreJitter = 600 * time.Millisecond
	// greetPeriod is the time between two greetings. As several hosts greet it, a host that has started is greeted within about a second.
	greetPeriod = time.Second
	// pingTimeout is how long a host may take to answer a call that needs no work: a round trip between regions and a busy processor.
	pingTimeout = 150 * time.Millisecond
)

// addViewsServer adds the server from which other hosts read configuration and targets.
func (f *Front) addViewsServer(group *run.Group) error {
	l, err := listen(f.conf.Views)
	if err != nil {
		return err
	}
	s := wire.NewServer(l)
	s.OnAcceptError = func(err error) {
		f.meter.Scope.SubScope("front").Counter("accept_failures").Inc(1)
		f.log.Warn("connection of another host can't be accepted", zap.Error(err))
	}
	if err := s.Register(follow.ServiceName, follow.NewService(f.follow, f.coord.Members, f.engine.LeavingTargets, f.engine.RateLimits)); err != nil {
		return err
	}
	if err := s.Register(coord.RateServiceName, coord.NewRateService(f.rateShares)); err != nil {
		return err
	}
	if err := s.Register(poison.ServiceName, poison.NewService(f.poison, f.checkTargets)); err != nil {
		return err
	}
	group.Add(s.Serve, func(error) { s.Close() })
	return nil
}

// ping calls another host to check that it is alive.
func (f *Front) ping(ctx context.Context, to coord.Member) error {
	ctx, cancel := f.clock.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var alive bool
	return f.dialer.Call(ctx, to.Views, follow.ServiceName+".Ping", true, &alive)
}

// newFeed returns the functions through which the follower exchanges data with other hosts.
func (f *Front) newFeed() follow.Feed {
	return follow.Feed{
		Sources: func() []coord.Member {
			if !f.coord.LowTraffic() {
				return nil
			}
			others, answersOwn := f.coord.PreferredCoordinators()
			if answersOwn {
				return nil
			}
			return others
		},
		Read: func(ctx context.Context, from coord.Member, known follow.Known) (follow.State, error) {
			var s follow.State
			err := f.dialer.Call(ctx, from.Views, follow.ServiceName+".Read", known, &s)
			return s, err
		},
		Fallbacks:  f.coord.FallbackPeers,
		Members:    f.coord.Members,
		SetMembers: f.coord.SetMembers,
		Leavers:    f.engine.LeavingTargets,
		AddLeavers: f.engine.LearnLeaving,

		RateLimits:    f.engine.RateLimits,
		AddRateLimits: f.engine.LearnRateLimits,
	}
}

// greetHosts tells some hosts, one after the other, that this one knows configuration and targets: a host that has just started and can't reach the store has no other way to learn of any host.
func (f *Front) greetHosts(ctx context.Context) error {
	for i := 0; ; i++ {
		if f.clock.Sleep(ctx, greetPeriod) != nil {
			return nil
		}
		neighbours := f.coord.Neighbours()
		if len(neighbours) == 0 || !f.follow.Ready() {
			continue
		}
		limited, cancel := f.clock.WithTimeout(ctx, pingTimeout)
		var ready bool
		to := neighbours[i%len(neighbours)]
		if err := f.dialer.Call(limited, to.Views, follow.ServiceName+".Greet", f.coord.Self, &ready); err != nil {
			f.log.Debug("greeting a host failed", zap.String("to", to.Name), zap.Error(err))
		}
		cancel()
	}
}

// keepRegistered keeps this host's entry in the store and the list of hosts up to date until the context ends.
func (f *Front) keepRegistered(ctx context.Context) error {
	var lease coord.Lease
	var renewed time.Time
	if !f.conf.First {
		// The list is needed at once, because it holds the hosts whose views this host can read.
		f.readMembers(ctx)
	}
	stopSignalled := f.stopSignalled
	for first := f.conf.First; ; first = false {
		lease, renewed = f.renewEntry(ctx, lease, renewed)
		wait := membersPeriod
		switch {
		case first:
			wait = firstMembersDelay
		case !f.follow.FedByPeer() && !f.follow.InRestoreGrace():
			// Right after a restore of the store, the list lacks the hosts that haven't registered again yet.
			f.readMembers(ctx)
		}
		select {
		case <-f.clock.After(wait):
		case <-stopSignalled:
			// The entry is removed at once, so that other hosts stop asking this one.
			stopSignalled = nil
		case <-f.storeRestored:
			if f.clock.Sleep(ctx, time.Duration(rand.Float64()*float64(maxRestoreJitter))) != nil {
				return nil
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// signalRestore makes the host register again after the store was restored from an older copy, which may lack its entry.
func (f *Front) signalRestore(old, _ uint64) {
	if old == 0 {
		return
	}
	select {
	case f.storeRestored <- struct{}{}:
	default:
	}
}

// readMembers replaces the list of hosts by the entries in the store.
func (f *Front) readMembers(ctx context.Context) {
	members, err := f.store.Members(ctx)
	if err != nil {
		f.log.Debug("list of hosts can't be read", zap.Error(err))
		return
	}
	f.follow.NoteAnswer()
	f.coord.SetMembers(members)
}

// hostGroup describes the hosts of this host's data centre and whether this host reads the store for others.
func (f *Front) hostGroup() follow.HostGroup {
	return follow.HostGroup{
		IsReader: func() bool {
			others, answersOwn := f.coord.PreferredCoordinators()
			return answersOwn || (len(others) == 0 && len(f.coord.Members()) > 0)
		},
		Size: func() int {
			n := 0
			for _, m := range f.coord.Members() {
				if m.Datacentre == f.conf.Datacentre {
					n++
				}
			}
			return max(n, 1)
		},
	}
}

// renewEntry registers this host or renews its entry; a host that is leaving removes its entry. It returns the lease, zero where there is no entry, and the time of the last renewal.
func (f *Front) renewEntry(ctx context.Context, lease coord.Lease, renewed time.Time) (coord.Lease, time.Time) {
	now := f.clock.Now()
	none := coord.Lease{}
	if lease != none && lease.Epoch != f.store.Epochs.Current() {
		f.log.Info("entry of this host is from an earlier epoch of the store", zap.Uint64("epoch", lease.Epoch))
		lease = none
	}
	switch {
	case f.leaving.Load():
		if lease == none {
			return none, renewed
		}
		if err := f.store.Unregister(ctx, lease); err != nil {
			f.log.Info("entry of this host can't be removed, it expires instead", zap.Error(err))
		}
		return none, renewed
	case lease == none && f.follow.StoreUnreachable():
		return none, renewed
	case lease == none:
		granted, err := f.store.Register(ctx, f.coord.Self, memberTTL)
		if err != nil {
			f.log.Info("this host can't be registered", zap.Error(err))
			return none, renewed
		}
		return granted, now
	case now.Sub(renewed) < renewPeriod:
		return lease, renewed
	}
	switch err := f.store.Renew(ctx, lease); {
	case fault.Is(err, fault.Conflict):
		f.log.Info("entry of this host has expired")
		return none, renewed
	case err != nil:
		f.log.Info("entry of this host can't be renewed", zap.Error(err))
		return lease, renewed
	}
	return lease, now
}

// usedAddresses returns the addresses to which connections are kept open: those of the targets that get work and of the hosts.
func (f *Front) usedAddresses() map[netip.AddrPort]bool {
	used := map[netip.AddrPort]bool{}
	for _, e := range f.follow.View().Entries {
		if !e.Draining && !f.engine.IsLeaving(e) {
			used[e.Address] = true
		}
	}
	for _, m := range f.coord.Members() {
		used[m.Requests] = true
	}
	return used
}
