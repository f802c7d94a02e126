// Package peers keeps this host's view of the other hosts.
package peers
