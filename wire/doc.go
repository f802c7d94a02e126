// Package wire holds the messages between hosts and carries them over net/rpc.
package wire
