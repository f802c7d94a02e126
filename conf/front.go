package conf

import (
	"errors"
	"net/netip"
	"time"

	"kingcupcross/units"
)

// Front holds the settings of a host that serves callers of the users' platform.
type Front struct {
	// Name is the host's name, unique in the fleet.
	Name string `json:"name" doc:"the host's name, unique in the fleet"`
	// Region is the region of the host's data centre.
	Region string `json:"region" doc:"region of the host's data centre"`
	// Datacentre is the host's data centre.
	Datacentre string `json:"datacentre" doc:"the host's data centre"`
	// Datacentres maps each data centre to its region.
	Datacentres map[string]string `json:"datacentres" doc:"region of each data centre, by name"`
	// Callers is the listen address for callers.
	Callers netip.AddrPort `json:"callers" doc:"address for callers"`
	// Ready is the listen address for the load balancer's readiness probes.
	Ready netip.AddrPort `json:"ready" doc:"address for the balancer's question whether this host is ready"`
	// Requests is the listen address for callers' requests that other hosts forward.
	Requests netip.AddrPort `json:"requests" doc:"address for requests that other hosts send on"`
	// Views is the listen address from which other hosts read the configuration and the targets.
	Views netip.AddrPort `json:"views" doc:"address where other hosts read configuration and targets"`
	// Cores is the number of processor cores that the host may use; coordinators are chosen by it.
	Cores float64 `json:"cores" default:"1" min:"0.01" max:"1024" doc:"processor time a second that the host may use, by which coordinators are chosen"`
	// Memory is the memory limit of the host's process; the size of answers is bounded by it.
	Memory units.Size `json:"memory" default:"256MiB" min:"64MiB" max:"1024GiB" doc:"memory that the host's process may use, by which answers are bounded"`
	// Metrics is the port of the metrics page, on the IP address of Callers.
	Metrics int `json:"metrics" default:"9190" min:"1" max:"65535" doc:"port of the metrics page, at the callers' address"`
	// Store is the address of the platform's store.
	Store netip.AddrPort `json:"store" doc:"address of the platform's store"`
	// First says that the whole fleet starts for the first time, so that its hosts discover each other before they read the store.
	First bool `json:"first" doc:"whether the whole fleet starts for the first time, so that its hosts learn of each other before they read the store"`
	// Grace is the time from the signal to stop until the process is killed.
	Grace units.Duration `json:"grace" default:"6s" min:"1s" max:"10m" doc:"time from the signal to stop until the process is killed"`
	// Apply is the time within which a change of the configuration must take effect.
	Apply units.Duration `json:"apply" default:"3s" min:"500ms" max:"1m" doc:"time within which a change of the configuration is in force"`
	// Leave is the time within which a leaving target must stop receiving work.
	Leave units.Duration `json:"leave" default:"3s" min:"500ms" max:"1m" doc:"time within which a target that leaves gets no more work"`
	// Out is the time within which a data centre that is taken out of service must stop receiving work.
	Out units.Duration `json:"out" default:"5s" min:"500ms" max:"1m" doc:"time within which a data centre that is taken out of service gets no more work"`
	// Beat is the interval of a target's heartbeats to the platform's store.
	Beat units.Duration `json:"beat" default:"1200ms" min:"100ms" max:"1m" doc:"time between two heartbeats of a target at the platform's store"`
	// Extra limits the hedges and retries of all hosts together, as a share of a service's requests.
	Extra float64 `json:"extra" default:"0.2" min:"0" max:"1" doc:"share of hedges and retries of a service's requests, over all hosts"`
	// Slack is the number of hedges and retries beyond that share that all hosts together may send at once.
	Slack float64 `json:"slack" default:"50" min:"0" max:"100000" doc:"hedges and retries of a service beyond the share, over all hosts together"`
	// Heat is the factor by which all hosts together may exceed the request rate that a cold target states.
	Heat float64 `json:"heat" default:"1.5" min:"1" max:"10" doc:"factor on the stated rate of a cold target, over all hosts"`
	// Margin is the number of requests per second that all hosts together may send to a cold target beyond that.
	Margin float64 `json:"margin" default:"5" min:"0" max:"1000" doc:"requests a second to a cold target beyond that, over all hosts"`
}

// ChangeDeadline returns the shortest time within which the host must react to a change in the platform's store.
func (c *Front) ChangeDeadline() time.Duration {
	return min(c.Apply.D(), c.Leave.D(), c.Out.D())
}

// minBeatsToExpiry is the length, in heartbeat intervals, of the shortest outage of the store that lets entries expire: an entry expires after three missed heartbeats, and the last heartbeat may have come up to one interval before the outage.
const minBeatsToExpiry = 2

// OutageUntilExpiry returns the shortest outage of the store after which entries of targets may have expired.
func (c *Front) OutageUntilExpiry() time.Duration {
	return minBeatsToExpiry * c.Beat.D()
}

// LoadFront reads and checks the settings file of a host on the users' platform; the error joins an Error for each invalid setting.
func LoadFront(name string) (*Front, error) {
	f, err := Read(name)
	if err != nil {
		return nil, err
	}
	c := &Front{}
	setDefaults(c)
	err = f.Decode(c)
	if err == nil {
		err = errors.Join(f.checkFront(c)...)
	}
	if err != nil {
		return nil, sortedByLine(err)
	}
	return c, nil
}

// checkFront returns an error for each missing or invalid setting.
func (f *File) checkFront(c *Front) []error {
	errs := f.checkNames(c.Name, c.Region, c.Datacentre)
	errs = append(errs, f.checkAddressList([]address{
		{key: "callers", value: c.Callers},
		{key: "ready", value: c.Ready},
		{key: "store", value: c.Store, reachable: true},
		{key: "requests", value: c.Requests, reachable: true},
		{key: "views", value: c.Views, reachable: true},
	})...)
	if region, known := c.Datacentres[c.Datacentre]; c.Datacentre != "" && (!known || region != c.Region) {
		errs = append(errs, f.Errorf("/datacentres", "%s must stand here with region %s: add \"%s\": \"%s\"", c.Datacentre, c.Region, c.Datacentre, c.Region))
	}
	return append(errs, f.checkBounds(c)...)
}
