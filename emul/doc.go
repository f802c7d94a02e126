// Package emul emulates the platform (key-value store with leases and watches, list of hosts) and targets in process, with fault injection for each.
package emul
