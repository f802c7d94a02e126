// Package load is an open-loop load generator: it sends queries at random times that don't depend on earlier answers, and reports latency, coverage, extra load and refusals.
package load
