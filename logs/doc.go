// Package logs gives each subsystem its own structured log with its own level.
package logs
