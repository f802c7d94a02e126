package emul

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"kingcupcross/conf"
	"kingcupcross/shard"
	"kingcupcross/tree"
	"kingcupcross/units"
)

func TestPresetsHaveDeployedSizes(t *testing.T) {
	for _, c := range []struct {
		name    string
		targets int
		special map[string]Service
	}{
		{name: "saltlade", targets: 110, special: map[string]Service{
			"dispatch":     {Targets: 7, Slots: 3, Conns: 100},
			"reservations": {Targets: 3, Slots: 3, Conns: 100},
			"gritting-20":  {Targets: 2, Slots: 2, Conns: 25},
		}},
		{name: "kormsu", targets: 106, special: map[string]Service{
			"barges":    {Targets: 3, Slots: 6, Conns: 50},
			"pens":      {Targets: 3, Slots: 6, Conns: 50},
			"ledger-30": {Targets: 2, Slots: 2, Conns: 25},
		}},
	} {
		dir := t.TempDir()
		l := Layout{Hosts: 3, Port: 21000, Median: units.Duration(5e6)}
		require.NoError(t, l.ApplyPreset(c.name))
		require.NoError(t, l.WriteSettings(dir))
		platform := readPlatform(t, dir)
		require.Len(t, platform.Hosts, 9)
		require.Len(t, platform.Maps, 52)
		files, err := filepath.Glob(filepath.Join(dir, "targets", "*.json"))
		require.NoError(t, err)
		require.Len(t, files, c.targets)
		requireServiceSizes(t, platform, c.special)
		requireSettingsMatchServices(t, platform, c.name)
	}
	require.Error(t, (&Layout{}).ApplyPreset("nobody"))
}

// readPlatform reads the platform's settings file of a layout.
func readPlatform(t *testing.T, dir string) (p PlatformFile) {
	f, err := conf.Read(filepath.Join(dir, "platform.json"))
	require.NoError(t, err)
	require.NoError(t, f.Decode(&p))
	return p
}

// requireServiceSizes checks the addresses and replicas of all targets, and the number of targets, slots and connections of the special services.
func requireServiceSizes(t *testing.T, p PlatformFile, special map[string]Service) {
	t.Helper()
	ports := map[uint16]bool{}
	for _, m := range p.Maps {
		for _, target := range m.Targets {
			require.False(t, ports[target.Address.Port()], "two targets have the same address")
			ports[target.Address.Port()] = true
		}
		requireReplicasInDifferentDatacentres(t, m)
		if s, found := special[m.Service]; found {
			require.Len(t, m.Targets, s.Targets)
			require.Equal(t, s.Slots, m.Targets[0].Slots)
			require.Equal(t, s.Conns, m.Targets[0].Conns)
		}
	}
}

// requireReplicasInDifferentDatacentres checks that the two replicas of each shard lie in different data centres.
func requireReplicasInDifferentDatacentres(t *testing.T, m shard.Map) {
	t.Helper()
	for n, replicas := range m.Shards {
		require.Len(t, replicas, 2)
		require.NotEqual(t, m.Targets[replicas[0]].Datacentre, m.Targets[replicas[1]].Datacentre, "%s, shard %d", m.Service, n)
	}
}

// requireSettingsMatchServices checks that the example settings of an organisation name exactly the services of its layout.
func requireSettingsMatchServices(t *testing.T, p PlatformFile, name string) {
	t.Helper()
	f, err := conf.Read("../_fixtures/" + name + ".jsonc")
	require.NoError(t, err)
	d, err := tree.ReadDocument(f)
	require.NoError(t, err)
	services := map[string]bool{}
	for _, m := range p.Maps {
		services[m.Service] = true
	}
	inSettings := map[string]bool{}
	for _, path := range d.Levels() {
		if parts := path.Parts(); len(parts) == 3 {
			require.True(t, services[parts[2]], "%s has no shard map", path)
			inSettings[parts[2]] = true
		}
	}
	require.Len(t, inSettings, len(services), "every service has a level in the settings tree")
}
