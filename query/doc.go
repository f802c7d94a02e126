// Package query runs queries over all shards of a service.
//
// A query is planned on one snapshot: a version of the shard map together with a version of the index. For each shard
// the planner chooses a replica at a target. Each target is reached through its keeper, the one host that sends
// requests to it; the sub-requests to all targets of a keeper travel in one message (wire.Ask). Late sub-requests are
// hedged and failed ones retried at other replicas, both within a budget, and the replies are merged into one answer.
package query
