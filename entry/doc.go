// Package entry answers callers and the platform's balancer over HTTP.
package entry
