// Package logs provides a structured logger for each subsystem, with its own level. Lines are written in the background, and the number of lines of one kind per second is limited.
package logs
