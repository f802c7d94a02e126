// Package entry serves the HTTP API of a host: queries, orders and tickets for callers, and the readiness check for the
// platform's load balancer.
package entry
