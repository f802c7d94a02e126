// Package order runs requests that may not be repeated at most once.
package order
