// Package epoch orders the states of the platform's store across restores from older copies.
package epoch
