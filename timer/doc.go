// Package timer provides the clock that all packages use in place of the functions of package time, so that tests can control time.
package timer
