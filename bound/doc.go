// Package bound limits the memory that the responses and messages of other processes take while they are received.
package bound
