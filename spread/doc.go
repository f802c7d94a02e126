// Package spread brings settings changes and shard maps from the platform's store, and between hosts, onto the board.
//
// The settings are an append-only log: change N stands under its own key, which is created only if it is absent.
// Two hosts of each data centre watch the store; every host that puts something newer in force offers it to a few others, which fetch it from there.
// Probes between hosts carry the numbers in force, so that an offer that was lost is made up for.
// A host only ever moves to a higher number, one change at a time and after a check, whatever a replica or a peer says.
package spread
