// Package shard defines shard maps, which say which targets hold which shards of a service, and the snapshots that versions of a map and an index form.
package shard
