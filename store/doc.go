// Package store is a client for the platform's key-value store and its list of hosts.
package store
