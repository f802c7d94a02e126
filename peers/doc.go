// Package peers keeps this host's view of the other hosts, at a cost that doesn't grow with their number.
//
// Each period a host probes one member of its data centre, in a shuffled order that reaches every member once a round.
// News rides on probes and answers, a bounded number of records each, and each record a bounded number of times.
// A member that answers neither the probe nor those that others make on this host's behalf is suspected, and dead once a suspicion has stood for its time; the member may refute both.
// A refused connection is proof that the process is gone and needs no suspicion.
// Data centres exchange news through a few hosts, chosen by rendezvous hashing for each pair.
package peers
