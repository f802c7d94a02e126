// Package meter holds the metrics of a host and exports them in the Prometheus text format.
package meter
