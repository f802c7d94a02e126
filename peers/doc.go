// Package peers implements a SWIM-style gossip membership of the hosts, at a cost per host that doesn't grow with their number.
//
// In each period a host probes one member of its data centre, in a shuffled order that reaches every member once per round.
// Membership records are piggybacked on probes and their replies: a limited number of records per message, and each record in a limited number of messages.
// A member that replies neither to the probe nor to indirect probes through other members is suspected, and declared dead after the suspicion timeout; the member may refute both.
// A refused connection proves that the process is gone, so it is declared dead without a suspicion.
// Data centres exchange records through a few hosts, called bridges, that are chosen by rendezvous hashing for each pair of data centres.
package peers
