// Package shard defines shard maps, which say which targets hold which shards of a service, and snapshots, which are pairs of a map version and an index version.
package shard
