package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/board"
	"kingcupcross/emul"
	"kingcupcross/keeper"
	"kingcupcross/query"
	"kingcupcross/shard"
	"kingcupcross/timer"
	"kingcupcross/tree"
	"kingcupcross/units"
	"kingcupcross/wire"
)

// Service is the name of the site's only service.
const Service = "dispatch"

// Size says how large a site is.
type Size struct {
	// Hosts counts those of each data centre, Targets and Shards all of the site.
	Hosts   int
	Targets int
	Shards  int
	Slots   int
	Conns   int
	// Warmup is the number of requests after which a target is warm.
	Warmup int
	// Median and Spread describe the targets' log-normal times.
	Median time.Duration
	Spread float64
	Seed   uint64
}

// Host is the part of a host that answers queries.
type Host struct {
	Board  *board.State
	Keeper *keeper.Keeper
	Engine *query.Engine
	dialer *wire.Dialer
	server *wire.Server
}

// Site is a set of hosts and targets in this process.
type Site struct {
	Clock   *timer.Clock
	Map     *shard.Map
	Hosts   []*Host
	Targets []*emul.Target
	servers []*http.Server
	cancel  context.CancelFunc
	group   sync.WaitGroup
}

var places = []emul.Place{
	{Region: "jylland", Datacentre: "aarhus"},
	{Region: "fyn", Datacentre: "odense"},
	{Region: "sjaelland", Datacentre: "roskilde"},
}

// New starts a site, which must be closed; with claims its keepers claim their targets from each other and follow their cold start, else each takes its targets at once with fixed limits.
func New(size Size, policy query.Policy, claims bool) (*Site, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Site{Clock: timer.New(), cancel: cancel}
	if err := s.addTargets(size); err != nil {
		s.Close()
		return nil, err
	}
	if err := s.addHosts(size, policy); err != nil {
		s.Close()
		return nil, err
	}
	s.group.Go(func() { s.beat(ctx) })
	for _, h := range s.Hosts {
		if claims {
			s.group.Go(func() { h.Keeper.Run(ctx) })
		} else {
			h.Keeper.KeepAssignedForTesting()
		}
	}
	if claims && !s.waitHeld() {
		s.Close()
		return nil, eris.Errorf("the keepers didn't get their targets within %s", claimTime)
	}
	return s, nil
}

// claimTime bounds the wait for all targets to be held.
const claimTime = 30 * time.Second

// waitHeld waits until each target has a keeper that may send.
func (s *Site) waitHeld() bool {
	for end := s.Clock.Now().Add(claimTime); s.Clock.Now().Before(end); {
		held := 0
		for _, h := range s.Hosts {
			for _, k := range h.Keeper.TargetStatuses() {
				if k.Limit > 0 {
					held++
				}
			}
		}
		if held == len(s.Targets) {
			return true
		}
		<-s.Clock.After(board.HeartbeatPeriod)
	}
	return false
}

// Close ends all parts of the site.
func (s *Site) Close() {
	s.cancel()
	for _, h := range s.Hosts {
		h.server.Close()
		h.dialer.Close()
	}
	for _, t := range s.servers {
		t.Close()
	}
	s.group.Wait()
}

func (s *Site) beat(ctx context.Context) {
	tick := s.Clock.Every(board.HeartbeatPeriod)
	defer tick.Stop()
	for {
		for _, h := range s.Hosts {
			h.Board.PauseDetector.Heartbeat()
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Site) addTargets(size Size) error {
	m, held := emul.Spread(Service, size.Shards, size.Targets, len(places))
	for i := range size.Targets {
		t := emul.NewTarget(s.Clock, emul.TargetSettings{
			Name:   fmt.Sprintf("%s-t%d", places[i%len(places)].Datacentre, i/len(places)+1),
			Slots:  size.Slots,
			Cold:   1,
			Warmup: size.Warmup,
			Median: units.Duration(size.Median),
			Spread: size.Spread,
			Seed:   size.Seed + uint64(i),
			Holdings: []emul.Holding{{
				Service: Service,
				Map:     m.Version,
				Shards:  held[i],
				Indexes: []uint64{m.Index},
			}},
		})
		address, err := s.serve(t.Handler())
		if err != nil {
			return err
		}
		s.Targets = append(s.Targets, t)
		m.Targets = append(m.Targets, shard.Target{
			Name:       fmt.Sprintf("%s-t%d", places[i%len(places)].Datacentre, i/len(places)+1),
			Address:    address,
			Datacentre: places[i%len(places)].Datacentre,
			Slots:      size.Slots,
			Conns:      size.Conns,
		})
	}
	s.Map = &m
	return nil
}

func loopback() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	return l, eris.Wrap(err, "listen on loopback")
}

func addressOf(l net.Listener) netip.AddrPort {
	return l.Addr().(*net.TCPAddr).AddrPort()
}

func (s *Site) serve(h http.Handler) (netip.AddrPort, error) {
	l, err := loopback()
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: h}
	s.servers = append(s.servers, server)
	s.group.Go(func() { server.Serve(l) })
	return addressOf(l), nil
}

func (s *Site) addHosts(size Size, policy query.Policy) error {
	for i := range size.Hosts * len(places) {
		l, err := loopback()
		if err != nil {
			return err
		}
		p := places[i%len(places)]
		h, err := s.newHost(l, wire.Member{
			HostID:     wire.HostID{Name: fmt.Sprintf("%s-h%d", p.Datacentre, i/len(places)+1), Incarnation: 1},
			Region:     p.Region,
			Datacentre: p.Datacentre,
			Peers:      addressOf(l),
		})
		if err != nil {
			return err
		}
		h.Engine.SetPolicy(policy)
		s.Hosts = append(s.Hosts, h)
	}
	members := map[string]wire.Member{}
	for _, h := range s.Hosts {
		m := h.Board.Self
		m.State = wire.Alive
		members[m.Name] = m
	}
	for _, h := range s.Hosts {
		h.Board.Membership.Update(func(*board.Membership) *board.Membership { return &board.Membership{Members: members} })
		h.Board.PutShardMap(s.Map)
		h.Board.MarkJoined()
	}
	return s.Change("deadline", units.Duration(deadline))
}

func (s *Site) newHost(l net.Listener, self wire.Member) (*Host, error) {
	b := board.New(s.Clock, self)
	h := &Host{Board: b, dialer: wire.NewDialer(), server: wire.NewServer(l)}
	h.Keeper = keeper.New(s.Clock, b, zap.NewNop(), tally.NoopScope)
	h.Engine = query.New(s.Clock, b, keeper.NewClient(self.Name, h.Keeper, h.dialer), zap.NewNop(), tally.NoopScope)
	if err := h.server.Register(keeper.ServiceName, keeper.NewService(h.Keeper)); err != nil {
		return nil, err
	}
	s.group.Go(func() { h.server.Serve() })
	return h, nil
}

// Change puts one setting of the whole organisation in force at all hosts.
func (s *Site) Change(key string, value any) error {
	after, err := json.Marshal(value)
	if err != nil {
		return eris.Wrap(err, "encode setting")
	}
	for _, h := range s.Hosts {
		var failed error
		h.Board.Tree.Update(func(old *tree.Tree) *tree.Tree {
			next, err := old.Apply(tree.Change{
				N:      old.ChangeNumber + 1,
				ID:     fmt.Sprint(old.ChangeNumber + 1),
				Author: "trial",
				Reason: "trial",
				Ops:    []tree.Op{{Path: "trial", Key: key, After: after}},
			})
			failed = err
			return next
		})
		if failed != nil {
			return eris.Wrap(failed, "apply setting")
		}
	}
	return nil
}
