// Package order executes non-idempotent requests (orders) at most once.
//
// Each order carries a ticket that one host issued, and only that incarnation of the host may run it.
// The host keeps the outcome by ticket, answers repeats from it, and hands its records to other hosts of its data centre when it leaves.
// A caller may use a key of its own instead of a ticket: the key is then bound to a ticket by a claim in the platform's store.
package order
