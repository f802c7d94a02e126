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

// Layout describes a set of processes on loopback.
type Layout struct {
	Places  []Place
	Hosts   int
	Targets int
	Shards  int
	Service string
	Port    int
	Slots   int
	Conns   int
	Median  units.Duration
}

// TargetFile is a target's settings file.
type TargetFile struct {
	Address netip.AddrPort `json:"address"`
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
	if len(l.Places) == 0 || l.Hosts < 1 || l.Targets < 2*len(l.Places) || l.Shards < 1 {
		return eris.Errorf("a layout needs places, hosts, shards and at least two targets a place")
	}
	platform := PlatformFile{Address: l.address(0), Lag: units.Duration(1e9)}
	for i := range l.Hosts * len(l.Places) {
		row, err := l.writeHost(dir, i)
		if err != nil {
			return err
		}
		platform.Hosts = append(platform.Hosts, row)
	}
	m, err := l.writeTargets(dir)
	if err != nil {
		return err
	}
	platform.Maps = []shard.Map{m}
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

// Spread puts two replicas of each shard on targets of different data centres, where the targets take turns over the places; it returns a map without targets and the shards that each target holds.
func Spread(service string, shards, targets, places int) (m shard.Map, held [][]int) {
	m = shard.Map{Service: service, Version: 1, Index: 1}
	held = make([][]int, targets)
	for s := range shards {
		first := s % targets
		second := (first + 1 + (s/targets)%(places-1)) % targets
		m.Shards = append(m.Shards, []int{first, second})
		held[first] = append(held[first], s)
		held[second] = append(held[second], s)
	}
	return m, held
}

// writeTargets writes the settings files of the targets and returns their map.
func (l *Layout) writeTargets(dir string) (shard.Map, error) {
	m, held := Spread(l.Service, l.Shards, l.Targets, len(l.Places))
	base := 1 + portsPerHost*l.Hosts*len(l.Places)
	for i := range l.Targets {
		p := l.Places[i%len(l.Places)]
		t := shard.Target{
			Name:       fmt.Sprintf("%s-t%d", p.Datacentre, i/len(l.Places)+1),
			Address:    l.address(base + i),
			Datacentre: p.Datacentre,
			Slots:      l.Slots,
			Conns:      l.Conns,
		}
		m.Targets = append(m.Targets, t)
		if err := writeFile(filepath.Join(dir, "targets", t.Name+".json"), l.targetFile(t, i, held[i])); err != nil {
			return m, err
		}
	}
	return m, nil
}

func (l *Layout) targetFile(t shard.Target, i int, shards []int) TargetFile {
	return TargetFile{
		Address: t.Address,
		TargetSettings: TargetSettings{
			Name:   t.Name,
			Slots:  l.Slots,
			Cold:   1,
			Warmup: 20,
			Median: l.Median,
			Spread: 0.3,
			Seed:   uint64(i + 1),
			Holdings: []Holding{{
				Service: l.Service,
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
