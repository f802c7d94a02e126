// Package mock provides test doubles of the users' platform: its store, its targets, and a proxy that injects faults into connections.
package mock
