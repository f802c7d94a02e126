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

// Service is the name of the cluster's only service.
const Service = "dispatch"

// Size describes the dimensions of a cluster and its targets.
type Size struct {
	// Hosts is the number of hosts in each data centre; Targets and Shards are totals for the cluster.
	Hosts   int
	Targets int
	Shards  int
	Slots   int
	Conns   int
	// Warmup is the number of requests after which a target is warm.
	Warmup int
	// Median and Spread describe the targets' service times: their median and the standard deviation of their logarithm.
	Median time.Duration
	Spread float64
	Seed   uint64
}

// Host holds the parts of a host that answer queries.
type Host struct {
	Board  *board.State
	Keeper *keeper.Keeper
	Engine *query.Engine
	dialer *wire.Dialer
	server *wire.Server
}

// Cluster is a cluster of hosts and emulated targets that runs in this process.
type Cluster struct {
	Clock   *timer.Clock
	Map     *shard.Map
	Hosts   []*Host
	Targets []*emul.Target
	servers []*http.Server
	cancel  context.CancelFunc
	group   sync.WaitGroup
}

// places are the data centres, with their regions, over which hosts and targets are distributed.
var places = []emul.Place{
	{Region: "jylland", Datacentre: "aarhus"},
	{Region: "fyn", Datacentre: "odense"},
	{Region: "sjaelland", Datacentre: "roskilde"},
}

// New starts a cluster, which must be closed. If claims is set, the keepers claim their targets from each other and adapt
// their limits during a cold start; otherwise each keeper takes its targets at once with fixed limits.
func New(size Size, policy query.Policy, claims bool) (*Cluster, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Cluster{Clock: timer.New(), cancel: cancel}
	if err := s.addTargets(size); err != nil {
		s.Close()
		return nil, err
	}
	if err := s.addHosts(size, policy); err != nil {
		s.Close()
		return nil, err
	}
	s.group.Go(func() { s.sendHeartbeats(ctx) })
	for _, h := range s.Hosts {
		if claims {
			s.group.Go(func() { h.Keeper.Run(ctx) })
		} else {
			h.Keeper.KeepAssignedForTesting()
		}
	}
	if claims && !s.waitForKeepers() {
		s.Close()
		return nil, eris.Errorf("keepers didn't claim all targets within %s", claimTimeout)
	}
	return s, nil
}

// claimTimeout bounds the wait until all targets are claimed.
const claimTimeout = 30 * time.Second

// waitForKeepers waits until each target has a keeper that may send to it. It reports whether all have one within claimTimeout.
func (s *Cluster) waitForKeepers() bool {
	for end := s.Clock.Now().Add(claimTimeout); s.Clock.Now().Before(end); {
		claimed := 0
		for _, h := range s.Hosts {
			for _, k := range h.Keeper.TargetStatuses() {
				if k.Limit > 0 {
					claimed++
				}
			}
		}
		if claimed == len(s.Targets) {
			return true
		}
		<-s.Clock.After(board.HeartbeatPeriod)
	}
	return false
}

// Close stops all hosts and targets of the cluster and waits for their goroutines.
func (s *Cluster) Close() {
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

// sendHeartbeats sends a heartbeat to the pause detector of each host every HeartbeatPeriod until the context ends, since a host without heartbeats may not send.
func (s *Cluster) sendHeartbeats(ctx context.Context) {
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

// addTargets starts the targets and builds the shard map.
func (s *Cluster) addTargets(size Size) error {
	m, heldShards := emul.PlaceReplicas(Service, size.Shards, size.Targets, len(places))
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
				Shards:  heldShards[i],
				Indexes: []uint64{m.Index},
			}},
		})
		address, err := s.serveHTTP(t.Handler())
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

// listenLoopback listens at a free loopback port.
func listenLoopback() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	return l, eris.Wrap(err, "listen on loopback")
}

// addressOf returns the address of a TCP listener.
func addressOf(l net.Listener) netip.AddrPort {
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// serveHTTP serves a handler at a free loopback port until the cluster is closed.
func (s *Cluster) serveHTTP(h http.Handler) (netip.AddrPort, error) {
	l, err := listenLoopback()
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: h}
	s.servers = append(s.servers, server)
	s.group.Go(func() { server.Serve(l) })
	return addressOf(l), nil
}

// addHosts starts the hosts and gives each the list of members, the shard map and the deadline of queries.
func (s *Cluster) addHosts(size Size, policy query.Policy) error {
	for i := range size.Hosts * len(places) {
		l, err := listenLoopback()
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
	return s.ApplySetting("deadline", units.Duration(queryDeadline))
}

// newHost starts the parts of a host that answer queries; its peer server uses the listener.
func (s *Cluster) newHost(l net.Listener, self wire.Member) (*Host, error) {
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

// ApplySetting applies one setting at the level of the organisation to all hosts.
func (s *Cluster) ApplySetting(key string, value any) error {
	after, err := json.Marshal(value)
	if err != nil {
		return eris.Wrap(err, "encode setting")
	}
	for _, h := range s.Hosts {
		var errApply error
		h.Board.Tree.Update(func(old *tree.Tree) *tree.Tree {
			next, err := old.Apply(tree.Change{
				N:      old.ChangeNumber + 1,
				ID:     fmt.Sprint(old.ChangeNumber + 1),
				Author: "trial",
				Reason: "trial",
				Ops:    []tree.Op{{Path: "trial", Key: key, After: after}},
			})
			errApply = err
			return next
		})
		if errApply != nil {
			return eris.Wrap(errApply, "apply setting")
		}
	}
	return nil
}
