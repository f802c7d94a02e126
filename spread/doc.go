// Package spread brings settings changes and shard maps from the platform's store, and between hosts, onto the board.
package spread
