// Package emul emulates the platform (store, leases, watches, list of hosts) and targets, with the faults that each can have.
package emul
