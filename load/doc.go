// Package load sends queries at random times that don't wait for answers and reports latency, coverage, extra load and refusals.
package load
