// Package wire defines the messages between hosts and the net/rpc client and server that carry them.
package wire
