// Package fault defines the kinds of errors and how each is answered to callers.
package fault
