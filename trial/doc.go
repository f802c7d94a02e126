// Package trial runs hosts and emulated targets in one process over loopback and compares query policies under the same load and injected fault.
package trial
