// Package trial runs hosts and emulated targets in one process over loopback and compares query policies under one load and one fault.
package trial
