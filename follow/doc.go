// Package follow keeps a host's copy of the configuration and the list of targets up to date, from the platform's store or from other hosts that read it.
package follow
