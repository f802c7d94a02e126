package front

import (
	"context"
	"net/netip"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"kingcupcross/coord"
	"kingcupcross/fault"
	"kingcupcross/follow"
	"kingcupcross/wire"
)

const (
	// memberTTL is how long a host's entry outlives it.
	memberTTL = 20 * time.Second
	// renewPeriod is the time between two renewals: two may be lost.
	renewPeriod = 6 * time.Second
	// membersPeriod is the time between two readings of the hosts, and that between two tries to register.
	membersPeriod = 2 * time.Second
	// firstMembers is the time after which a fleet that starts for the first time knows itself: all its hosts have registered.
	firstMembers = 1200 * time.Millisecond
	// greetPeriod is the time between two greetings: a host that has started is greeted within about a second, as several greet it.
	greetPeriod = time.Second
	// pingTimeout is how long a host may take for an answer that needs no work: two ways between regions and a busy processor.
	pingTimeout = 150 * time.Millisecond
)

// addViews serves configuration and targets to other hosts.
func (f *Front) addViews(group *run.Group) error {
	l, err := listen(f.conf.Views)
	if err != nil {
		return err
	}
	s := wire.NewServer(l)
	if err := s.Register(follow.Views, follow.NewService(f.follow, f.coord.Members, f.engine.Leavers)); err != nil {
		return err
	}
	group.Add(s.Serve, func(error) { s.Close() })
	return nil
}

// ping asks another host for an answer that needs no work.
func (f *Front) ping(ctx context.Context, to coord.Member) error {
	ctx, cancel := f.clock.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var alive bool
	return f.dialer.Call(ctx, to.Views, follow.Views+".Ping", true, &alive)
}

// feed says how this host reads other hosts' views.
func (f *Front) feed() follow.Feed {
	return follow.Feed{
		Sources: func() []coord.Member {
			if !f.coord.Few() {
				return nil
			}
			others, self := f.coord.Chosen()
			if self {
				return nil
			}
			return others
		},
		Read: func(ctx context.Context, from coord.Member, known follow.Known) (follow.State, error) {
			var s follow.State
			err := f.dialer.Call(ctx, from.Views, follow.Views+".Read", known, &s)
			return s, err
		},
		Spares:     f.coord.Spares,
		Members:    f.coord.Members,
		SetMembers: f.coord.SetMembers,
		Leavers:    f.engine.Leavers,
		Learn:      f.engine.Learn,
	}
}

// greet tells some hosts, one after the other, that this one knows configuration and targets: a host that has just started and can't reach the store has no other way to learn of any host.
func (f *Front) greet(ctx context.Context) error {
	for turn := 0; ; turn++ {
		if f.clock.Sleep(ctx, greetPeriod) != nil {
			return nil
		}
		next := f.coord.Neighbours()
		if len(next) == 0 || !f.follow.Ready() {
			continue
		}
		limited, cancel := f.clock.WithTimeout(ctx, pingTimeout)
		var known bool
		to := next[turn%len(next)]
		if err := f.dialer.Call(limited, to.Views, follow.Views+".Greet", f.coord.Self, &known); err != nil {
			f.log.Debug("host can't be greeted", zap.String("to", to.Name), zap.Error(err))
		}
		cancel()
	}
}

// register keeps this host's entry in the store and reads those of the others.
func (f *Front) register(ctx context.Context) error {
	var lease uint64
	var renewed time.Time
	if !f.conf.First {
		// Those that feed this host are the first that it needs.
		f.readMembers(ctx)
	}
	for first := f.conf.First; ; first = false {
		lease, renewed = f.keepEntry(ctx, lease, renewed)
		wait := membersPeriod
		switch {
		case first:
			wait = firstMembers
		case !f.follow.Fed():
			f.readMembers(ctx)
		}
		if f.clock.Sleep(ctx, wait) != nil {
			return nil
		}
	}
}

func (f *Front) readMembers(ctx context.Context) {
	all, err := f.store.Members(ctx)
	if err != nil {
		f.log.Debug("hosts can't be read", zap.Error(err))
		return
	}
	f.follow.Answered()
	f.coord.SetMembers(all)
}

// crowd tells which hosts need the same news as this one.
func (f *Front) crowd() follow.Crowd {
	return follow.Crowd{
		Reads: func() bool {
			others, self := f.coord.Chosen()
			return self || (len(others) == 0 && len(f.coord.Members()) > 0)
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

// keepEntry registers this host or renews its entry; a host that is leaving takes it back.
func (f *Front) keepEntry(ctx context.Context, lease uint64, renewed time.Time) (uint64, time.Time) {
	now := f.clock.Now()
	switch {
	case f.leaving.Load():
		if lease == 0 {
			return 0, renewed
		}
		if err := f.store.Unregister(ctx, lease); err != nil {
			f.log.Info("entry can't be taken back, it lapses", zap.Error(err))
		}
		return 0, renewed
	case lease == 0 && f.follow.Away():
		return 0, renewed
	case lease == 0:
		granted, err := f.store.Register(ctx, f.coord.Self, memberTTL)
		if err != nil {
			f.log.Info("host can't be registered", zap.Error(err))
			return 0, renewed
		}
		return granted, now
	case now.Sub(renewed) < renewPeriod:
		return lease, renewed
	}
	switch err := f.store.Renew(ctx, lease); {
	case fault.Is(err, fault.Conflict):
		f.log.Info("entry has lapsed")
		return 0, renewed
	case err != nil:
		f.log.Info("entry can't be renewed", zap.Error(err))
		return lease, renewed
	}
	return lease, now
}

// usedAddresses returns the addresses that connections are kept to.
func (f *Front) usedAddresses() map[netip.AddrPort]bool {
	used := map[netip.AddrPort]bool{}
	for _, e := range f.follow.View().Entries {
		if !e.Draining && !f.engine.Leaving(e) {
			used[e.Address] = true
		}
	}
	for _, m := range f.coord.Members() {
		used[m.Requests] = true
	}
	return used
}
