package emul

import (
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"kingcupcross/units"
)

// Sizes that both organisations currently deploy for their small services.
const (
	smallTargets = 2
	smallShards  = 8
	smallSlots   = 2
	smallConns   = 25
	// connectionSetupTime is the setup time of a new connection to a target.
	connectionSetupTime = 6 * time.Millisecond
)

// smallServices returns n services of the small size, numbered from 1.
func smallServices(prefix string, n int) []Service {
	all := make([]Service, 0, n)
	for i := range n {
		all = append(all, Service{
			Name:    fmt.Sprintf("%s-%02d", prefix, i+1),
			Targets: smallTargets,
			Shards:  smallShards,
			Slots:   smallSlots,
			Conns:   smallConns,
		})
	}
	return all
}

// preset describes the data centres and services of one organisation.
type preset struct {
	places   []Place
	services func() []Service
}

// presets holds the presets by the lower-case name of the organisation.
var presets = map[string]preset{
	"saltlade": {
		places: []Place{
			{Region: "jylland", Datacentre: "aarhus"},
			{Region: "fyn", Datacentre: "odense"},
			{Region: "sjaelland", Datacentre: "roskilde"},
		},
		services: func() []Service {
			return append(append(smallServices("gritting", 20), smallServices("purchasing", 30)...),
				Service{
					Name:    "dispatch",
					Targets: 7,
					Shards:  56,
					Slots:   3,
					Conns:   100,
				},
				Service{
					Name:    "reservations",
					Targets: 3,
					Shards:  24,
					Slots:   3,
					Conns:   100,
				})
		},
	},
	"kormsu": {
		places: []Place{
			{Region: "caspian", Datacentre: "aktau"},
			{Region: "aral", Datacentre: "aralsk"},
			{Region: "ili", Datacentre: "bakanas"},
		},
		services: func() []Service {
			return append(append(smallServices("recall", 20), smallServices("ledger", 30)...),
				Service{
					Name:    "barges",
					Targets: 3,
					Shards:  24,
					Slots:   6,
					Conns:   50,
				},
				Service{
					Name:    "pens",
					Targets: 3,
					Shards:  24,
					Slots:   6,
					Conns:   50,
				})
		},
	},
}

// ApplyPreset fills in the places, services and connection setup time of one organisation at the sizes that it currently deploys.
func (l *Layout) ApplyPreset(name string) error {
	p, found := presets[strings.ToLower(name)]
	if !found {
		return eris.Errorf("unknown preset %q: use saltlade or kormsu", name)
	}
	l.Places, l.Services, l.Setup = p.places, p.services(), units.Duration(connectionSetupTime)
	return nil
}
