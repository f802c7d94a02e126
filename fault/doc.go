// Package fault holds the closed list of error kinds and the table that gives the answer for each.
package fault
