package keeper

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/board"
	"kingcupcross/bound"
	"kingcupcross/target"
	"kingcupcross/wire"
)

// cpuTime returns the CPU time that this process has used so far.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measureCPU reports the CPU time per call of f in microseconds.
func measureCPU(b *testing.B, f func()) {
	before := cpuTime(b)
	for b.Loop() {
		f()
	}
	b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
}

// BenchmarkSlopeChange measures the assignment after the death of one host, for several numbers of hosts, data centres and targets, and how many targets get another keeper.
func BenchmarkSlopeChange(b *testing.B) {
	for _, c := range []struct{ hosts, datacentres, targets, perService int }{
		{hosts: 9, datacentres: 3, targets: 110, perService: 10},
		{hosts: 50, datacentres: 6, targets: 396, perService: 99},
		{hosts: 157, datacentres: 1, targets: 1089, perService: 99},
		{hosts: 940, datacentres: 6, targets: 6336, perService: 99},
		{hosts: 940, datacentres: 6, targets: 6336, perService: 12},
	} {
		b.Run(fmt.Sprintf("hosts=%d/targets=%d/perservice=%d", c.hosts, c.targets, c.perService), func(b *testing.B) {
			v, all := testFleet(c.hosts, c.datacentres, c.targets, c.perService)
			old := newTable(nil, v, all)
			next := &board.Membership{Members: map[string]wire.Member{}}
			for name, m := range v.Members {
				if name == "h000" {
					m.State = wire.Dead
				}
				next.Members[name] = m
			}
			moved := 0
			changed := newTable(old, next, all)
			for name, k := range old.keepers {
				if changed.keepers[name].Name != k.Name {
					moved++
				}
			}
			measureCPU(b, func() { newTable(old, next, all) })
			b.ReportMetric(float64(moved), "moved")
		})
	}
}

// BenchmarkSlopeSame measures the table for a new view in which no host came or went.
func BenchmarkSlopeSame(b *testing.B) {
	for _, hosts := range []int{9, 157, 940} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			v, all := testFleet(hosts, 3, hosts*7/33*33, 33)
			old := newTable(nil, v, all)
			next := &board.Membership{Members: maps.Clone(v.Members)}
			measureCPU(b, func() { newTable(old, next, all) })
		})
	}
}

// BenchmarkSlopeTend measures reconcile when there is nothing to claim, for several numbers of hosts in the data centre.
func BenchmarkSlopeTend(b *testing.B) {
	for _, hosts := range []int{3, 50, 157} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			v, all := testFleet(hosts, 1, hosts*7, 7)
			withHost(v.Members["h001"], func(h *host) {
				h.board.ShardMaps.Update(func(*board.ShardMaps) *board.ShardMaps { return all })
				h.board.Membership.Update(func(*board.Membership) *board.Membership { return v })
				h.keeper.callYield = func(_ context.Context, m wire.Member, _ wire.Yield) (wire.YieldReply, error) {
					return wire.YieldReply{From: m.HostID}, nil
				}
				h.keeper.guards.lostRequestTime = 0
				for range 3 {
					h.keeper.reconcile(context.Background())
				}
				measureCPU(b, func() { h.keeper.reconcile(context.Background()) })
				b.ReportMetric(float64(len(h.keeper.TargetStatuses())), "kept")
			})
		})
	}
}

// BenchmarkSlopeLoad measures a lookup of a target's keeper, as made for each request, for several numbers of hosts.
func BenchmarkSlopeLoad(b *testing.B) {
	for _, hosts := range []int{9, 157, 940} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			v, all := testFleet(hosts, 1, hosts*7, 7)
			withHost(v.Members["h000"], func(h *host) {
				h.board.ShardMaps.Update(func(*board.ShardMaps) *board.ShardMaps { return all })
				h.board.Membership.Update(func(*board.Membership) *board.Membership { return v })
				measureCPU(b, func() { h.keeper.Table().Keeper("t0003") })
			})
		})
	}
}

// echoService answers as a keeper, with parts of partSize bytes.
type echoService struct{}

const partSize = 200

// Ask answers all parts at once.
func (echoService) Ask(q wire.Ask, r *wire.AskReply) error {
	for _, p := range q.Parts {
		r.Results = append(r.Results, wire.Result{
			Target:   p.Target,
			Snapshot: q.Snapshot,
			Parts:    []target.Part{target.NewPart(p.Shards[0], make([]byte, partSize))},
		})
	}
	return nil
}

// BenchmarkSlopeHop measures a call to a keeper with 1, 4 and 16 parts, including the work on both sides.
func BenchmarkSlopeHop(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	s := wire.NewServer(l)
	require.NoError(b, s.Register(ServiceName, echoService{}))
	go s.Serve()
	defer s.Close()
	d := wire.NewDialer()
	defer d.Close()
	address := netip.MustParseAddrPort(l.Addr().String())
	for _, parts := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("parts=%d", parts), func(b *testing.B) {
			q := wire.Ask{ID: "q1", Service: "s1", Payload: make([]byte, partSize), Left: time.Second, Soft: time.Second}
			for i := range parts {
				q.Parts = append(q.Parts, wire.Part{Target: fmt.Sprintf("t%04d", i), Shards: []int{i}})
			}
			measureCPU(b, func() {
				var r wire.AskReply
				require.NoError(b, d.Call(context.Background(), address, ServiceName+".Ask", q, &r))
			})
		})
	}
}

// BenchmarkSlopeDirect measures a query to a target over HTTP, including the work on both sides.
func BenchmarkSlopeDirect(b *testing.B) {
	answer := []byte(`{"id":"q1","snapshot":{"map":1,"index":1},"state":{},"parts":[]}`)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.Write(answer)
		w.Write(bytes.Repeat([]byte{' '}, partSize))
	}))
	defer server.Close()
	c := target.NewClient(netip.MustParseAddrPort(server.Listener.Addr().String()), 4, bound.NewMemory(1<<20))
	measureCPU(b, func() {
		_, err := c.Query(context.Background(), target.Query{ID: "q1", Service: "s1", Shards: []int{1}, Payload: make([]byte, partSize)})
		require.NoError(b, err)
	})
}

// BenchmarkSlopeAdmission measures admitting and completing a request, with and without waiting requests.
func BenchmarkSlopeAdmission(b *testing.B) {
	for _, waiting := range []int{0, 16, 64} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			v, all := testFleet(1, 1, 7, 7)
			withHost(v.Members["h000"], func(h *host) {
				h.board.ShardMaps.Update(func(*board.ShardMaps) *board.ShardMaps { return all })
				h.keeper.KeepAssignedForTesting()
				g, f := h.keeper.gateFor("s0000", "t0003")
				require.Nil(b, f)
				for range waiting {
					g.queue.insert(&waiter{class: wire.Bulk, deadline: startTime.Add(time.Hour), result: make(chan waitResult, 1)})
				}
				state := target.State{Process: 1, Phase: target.Warm, Limit: 3, Busy: 1}
				deadline := startTime.Add(time.Minute)
				measureCPU(b, func() {
					g.mu.Lock()
					p := g.admit(startTime, deadline)
					g.mu.Unlock()
					p.done(state, nil)
					if waiting > 0 {
						g.mu.Lock()
						for len(g.inFlight) > 0 {
							g.removeInFlight(g.inFlight[0])
						}
						for len(g.queue.waiters) < waiting {
							g.queue.insert(&waiter{class: wire.Bulk, deadline: startTime.Add(time.Hour), result: make(chan waitResult, 1)})
						}
						g.mu.Unlock()
					}
				})
			})
		})
	}
}

// BenchmarkSlopeMemory measures the memory of a gate and of a target's entry in the table.
func BenchmarkSlopeMemory(b *testing.B) {
	for _, targets := range []int{110, 1100, 6600} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			v, all := testFleet(1, 1, targets, 11)
			withHost(v.Members["h000"], func(h *host) {
				h.board.ShardMaps.Update(func(*board.ShardMaps) *board.ShardMaps { return all })
				h.board.MarkJoined()
				h.keeper.guards.askPeers = false
				var gates, table float64
				for b.Loop() {
					h.keeper.tables.table.Store(nil)
					h.keeper.gates.Store(&map[string]*gate{})
					before := heapInUse()
					h.keeper.Table()
					between := heapInUse()
					h.keeper.mu.Lock()
					for name := range h.keeper.Table().keepers {
						service, row := h.keeper.Table().target(name)
						h.keeper.getOrCreateGate(service, *row)
					}
					h.keeper.mu.Unlock()
					gates, table = float64(heapInUse()-between), float64(between-before)
				}
				b.ReportMetric(gates/float64(targets), "B/gate")
				b.ReportMetric(table/float64(targets), "B/row")
			})
		})
	}
}

// heapInUse returns the bytes of live heap objects.
func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
