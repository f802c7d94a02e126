// Package front runs a host that serves the callers of the users' platform, with its servers and background loops.
package front
