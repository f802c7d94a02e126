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

// Place is a data centre with its region.
type Place struct {
	Region     string
	Datacentre string
}

// Service is one service with targets of its own, which hold two replicas of each of its shards.
type Service struct {
	Name    string
	Targets int
	Shards  int
	Slots   int
	Conns   int
}

// Layout describes a set of processes on loopback.
type Layout struct {
	Places []Place
	// Hosts is the number of hosts in each place.
	Hosts int
	Port  int
	// Median is the median time of a request at a target.
	Median units.Duration
	// Setup is the time that a new connection to a target takes.
	Setup units.Duration
	// Services are all services; where there are none, the fields below describe the only one.
	Services []Service
	Service  string
	Targets  int
	Shards   int
	Slots    int
	Conns    int
}

// services returns the services and whether targets are named by them.
func (l *Layout) services() (all []Service, named bool) {
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

// TargetFile is a target's settings file.
type TargetFile struct {
	Address netip.AddrPort `json:"address"`
	// Conns is the number of connections that the target accepts, where zero means any, and Setup the time that a new one takes.
	Conns int            `json:"conns"`
	Setup units.Duration `json:"setup"`
	TargetSettings
}

// PlatformFile is the platform's settings file.
type PlatformFile struct {
	Address netip.AddrPort `json:"address"`
	// Lag is the period of the checks behind the list of hosts.
	Lag   units.Duration `json:"lag"`
	Hosts []HostRow      `json:"hosts"`
	Maps  []shard.Map    `json:"maps"`
}

// portsPerHost is the number of ports that one host listens at.
const portsPerHost = 3

func (l *Layout) address(offset int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(l.Port+offset))
}

// Write writes the settings files of the platform, the hosts and the targets below dir.
func (l *Layout) Write(dir string) error {
	if len(l.Places) < 2 || l.Hosts < 1 {
		return eris.Errorf("a layout needs two places and a host in each")
	}
	platform := PlatformFile{Address: l.address(0), Lag: units.Duration(1e9)}
	for i := range l.Hosts * len(l.Places) {
		row, err := l.writeHost(dir, i)
		if err != nil {
			return err
		}
		platform.Hosts = append(platform.Hosts, row)
	}
	services, named := l.services()
	next := 0
	for _, s := range services {
		if s.Targets < 2 || s.Shards < 1 {
			return eris.Errorf("service %s needs two targets and a shard", s.Name)
		}
		m, err := l.writeTargets(dir, s, next, named)
		if err != nil {
			return err
		}
		next += s.Targets
		platform.Maps = append(platform.Maps, m)
	}
	return writeFile(filepath.Join(dir, "platform.json"), platform)
}

func (l *Layout) writeHost(dir string, i int) (HostRow, error) {
	p := l.Places[i%len(l.Places)]
	first := 1 + i*portsPerHost
	h := conf.Host{
		Name:       fmt.Sprintf("%s-h%d", p.Datacentre, i/len(l.Places)+1),
		Region:     p.Region,
		Datacentre: p.Datacentre,
		Callers:    l.address(first),
		Peers:      l.address(first + 1),
		Admin:      l.address(first + 2),
		Platform:   l.address(0),
		Grace:      units.Duration(10e9),
	}
	row := HostRow{
		Name:       h.Name,
		Datacentre: h.Datacentre,
		Peers:      h.Peers,
		Callers:    h.Callers,
	}
	return row, writeFile(filepath.Join(dir, "hosts", h.Name+".json"), h)
}

// writeTargets spreads two replicas of each shard over targets of different data centres; first counts the targets of all services before.
func (l *Layout) writeTargets(dir string, s Service, first int, named bool) (shard.Map, error) {
	m, held := Spread(s.Name, s.Shards, s.Targets, len(l.Places))
	base := 1 + portsPerHost*l.Hosts*len(l.Places)
	for i := range s.Targets {
		p := l.Places[(first+i)%len(l.Places)]
		t := shard.Target{
			Name:       fmt.Sprintf("%s-t%d", p.Datacentre, i/len(l.Places)+1),
			Address:    l.address(base + first + i),
			Datacentre: p.Datacentre,
			Slots:      s.Slots,
			Conns:      s.Conns,
		}
		if named {
			t.Name = fmt.Sprintf("%s-t%d", s.Name, i+1)
		}
		m.Targets = append(m.Targets, t)
		if err := writeFile(filepath.Join(dir, "targets", t.Name+".json"), l.targetFile(t, s, first+i, held[i])); err != nil {
			return m, err
		}
	}
	return m, nil
}

// Spread puts two replicas of each shard on targets of different data centres, where the targets take turns over the places; it returns a map without targets and the shards that each target holds.
func Spread(service string, shards, targets, places int) (m shard.Map, held [][]int) {
	m = shard.Map{Service: service, Version: 1, Index: 1}
	held = make([][]int, targets)
	for n := range shards {
		one := n % targets
		all := others(targets, places, one)
		two := all[(n/targets)%len(all)]
		m.Shards = append(m.Shards, []int{one, two})
		held[one] = append(held[one], n)
		held[two] = append(held[two], n)
	}
	return m, held
}

// others returns the targets nearest after one that lie in other places, at most one for each place.
func others(targets, places, one int) []int {
	var all []int
	for step := 1; step < targets && len(all) < places-1; step++ {
		t := (one + step) % targets
		if t%places != one%places {
			all = append(all, t)
		}
	}
	return all
}

func (l *Layout) targetFile(t shard.Target, s Service, i int, shards []int) TargetFile {
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
			Seed:   uint64(i + 1),
			Holdings: []Holding{{
				Service: s.Name,
				Map:     1,
				Shards:  shards,
				Indexes: []uint64{1},
			}},
		},
	}
}

func writeFile(name string, v any) error {
	if err := os.MkdirAll(filepath.Dir(name), 0o755); err != nil {
		return eris.Wrap(err, "make folder")
	}
	body, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return eris.Wrapf(err, "encode %s", name)
	}
	return eris.Wrap(os.WriteFile(name, append(body, '\n'), 0o644), "write settings")
}

// ParsePlace reads "region/datacentre".
func ParsePlace(s string) (Place, error) {
	region, name, found := strings.Cut(s, "/")
	if !found || region == "" || name == "" {
		return Place{}, eris.Errorf("%q is no place: write region/datacentre", s)
	}
	return Place{Region: region, Datacentre: name}, nil
}
