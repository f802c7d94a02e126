// Package rank estimates how soon each target would answer, from the latencies and failures that this host has seen.
package rank
