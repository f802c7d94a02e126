package soak

import (
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"kingcupcross/mock"
)

// pathFault is what happens to the connections of a host to all targets while it has no way to them. New connections are refused.
type pathFault int

// Faults of a host's way to the targets.
const (
	// pathStalls holds back all bytes on open connections.
	pathStalls pathFault = iota
	// pathResets resets the open connections.
	pathResets
	// pathKeeps lets open connections go on.
	pathKeeps
	pathFaults
)

// hostPath holds the proxies through which one host reaches the targets. The store shows the host the proxies' addresses.
type hostPath struct {
	t  *testing.T
	mu sync.Mutex
	// proxies holds the proxies by the targets' addresses; ended holds the addresses of targets that have ended.
	proxies map[netip.AddrPort]*mock.Proxy
	ended   map[netip.AddrPort]bool
	lost    bool
}

func newHostPath(t *testing.T) *hostPath {
	p := &hostPath{
		t:       t,
		proxies: map[netip.AddrPort]*mock.Proxy{},
		ended:   map[netip.AddrPort]bool{},
	}
	t.Cleanup(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, proxy := range p.proxies {
			proxy.Close()
		}
	})
	return p
}

// rewrite returns the value of a key as the store shows it to the host.
func (p *hostPath) rewrite(key string, value []byte) []byte {
	var fields map[string]json.RawMessage
	var address netip.AddrPort
	if !strings.HasPrefix(key, "servers/") || json.Unmarshal(value, &fields) != nil || json.Unmarshal(fields["address"], &address) != nil {
		return value
	}
	through, err := p.through(address)
	if err != nil {
		return value
	}
	if fields["address"], err = json.Marshal(through); err != nil {
		return value
	}
	rewritten, err := json.Marshal(fields)
	if err != nil {
		return value
	}
	return rewritten
}

// through returns the address of the proxy to a target's address.
func (p *hostPath) through(address netip.AddrPort) (netip.AddrPort, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	proxy := p.proxies[address]
	if proxy == nil {
		var err error
		if proxy, err = mock.NewProxyAt(freePort(p.t), address); err != nil {
			return netip.AddrPort{}, err
		}
		p.proxies[address] = proxy
		if p.lost || p.ended[address] {
			proxy.Refuse()
		}
	}
	return proxy.Address, nil
}

// end makes the host's new connections to a target that ends be refused. The open ones end with the target's own, so that no host sees an end while others can still connect.
func (p *hostPath) end(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended[address] = true
	if proxy := p.proxies[address]; proxy != nil {
		proxy.Refuse()
	}
}

// lose takes the host's way to all targets away, and restore gives it back.
func (p *hostPath) lose(f pathFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lost = true
	for _, proxy := range p.proxies {
		proxy.Refuse()
		switch f {
		case pathStalls:
			proxy.Stall(true, true)
		case pathResets:
			proxy.Reset()
		}
	}
}

func (p *hostPath) restore() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.lost {
		return
	}
	p.lost = false
	for address, proxy := range p.proxies {
		proxy.Stall(false, false)
		if !p.ended[address] {
			require.NoError(p.t, proxy.Accept())
		}
	}
}

// losePaths takes the way to all targets away from n random hosts, and restorePaths gives it back to all.
func (w *cluster) losePaths(r *rand.Rand, n int, f pathFault) {
	for _, i := range r.Perm(len(w.hosts))[:n] {
		w.hosts[i].path.lose(f)
	}
}

func (w *cluster) restorePaths() {
	for _, h := range w.hosts {
		h.path.restore()
	}
}

// releaseGateways ends stalls of the links to the store.
func (w *cluster) releaseGateways() {
	w.eachGateway(func(g *mock.Proxy) { g.Stall(false, false) })
}
