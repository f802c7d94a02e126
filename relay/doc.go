// Package relay forwards callers' requests to targets: it selects targets, sends hedges and retries within a budget, and merges the replies of shards.
package relay
