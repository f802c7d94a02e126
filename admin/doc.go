// Package admin answers operators over HTTP.
package admin
