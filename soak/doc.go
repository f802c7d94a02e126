// Package soak runs the real program as host processes between emulated targets and an emulated store, injects random faults determined by a seed, and checks the guarantees to callers and targets.
package soak
