package emul

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"kingcupcross/conf"
	"kingcupcross/shard"
	"kingcupcross/units"
)

// Place is a data centre and the region that it belongs to.
type Place struct {
	Region     string
	Datacentre string
}

// Service describes a service and its dedicated targets, which hold two replicas of each of its shards.
type Service struct {
	Name    string
	Targets int
	Shards  int
	Slots   int
	Conns   int
}

// Layout describes a deployment of the platform, hosts and targets as processes on loopback.
type Layout struct {
	Places []Place
	// Hosts is the number of hosts in each place.
	Hosts int
	// Port is the first port. The platform listens on it, the hosts and targets on those that follow.
	Port int
	// Median is the median service time of a request at a target.
	Median units.Duration
	// Setup is the setup time of a new connection to a target.
	Setup units.Duration
	// Services lists all services; if it is empty, the fields below describe the only service.
	Services []Service
	Service  string
	Targets  int
	Shards   int
	Slots    int
	Conns    int
}

// effectiveServices returns the services to lay out, and whether the names of targets are derived from their service.
// Targets of a layout with a single service are named after their data centre instead.
func (l *Layout) effectiveServices() (services []Service, nameByService bool) {
	if len(l.Services) > 0 {
		return l.Services, true
	}
	return []Service{{
		Name:    l.Service,
		Targets: l.Targets,
		Shards:  l.Shards,
		Slots:   l.Slots,
		Conns:   l.Conns,
	}}, false
}

// TargetFile is the content of a target's settings file.
type TargetFile struct {
	Address netip.AddrPort `json:"address"`
	// Conns is the number of connections that the target accepts, zero for no limit; Setup is the setup time of a new one.
	Conns int            `json:"conns"`
	Setup units.Duration `json:"setup"`
	TargetSettings
}

// PlatformFile is the content of the platform's settings file.
type PlatformFile struct {
	Address netip.AddrPort `json:"address"`
	// Lag is the period of the readiness checks, and so the time by which the list of hosts may lag.
	Lag   units.Duration `json:"lag"`
	Hosts []HostRow      `json:"hosts"`
	Maps  []shard.Map    `json:"maps"`
}

// portsPerHost is the number of ports that a host listens on: for callers, peers and operators.
const portsPerHost = 3

// addressAt returns the loopback address at an offset from the layout's first port.
func (l *Layout) addressAt(offset int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(l.Port+offset))
}

// WriteSettings writes the settings files of the platform, the hosts and the targets to the directory dir.
func (l *Layout) WriteSettings(dir string) error {
	if len(l.Places) < 2 || l.Hosts < 1 {
		return eris.Errorf("a layout needs at least two places and one host in each")
	}
	platform := PlatformFile{Address: l.addressAt(0), Lag: units.Duration(1e9)}
	for i := range l.Hosts * len(l.Places) {
		row, err := l.writeHostFile(dir, i)
		if err != nil {
			return err
		}
		platform.Hosts = append(platform.Hosts, row)
	}
	services, nameByService := l.effectiveServices()
	nextTarget := 0
	for _, s := range services {
		if s.Targets < 2 || s.Shards < 1 {
			return eris.Errorf("service %s needs at least two targets and one shard", s.Name)
		}
		m, err := l.writeTargetFiles(dir, s, nextTarget, nameByService)
		if err != nil {
			return err
		}
		nextTarget += s.Targets
		platform.Maps = append(platform.Maps, m)
	}
	return writeJSONFile(filepath.Join(dir, "platform.json"), platform)
}

// writeHostFile writes the settings file of the i-th host and returns its row for the platform's list. Hosts are assigned to the places in rotation.
func (l *Layout) writeHostFile(dir string, i int) (HostRow, error) {
	p := l.Places[i%len(l.Places)]
	firstPort := 1 + i*portsPerHost
	h := conf.Host{
		Name:       fmt.Sprintf("%s-h%d", p.Datacentre, i/len(l.Places)+1),
		Region:     p.Region,
		Datacentre: p.Datacentre,
		Callers:    l.addressAt(firstPort),
		Peers:      l.addressAt(firstPort + 1),
		Admin:      l.addressAt(firstPort + 2),
		Platform:   l.addressAt(0),
		Grace:      units.Duration(10e9),
	}
	row := HostRow{
		Name:       h.Name,
		Datacentre: h.Datacentre,
		Peers:      h.Peers,
		Callers:    h.Callers,
	}
	return row, writeJSONFile(filepath.Join(dir, "hosts", h.Name+".json"), h)
}

// writeTargetFiles writes the settings files of a service's targets and returns its shard map.
// precedingTargets is the number of targets of all services before this one; it keeps ports and seeds of targets distinct.
func (l *Layout) writeTargetFiles(dir string, s Service, precedingTargets int, nameByService bool) (shard.Map, error) {
	m, heldShards := PlaceReplicas(s.Name, s.Shards, s.Targets, len(l.Places))
	firstPort := 1 + portsPerHost*l.Hosts*len(l.Places)
	for i := range s.Targets {
		p := l.Places[(precedingTargets+i)%len(l.Places)]
		t := shard.Target{
			Name:       fmt.Sprintf("%s-t%d", p.Datacentre, i/len(l.Places)+1),
			Address:    l.addressAt(firstPort + precedingTargets + i),
			Datacentre: p.Datacentre,
			Slots:      s.Slots,
			Conns:      s.Conns,
		}
		if nameByService {
			t.Name = fmt.Sprintf("%s-t%d", s.Name, i+1)
		}
		m.Targets = append(m.Targets, t)
		if err := writeJSONFile(filepath.Join(dir, "targets", t.Name+".json"), l.newTargetFile(t, s, precedingTargets+i, heldShards[i])); err != nil {
			return m, err
		}
	}
	return m, nil
}

// PlaceReplicas assigns two replicas of each shard to targets in different data centres; target i lies in place i modulo places.
// It returns a shard map without its targets, and the shards that each target holds.
func PlaceReplicas(service string, shards, targets, places int) (m shard.Map, held [][]int) {
	m = shard.Map{Service: service, Version: 1, Index: 1}
	held = make([][]int, targets)
	for n := range shards {
		primary := n % targets
		candidates := secondaryCandidates(targets, places, primary)
		secondary := candidates[(n/targets)%len(candidates)]
		m.Shards = append(m.Shards, []int{primary, secondary})
		held[primary] = append(held[primary], n)
		held[secondary] = append(held[secondary], n)
	}
	return m, held
}

// secondaryCandidates returns the targets that follow primary and lie in another place than it, at most as many as there are other places.
func secondaryCandidates(targets, places, primary int) []int {
	var candidates []int
	for step := 1; step < targets && len(candidates) < places-1; step++ {
		t := (primary + step) % targets
		if t%places != primary%places {
			candidates = append(candidates, t)
		}
	}
	return candidates
}

// newTargetFile returns the settings of the target with number index over all services, which holds the given shards.
func (l *Layout) newTargetFile(t shard.Target, s Service, index int, shards []int) TargetFile {
	return TargetFile{
		Address: t.Address,
		Conns:   s.Conns,
		Setup:   l.Setup,
		TargetSettings: TargetSettings{
			Name:   t.Name,
			Slots:  s.Slots,
			Cold:   1,
			Warmup: 20,
			Median: l.Median,
			Spread: 0.3,
			Seed:   uint64(index + 1),
			Holdings: []Holding{{
				Service: s.Name,
				Map:     1,
				Shards:  shards,
				Indexes: []uint64{1},
			}},
		},
	}
}

// writeJSONFile writes a value as indented JSON and creates missing directories.
func writeJSONFile(name string, v any) error {
	if err := os.MkdirAll(filepath.Dir(name), 0o755); err != nil {
		return eris.Wrap(err, "create directory")
	}
	body, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return eris.Wrapf(err, "encode %s", name)
	}
	return eris.Wrap(os.WriteFile(name, append(body, '\n'), 0o644), "write settings")
}

// ParsePlace parses a place of the form "region/datacentre".
func ParsePlace(s string) (Place, error) {
	region, name, found := strings.Cut(s, "/")
	if !found || region == "" || name == "" {
		return Place{}, eris.Errorf("invalid place %q: use region/datacentre", s)
	}
	return Place{Region: region, Datacentre: name}, nil
}
