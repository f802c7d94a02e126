// The program of the cases 6 to 10: it starts hosts as separate processes, with the platform's store, targets and callers as stand-ins on loopback, and checks one rule.
package main
