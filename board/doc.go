// Package board holds the state that the packages of one host share: settings, shard maps, the view of the other hosts, the host's lifecycle phase and the detection of pauses.
package board
