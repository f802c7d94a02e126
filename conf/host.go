package conf

import (
	"errors"
	"fmt"
	"net/netip"

	"kingcupcross/logs"
	"kingcupcross/units"
)

// Host holds the settings in a host's own file.
type Host struct {
	// Name is the host's name, unique in the fleet.
	Name string `json:"name" doc:"the host's name, unique in the fleet"`
	// Region is the region of the host's data centre.
	Region string `json:"region" doc:"region of the host's data centre"`
	// Datacentre is the host's data centre.
	Datacentre string `json:"datacentre" doc:"the host's data centre"`
	// Callers is the listen address for callers and the platform's load balancer.
	Callers netip.AddrPort `json:"callers" doc:"address for callers and the platform's balancer"`
	// Peers is the address at which other hosts reach this one.
	Peers netip.AddrPort `json:"peers" doc:"address for other hosts, by which they reach this one"`
	// Admin is the address at which operators reach this host and read its metrics.
	Admin netip.AddrPort `json:"admin" doc:"address for operators and metrics, by which they reach this host"`
	// Platform is the address of the platform's store and list of hosts.
	Platform netip.AddrPort `json:"platform" doc:"address of the platform's store and list of hosts"`
	// Seeds are the Peers addresses of some hosts, to join the fleet while the platform is down.
	Seeds []netip.AddrPort `json:"seeds,omitempty" default:"[]" doc:"peers' addresses of some hosts, for a start while the platform is down"`
	// Grace is the maximum time that a graceful stop waits for requests in flight.
	Grace units.Duration `json:"grace" default:"30s" min:"1s" max:"10m" doc:"longest time that a graceful stop waits for requests in flight"`
	// Log holds the log level of each subsystem.
	Log map[string]string `json:"log,omitempty" default:"{}" doc:"log level by subsystem, such as {\"keeper\": \"debug\"}; \"all\" sets the default"`
}

// LoadHost reads and checks a host's settings file; the error joins an Error for each invalid setting.
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
		return nil, sortedByLine(err)
	}
	return h, nil
}

// sortedByLine joins each Error that err joins again, in the order of lines.
func sortedByLine(err error) error {
	var errs []error
	for _, e := range Findings(err) {
		errs = append(errs, e)
	}
	return errors.Join(errs...)
}

// checkHost returns an error for each missing or invalid setting.
func (f *File) checkHost(h *Host) []error {
	errs := f.checkNames(h.Name, h.Region, h.Datacentre)
	errs = append(errs, f.checkAddresses(h)...)
	errs = append(errs, f.checkBounds(h)...)
	for _, name := range sortedKeys(h.Log) {
		if err := logs.Check(name, h.Log[name]); err != nil {
			errs = append(errs, f.Errorf(Join("/log", name), "%v", err))
		}
	}
	return errs
}

// checkNames returns an error for each of the host's names that is missing.
func (f *File) checkNames(name, region, datacentre string) []error {
	var errs []error
	names := []struct{ key, value string }{
		{key: "name", value: name},
		{key: "region", value: region},
		{key: "datacentre", value: datacentre},
	}
	for _, n := range names {
		if n.value == "" {
			errs = append(errs, f.Errorf("/"+n.key, "%s must be given: add \"%s\": \"...\"", n.key, n.key))
		}
	}
	return errs
}

// address is an address setting to be checked.
type address struct {
	key   string
	value netip.AddrPort
	// reachable says that connections are made to this address, so it can't be an unspecified one such as 0.0.0.0.
	reachable bool
}

// checkAddresses returns an error for each unusable address of a host's settings.
func (f *File) checkAddresses(h *Host) []error {
	errs := f.checkAddressList([]address{
		{key: "callers", value: h.Callers},
		{key: "peers", value: h.Peers, reachable: true},
		{key: "admin", value: h.Admin, reachable: true},
		{key: "platform", value: h.Platform, reachable: true},
	})
	for i, s := range h.Seeds {
		if s.Port() == 0 || s.Addr().IsUnspecified() {
			errs = append(errs, f.Errorf(fmt.Sprintf("/seeds/%d", i), "nobody can reach %s: use the peers' address of a host", s))
		}
	}
	return errs
}

// checkAddressList returns an error for each address that is missing, unusable or equal to an earlier one.
func (f *File) checkAddressList(addresses []address) []error {
	var errs []error
	keyByAddress := map[netip.AddrPort]string{}
	for _, a := range addresses {
		switch other := keyByAddress[a.value]; {
		case !a.value.IsValid():
			errs = append(errs, f.Errorf("/"+a.key, "%s must be given: add \"%s\": \"address:port\"", a.key, a.key))
		case a.value.Port() == 0:
			errs = append(errs, f.Errorf("/"+a.key, "port 0 is no port: use 1 to 65535"))
		case a.reachable && a.value.Addr().IsUnspecified():
			errs = append(errs, f.Errorf("/"+a.key, "nobody can reach %s: use the address of the machine", a.value.Addr()))
		case other != "":
			errs = append(errs, f.Errorf("/"+a.key, "the same as %s: use another port", other))
		default:
			keyByAddress[a.value] = a.key
		}
	}
	return errs
}
