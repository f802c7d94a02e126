// Package host builds the components of one host and runs them as actors until the host is stopped.
package host
