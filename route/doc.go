// Package route holds the configuration that maps requests to services.
package route
