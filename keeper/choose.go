package keeper

import (
	"github.com/cespare/xxhash/v2"

	"kingcupcross/board"
	"kingcupcross/shard"
	"kingcupcross/wire"
)

// Choose returns the keeper of a target: the living host of the target's data centre with the highest rendezvous weight.
func Choose(v *board.View, t shard.Target) (keeper wire.Member, found bool) {
	var best uint64
	for _, m := range v.Members {
		if m.Datacentre != t.Datacentre || (m.State != wire.Alive && m.State != wire.Suspect) {
			continue
		}
		w := weight(m.Name, t.Name)
		if !found || w > best || (w == best && m.Name < keeper.Name) {
			keeper, best, found = m, w, true
		}
	}
	return keeper, found
}

func weight(host, target string) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(host)
	d.WriteString("\x00")
	d.WriteString(target)
	return d.Sum64()
}
