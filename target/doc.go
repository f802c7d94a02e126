// Package target speaks the targets' protocol: sub-requests, orders, cancellation and state over HTTP.
package target
