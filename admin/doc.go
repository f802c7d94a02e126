// Package admin serves the HTTP interface for operators of a host.
package admin
