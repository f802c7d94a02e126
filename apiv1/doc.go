// Package apiv1 holds version 1 of the interfaces for callers and operators, apart from what implements them.
package apiv1
