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

// Net is an in-memory network that carries calls between hosts in one process. It can emulate crashed and frozen processes, partitions and lost replies.
type Net struct {
	mu sync.Mutex
	// services holds the registered services of each address by name.
	services map[netip.AddrPort]map[string]any
	states   map[netip.AddrPort]netState
	// shouldDrop reports whether calls between two addresses are lost.
	shouldDrop func(from, to netip.AddrPort) bool
	// repliesToLose is the number of further calls that are executed but whose replies are lost.
	repliesToLose int
	calls         map[string]int
}

// netState is the state of the process at an address.
type netState int

const (
	netUp netState = iota
	// netFrozen accepts calls but never answers.
	netFrozen
	// netKilled refuses connections.
	netKilled
)

// NewNet returns a network without hosts or faults.
func NewNet() *Net {
	return &Net{
		services:   map[netip.AddrPort]map[string]any{},
		states:     map[netip.AddrPort]netState{},
		shouldDrop: func(netip.AddrPort, netip.AddrPort) bool { return false },
		calls:      map[string]int{},
	}
}

// Register adds a service under a name to an address and marks the address as up. A call to method "name.Method" runs that method of the service.
func (n *Net) Register(a netip.AddrPort, name string, service any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.services[a] == nil {
		n.services[a] = map[string]any{}
	}
	n.services[a][name] = service
	n.states[a] = netUp
}

// Kill emulates the end of the process at an address: connections to it are refused.
func (n *Net) Kill(a netip.AddrPort) {
	n.setState(a, netKilled)
}

// Freeze emulates a stopped process at an address: calls to it get no reply.
func (n *Net) Freeze(a netip.AddrPort) {
	n.setState(a, netFrozen)
}

// Resume ends the effect of Freeze or Kill.
func (n *Net) Resume(a netip.AddrPort) {
	n.setState(a, netUp)
}

// setState sets the state of the process at an address.
func (n *Net) setState(a netip.AddrPort, s netState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.states[a] = s
}

// DropCalls drops all calls between pairs of addresses for which drop returns true.
func (n *Net) DropCalls(drop func(from, to netip.AddrPort) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.shouldDrop = drop
}

// LoseReplies executes the next count calls but loses their replies.
func (n *Net) LoseReplies(count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.repliesToLose = count
}

// Calls returns the number of calls to a method, including those that were dropped or refused.
func (n *Net) Calls(method string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls[method]
}

// Caller returns the function through which the host at an address calls all others.
func (n *Net) Caller(from netip.AddrPort) wire.CallFunc {
	return func(ctx context.Context, to netip.AddrPort, method string, args, reply any) error {
		if err := ctx.Err(); err != nil {
			return &wire.CallError{Address: to, Method: method, Err: err}
		}
		service, loseReply, err := n.resolve(from, to, method)
		if err != nil {
			return err
		}
		_, name, _ := strings.Cut(method, ".")
		result := reflect.New(reflect.TypeOf(reply).Elem())
		out := reflect.ValueOf(service).MethodByName(name).Call([]reflect.Value{reflect.ValueOf(args), result})
		if loseReply {
			return noReplyError(to, method)
		}
		if err, failed := out[0].Interface().(error); failed {
			return err
		}
		reflect.ValueOf(reply).Elem().Set(result.Elem())
		return nil
	}
}

// noReplyError is the error of a call that was sent but got no reply in time.
func noReplyError(to netip.AddrPort, method string) error {
	return &wire.CallError{
		Address: to,
		Method:  method,
		Sent:    true,
		Err:     context.DeadlineExceeded,
	}
}

// resolve counts a call. It returns the service that executes it and whether its reply is to be lost.
// It fails if the call can't reach the service.
func (n *Net) resolve(from, to netip.AddrPort, method string) (service any, loseReply bool, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls[method]++
	name, _, _ := strings.Cut(method, ".")
	service = n.services[to][name]
	switch {
	case n.states[from] != netUp || n.shouldDrop(from, to) || n.states[to] == netFrozen:
		return nil, false, noReplyError(to, method)
	case service == nil || n.states[to] == netKilled:
		return nil, false, &wire.CallError{
			Address: to,
			Method:  method,
			Err:     os.NewSyscallError("connect", syscall.ECONNREFUSED),
		}
	}
	loseReply = n.repliesToLose > 0
	if loseReply {
		n.repliesToLose--
	}
	return service, loseReply, nil
}
