package peers

import (
	"context"
	"maps"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"kingcupcross/board"
	"kingcupcross/store"
	"kingcupcross/timer"
	"kingcupcross/wire"
)

const (
	period      = 500 * time.Millisecond
	pingTimeout = 400 * time.Millisecond
	// misses is the number of pings without an answer after which a host counts as dead.
	misses = 3
)

// Peers pings the hosts of the platform's list and of the settings.
type Peers struct {
	clock  *timer.Service
	board  *board.Board
	dialer *wire.Dialer
	hosts  func(context.Context) ([]store.Host, error)
	seeds  []netip.AddrPort
	log    *zap.Logger

	mu     sync.Mutex
	missed map[netip.AddrPort]int
}

// New returns the membership part; hosts reads the platform's list.
func New(clock *timer.Service, b *board.Board, dialer *wire.Dialer, hosts func(context.Context) ([]store.Host, error), seeds []netip.AddrPort, log *zap.Logger) *Peers {
	return &Peers{
		clock:  clock,
		board:  b,
		dialer: dialer,
		hosts:  hosts,
		seeds:  seeds,
		log:    log,
		missed: map[netip.AddrPort]int{},
	}
}

// Run pings until the context ends.
func (p *Peers) Run(ctx context.Context) error {
	tick := p.clock.Every(period)
	defer tick.Stop()
	for {
		p.round(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (p *Peers) round(ctx context.Context) {
	addresses := map[netip.AddrPort]bool{}
	for _, a := range p.seeds {
		addresses[a] = true
	}
	if hosts, err := p.hosts(ctx); err == nil {
		for _, h := range hosts {
			addresses[h.Peers] = true
		}
	}
	for _, m := range p.board.View.Load().Members {
		addresses[m.Peers] = true
	}
	delete(addresses, p.board.Self.Peers)
	var group sync.WaitGroup
	for a := range addresses {
		group.Go(func() { p.ping(ctx, a) })
	}
	group.Wait()
}

func (p *Peers) ping(ctx context.Context, a netip.AddrPort) {
	ctx, cancel := p.clock.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var m wire.Member
	err := p.dialer.Call(ctx, a, Remote+".Ping", wire.None{}, &m)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		p.missed[a] = 0
		p.note(m)
		return
	}
	p.missed[a]++
	if p.missed[a] >= misses {
		p.lose(a)
	}
}

func (p *Peers) note(m wire.Member) {
	p.board.View.Update(func(v *board.View) *board.View {
		old, known := v.Members[m.Name]
		if known && (old == m || old.Incarnation > m.Incarnation) {
			return nil
		}
		if !known || old.State != m.State || old.Incarnation != m.Incarnation {
			p.log.Info("host changed", zap.String("peer", m.String()), zap.Stringer("state", m.State))
		}
		next := &board.View{Members: maps.Clone(v.Members)}
		next.Members[m.Name] = m
		return next
	})
}

func (p *Peers) lose(a netip.AddrPort) {
	p.board.View.Update(func(v *board.View) *board.View {
		for name, m := range v.Members {
			if m.Peers != a || m.State == wire.Dead {
				continue
			}
			p.log.Info("host lost", zap.String("peer", m.String()))
			next := &board.View{Members: maps.Clone(v.Members)}
			m.State = wire.Dead
			next.Members[name] = m
			return next
		}
		return nil
	})
}

// Leave tells the next pings of other hosts that this host is leaving.
func (p *Peers) Leave() {
	p.board.View.Update(func(v *board.View) *board.View {
		next := &board.View{Members: maps.Clone(v.Members)}
		m := next.Members[p.board.Self.Name]
		m.State = wire.Leaving
		next.Members[m.Name] = m
		return next
	})
}

// Remote names this part in calls between hosts.
const Remote = "Peers"

// Service answers other hosts' pings.
type Service struct {
	peers *Peers
}

// NewService returns the part of the net/rpc server that answers for p.
func NewService(p *Peers) *Service {
	return &Service{peers: p}
}

// Ping answers with this host as it sees itself.
func (s *Service) Ping(_ wire.None, r *wire.Member) error {
	b := s.peers.board
	*r = b.View.Load().Members[b.Self.Name]
	r.Settings = b.Tree.Load().N
	return nil
}
