// Package spread distributes settings changes and shard maps from the platform's store to all hosts and publishes them on each host's board.
//
// The settings are an append-only log: change N has its own key, which is written only if it doesn't exist.
// Two hosts of each data centre watch the store.
// Every host that applies something newer offers it to a few other hosts, which fetch it from that host.
// Probes between hosts carry the number of the last applied change, so that a host that missed an offer catches up.
// A host applies changes only in ascending order, one at a time and after validation, whatever a replica of the store or a peer says.
package spread
