// Package shard describes targets, the shards that they hold and the versions that together make a snapshot.
package shard
