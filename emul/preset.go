package emul

import (
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"kingcupcross/units"
)

// Sizes of today, the same for both organisations' small services.
const (
	smallTargets = 2
	smallShards  = 8
	smallSlots   = 2
	smallConns   = 25
	connectTime  = 6 * time.Millisecond
)

func small(prefix string, n int) []Service {
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

// preset holds the data centres and services of one organisation.
type preset struct {
	places   []Place
	services func() []Service
}

var presets = map[string]preset{
	"saltlade": {
		places: []Place{
			{Region: "jylland", Datacentre: "aarhus"},
			{Region: "fyn", Datacentre: "odense"},
			{Region: "sjaelland", Datacentre: "roskilde"},
		},
		services: func() []Service {
			return append(append(small("gritting", 20), small("purchasing", 30)...),
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
			return append(append(small("recall", 20), small("ledger", 30)...),
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

// Preset sets the places and services of one organisation at today's sizes.
func (l *Layout) Preset(name string) error {
	p, found := presets[strings.ToLower(name)]
	if !found {
		return eris.Errorf("no preset %q: use saltlade or kormsu", name)
	}
	l.Places, l.Services, l.Setup = p.places, p.services(), units.Duration(connectTime)
	return nil
}
