// Package host puts the parts of one host together and runs them as actors.
package host
