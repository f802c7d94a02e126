// Package roster holds what a host knows about the targets: which exist, where they are and in which state.
package roster
