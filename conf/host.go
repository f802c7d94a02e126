package conf

import (
	"errors"
	"fmt"
	"net/netip"

	"kingcupcross/logs"
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
	Peers netip.AddrPort `json:"peers" doc:"address for other hosts, by which they reach this one"`
	// Admin is where operators are answered.
	Admin netip.AddrPort `json:"admin" doc:"address for operators and metrics, by which they reach this host"`
	// Platform is the address of the platform's store and list of hosts.
	Platform netip.AddrPort `json:"platform" doc:"address of the platform's store and list of hosts"`
	// Seeds are peers' addresses of hosts to ask first, for starts without the platform.
	Seeds []netip.AddrPort `json:"seeds,omitempty" default:"[]" doc:"peers' addresses of some hosts, for a start while the platform is down"`
	// Grace bounds the time that a graceful stop waits for requests in flight.
	Grace units.Duration `json:"grace" default:"30s" min:"1s" max:"10m" doc:"longest time that a graceful stop waits for requests in flight"`
	// Log is the level of each subsystem.
	Log map[string]string `json:"log,omitempty" default:"{}" doc:"log level by subsystem, such as {\"keeper\": \"debug\"}; \"all\" sets the default"`
}

// LoadHost reads and checks a host's settings file; the error joins an Error for each finding.
func LoadHost(name string) (*Host, error) {
	f, err := Read(name)
	if err != nil {
		return nil, err
	}
	h := &Host{}
	setDefaults(h)
	err = f.Decode(h)
	if err == nil {
		err = errors.Join(f.checkHost(h)...)
	}
	if err != nil {
		return nil, sorted(err)
	}
	return h, nil
}

// sorted joins the findings anew in the order of their lines.
func sorted(err error) error {
	var all []error
	for _, e := range Findings(err) {
		all = append(all, e)
	}
	return errors.Join(all...)
}

func (f *File) checkHost(h *Host) []error {
	all := f.checkNames(h.Name, h.Region, h.Datacentre)
	all = append(all, f.checkAddresses(h)...)
	all = append(all, f.checkBounds(h)...)
	for _, name := range sortedNames(h.Log) {
		if err := logs.Check(name, h.Log[name]); err != nil {
			all = append(all, f.Errorf(Join("/log", name), "%v", err))
		}
	}
	return all
}

func (f *File) checkNames(name, region, datacentre string) []error {
	var all []error
	names := []struct{ key, value string }{
		{key: "name", value: name},
		{key: "region", value: region},
		{key: "datacentre", value: datacentre},
	}
	for _, n := range names {
		if n.value == "" {
			all = append(all, f.Errorf("/"+n.key, "%s must be given: add \"%s\": \"...\"", n.key, n.key))
		}
	}
	return all
}

// address is one of the addresses of a settings file.
type address struct {
	key   string
	value netip.AddrPort
	// dialled says that others reach this host by the address, or it them, so that it must be a whole one.
	dialled bool
}

func (f *File) checkAddresses(h *Host) []error {
	all := f.checkEach([]address{
		{key: "callers", value: h.Callers},
		{key: "peers", value: h.Peers, dialled: true},
		{key: "admin", value: h.Admin, dialled: true},
		{key: "platform", value: h.Platform, dialled: true},
	})
	for i, s := range h.Seeds {
		if s.Port() == 0 || s.Addr().IsUnspecified() {
			all = append(all, f.Errorf(fmt.Sprintf("/seeds/%d", i), "nobody can reach %s: use the peers' address of a host", s))
		}
	}
	return all
}

// checkEach finds addresses that are missing, unusable or given twice.
func (f *File) checkEach(addresses []address) []error {
	var all []error
	taken := map[netip.AddrPort]string{}
	for _, a := range addresses {
		switch other := taken[a.value]; {
		case !a.value.IsValid():
			all = append(all, f.Errorf("/"+a.key, "%s must be given: add \"%s\": \"address:port\"", a.key, a.key))
		case a.value.Port() == 0:
			all = append(all, f.Errorf("/"+a.key, "port 0 is no port: use 1 to 65535"))
		case a.dialled && a.value.Addr().IsUnspecified():
			all = append(all, f.Errorf("/"+a.key, "nobody can reach %s: use the address of the machine", a.value.Addr()))
		case other != "":
			all = append(all, f.Errorf("/"+a.key, "the same as %s: use another port", other))
		default:
			taken[a.value] = a.key
		}
	}
	return all
}
