package conf

import (
	"net/netip"
	"time"

	"kingcupcross/units"
)

// Host holds a host's own settings.
type Host struct {
	// Name is the host's name, unique in the fleet.
	Name string `json:"name" doc:"the host's name, unique in the fleet"`
	// Region is the region of the data centre.
	Region string `json:"region" doc:"region of the host's data centre"`
	// Datacentre is the host's data centre.
	Datacentre string `json:"datacentre" doc:"the host's data centre"`
	// Callers is where callers and the platform's balancer are answered.
	Callers netip.AddrPort `json:"callers" doc:"address for callers and the platform's balancer"`
	// Peers is where other hosts are answered.
	Peers netip.AddrPort `json:"peers" doc:"address for other hosts"`
	// Admin is where operators are answered.
	Admin netip.AddrPort `json:"admin" doc:"address for operators and metrics"`
	// Platform is the address of the platform's store and list of hosts.
	Platform netip.AddrPort `json:"platform" doc:"address of the platform's store and list of hosts"`
	// Seeds are peers' addresses of hosts to ask first, for starts without the platform.
	Seeds []netip.AddrPort `json:"seeds" doc:"peers' addresses of some hosts, for a start while the platform is down"`
	// Grace bounds the time that a graceful stop waits for requests in flight.
	Grace units.Duration `json:"grace" doc:"longest time that a graceful stop waits for requests in flight; default 30s"`
	// Log is the level of each subsystem.
	Log map[string]string `json:"log" doc:"log level by subsystem, such as {\"keeper\": \"debug\"}; \"all\" sets the default"`
}

// LoadHost reads and checks a host's settings file.
func LoadHost(name string) (*Host, error) {
	f, err := Read(name)
	if err != nil {
		return nil, err
	}
	h := &Host{Grace: units.Duration(defaultGrace)}
	if err := f.Decode(h); err != nil {
		return nil, err
	}
	return h, f.checkHost(h)
}

func (f *File) checkHost(h *Host) error {
	names := []struct{ key, value string }{
		{key: "/name", value: h.Name},
		{key: "/region", value: h.Region},
		{key: "/datacentre", value: h.Datacentre},
	}
	for _, n := range names {
		if n.value == "" {
			return f.Errorf(n.key, "%s must be given: add %q", n.key[1:], n.key[1:]+`": "...`)
		}
	}
	addresses := []struct {
		key   string
		value netip.AddrPort
	}{
		{key: "/callers", value: h.Callers},
		{key: "/peers", value: h.Peers},
		{key: "/admin", value: h.Admin},
		{key: "/platform", value: h.Platform},
	}
	for _, a := range addresses {
		if !a.value.IsValid() {
			return f.Errorf(a.key, "%s must be given as \"address:port\"", a.key[1:])
		}
	}
	if h.Grace <= 0 {
		return f.Errorf("/grace", "use a duration above zero")
	}
	return nil
}

const defaultGrace = 30 * time.Second
