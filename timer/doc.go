// Package timer is the one source of time for all parts, which subscribe to it instead of calling package time.
package timer
