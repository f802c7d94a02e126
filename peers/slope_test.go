package peers

import (
	"context"
	"encoding/gob"
	"fmt"
	"net"
	"net/netip"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/wire"
)

// cpuTime returns the CPU time that this process has used so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// byteCounter counts the bytes that net/rpc's codec writes for messages on a connection that has already transmitted their types.
type byteCounter struct {
	encoder *gob.Encoder
	bytes   int
}

func (s *byteCounter) Write(b []byte) (int, error) {
	s.bytes += len(b)
	return len(b), nil
}

func newByteCounter() *byteCounter {
	s := &byteCounter{}
	s.encoder = gob.NewEncoder(s)
	for _, m := range []any{wire.Gossip{}, wire.Table{}, wire.Relay{}, wire.RelayReply{}} {
		s.add(m)
	}
	return s
}

// frameBytes is the approximate size of net/rpc's header of a message.
const frameBytes = 25

func (s *byteCounter) add(m any) {
	s.bytes += frameBytes
	if err := s.encoder.Encode(m); err != nil {
		panic(err)
	}
}

// TestSlopeFleet prints the cost of membership per host at several fleet sizes; it only runs if SLOPE is set.
func TestSlopeFleet(t *testing.T) {
	if os.Getenv("SLOPE") == "" {
		t.Skip("a measurement: set SLOPE=1, or to one of the sizes")
	}
	sizes := []map[string]int{
		{"a": 3, "b": 3, "c": 3},
		{"a": 25, "b": 25},
		{"a": 79, "b": 78},
		{"a": 157, "b": 157, "c": 157, "d": 157, "e": 156, "f": 156},
	}
	t.Log("hosts phase calls/s bytes/s(sent+received) processor(share of a core, without codec and sockets) heap/host")
	for _, size := range sizes {
		hosts := 0
		for _, n := range size {
			hosts += n
		}
		if only := os.Getenv("SLOPE"); only != "1" && only != fmt.Sprint(hosts) {
			continue
		}
		withFleetAfter(t, size, 10*time.Second, func(l *fleet) {
			settings := uint64(0)
			for _, n := range l.hosts {
				n.Heads = func() wire.Heads { return wire.Heads{Settings: settings} }
			}
			measure := func(phase string, d time.Duration) {
				s := newByteCounter()
				s.bytes = 0
				l.observe = s.add
				calls, used := l.net.Calls(ServiceName+".Probe"), cpuTime()
				l.run(d)
				l.observe = func(any) {}
				used = cpuTime() - used
				hostSeconds := d.Seconds() * float64(len(l.hosts))
				runtime.GC()
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				t.Logf("%d %s %.1f %.0f %.4f%% %dKiB", len(l.hosts), phase,
					float64(l.net.Calls(ServiceName+".Probe")-calls)/hostSeconds, 2*float64(s.bytes)/hostSeconds,
					100*used.Seconds()/hostSeconds, m.HeapAlloc/uint64(len(l.hosts))>>10)
			}
			measure("quiet", 5*time.Second)
			settings++
			measure("settings change", 5*time.Second)
			measure("5 s after it", 5*time.Second)
			l.kill("a2")
			measure("host killed", 5*time.Second)
		})
	}
}

// BenchmarkSlopeProbe measures one probe and its reply, both sides together, over net/rpc and, for comparison, over plain UDP.
func BenchmarkSlopeProbe(b *testing.B) {
	b.Run("rpc", func(b *testing.B) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		t := &testing.T{}
		withFleet(t, map[string]int{"a": 2}, func(f *fleet) {
			server := wire.NewServer(l)
			require.NoError(b, server.Register(ServiceName, NewService(f.host("a2").Peers)))
			go server.Serve()
			defer server.Close()
			dialer := wire.NewDialer()
			defer dialer.Close()
			g := f.host("a1").localGossip()
			a := netip.MustParseAddrPort(l.Addr().String())
			measureCPU(b, func() {
				var answer wire.Gossip
				if err := dialer.Call(context.Background(), a, ServiceName+".Probe", g, &answer); err != nil {
					b.Fatal(err)
				}
			})
		})
	})
	b.Run("udp", func(b *testing.B) {
		server, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(b, err)
		defer server.Close()
		go func() {
			buffer := make([]byte, 2048)
			for {
				n, from, err := server.ReadFromUDPAddrPort(buffer)
				if err != nil {
					return
				}
				server.WriteToUDPAddrPort(buffer[:n], from)
			}
		}()
		client, err := net.DialUDP("udp", nil, server.LocalAddr().(*net.UDPAddr))
		require.NoError(b, err)
		defer client.Close()
		message, answer := make([]byte, 150), make([]byte, 2048)
		measureCPU(b, func() {
			client.Write(message)
			if _, err := client.Read(answer); err != nil {
				b.Fatal(err)
			}
		})
	})
}

// measureCPU runs f as a benchmark and reports the CPU time per call.
func measureCPU(b *testing.B, f func()) {
	b.Helper()
	f()
	used := cpuTime()
	for b.Loop() {
		f()
	}
	b.ReportMetric(float64((cpuTime()-used).Nanoseconds())/float64(b.N), "processor-ns/op")
}

// BenchmarkSlopeView measures the time and memory of publishing a view, by the number of members.
func BenchmarkSlopeView(b *testing.B) {
	for _, n := range []int{9, 50, 157, 940} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := &fleet{t: &testing.T{}}
			withFleet(f.t, map[string]int{"a": 1}, func(l *fleet) {
				p := l.host("a1").Peers
				for i := range n - 1 {
					m := p.board.Self
					m.Name = fmt.Sprintf("host-%d", i)
					m.State = wire.Alive
					m.Datacentre = string(rune('a' + i%6))
					p.storeRecord(m, false)
				}
				b.ReportAllocs()
				for b.Loop() {
					p.recordsChanged = true
					p.publish()
				}
			})
		})
	}
}
