// Package apiv1 defines the paths and messages of version 1 of the HTTP interfaces for callers and operators.
package apiv1
