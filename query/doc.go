// Package query plans a query over the shards of one snapshot, fans it out to keepers and merges what comes back.
package query
