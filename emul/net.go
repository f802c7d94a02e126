package emul

import (
	"context"
	"net/netip"
	"os"
	"reflect"
	"strings"
	"sync"
	"syscall"

	"kingcupcross/wire"
)

// Net carries calls between hosts of one process, with the faults of a network and of machines.
type Net struct {
	mu    sync.Mutex
	parts map[netip.AddrPort]map[string]any
	state map[netip.AddrPort]netState
	cut   func(from, to netip.AddrPort) bool
	// late is the number of calls still to come that run without their answer arriving.
	late  int
	calls map[string]int
}

type netState int

const (
	netUp netState = iota
	netSilent
	netGone
)

// NewNet returns a network without hosts or faults.
func NewNet() *Net {
	return &Net{
		parts: map[netip.AddrPort]map[string]any{},
		state: map[netip.AddrPort]netState{},
		cut:   func(netip.AddrPort, netip.AddrPort) bool { return false },
		calls: map[string]int{},
	}
}

// Register answers calls to an address with the methods of one part.
func (n *Net) Register(a netip.AddrPort, name string, part any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.parts[a] == nil {
		n.parts[a] = map[string]any{}
	}
	n.parts[a][name] = part
	n.state[a] = netUp
}

// Kill ends the process at an address: its machine refuses connections.
func (n *Net) Kill(a netip.AddrPort) {
	n.set(a, netGone)
}

// Freeze stops the process at an address: calls to it get no answer.
func (n *Net) Freeze(a netip.AddrPort) {
	n.set(a, netSilent)
}

// Thaw continues a stopped process.
func (n *Net) Thaw(a netip.AddrPort) {
	n.set(a, netUp)
}

func (n *Net) set(a netip.AddrPort, s netState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state[a] = s
}

// Cut drops all calls for which f says so.
func (n *Net) Cut(f func(from, to netip.AddrPort) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = f
}

// LoseReplies lets that many calls run without their answers arriving.
func (n *Net) LoseReplies(count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.late = count
}

// Calls returns the number of calls of a method that were made.
func (n *Net) Calls(method string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls[method]
}

// Caller returns the way from an address to all others.
func (n *Net) Caller(from netip.AddrPort) wire.CallFunc {
	return func(ctx context.Context, to netip.AddrPort, method string, args, reply any) error {
		if err := ctx.Err(); err != nil {
			return &wire.CallError{Address: to, Method: method, Err: err}
		}
		part, lose, err := n.route(from, to, method)
		if err != nil {
			return err
		}
		_, name, _ := strings.Cut(method, ".")
		answer := reflect.New(reflect.TypeOf(reply).Elem())
		out := reflect.ValueOf(part).MethodByName(name).Call([]reflect.Value{reflect.ValueOf(args), answer})
		if lose {
			return silence(to, method)
		}
		if err, failed := out[0].Interface().(error); failed {
			return err
		}
		reflect.ValueOf(reply).Elem().Set(answer.Elem())
		return nil
	}
}

func silence(to netip.AddrPort, method string) error {
	return &wire.CallError{
		Address: to,
		Method:  method,
		Sent:    true,
		Err:     context.DeadlineExceeded,
	}
}

func (n *Net) route(from, to netip.AddrPort, method string) (part any, lose bool, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls[method]++
	name, _, _ := strings.Cut(method, ".")
	part = n.parts[to][name]
	switch {
	case n.state[from] != netUp || n.cut(from, to) || n.state[to] == netSilent:
		return nil, false, silence(to, method)
	case part == nil || n.state[to] == netGone:
		return nil, false, &wire.CallError{
			Address: to,
			Method:  method,
			Err:     os.NewSyscallError("connect", syscall.ECONNREFUSED),
		}
	}
	lose = n.late > 0
	if lose {
		n.late--
	}
	return part, lose, nil
}
