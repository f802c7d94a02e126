// Package target implements the client and the messages of the targets' HTTP protocol: sub-requests, orders, cancellation and state.
package target
