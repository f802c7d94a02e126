// Package timer is the clock that all packages use instead of calling package time, so that tests can control time.
package timer
