// Package store speaks the protocol of the platform's key-value service and of its list of hosts.
package store
