// Package board is the blackboard that the controllers of a host read and write.
package board
