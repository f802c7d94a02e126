// Package meter holds the metrics of a host and shows them in the Prometheus text form.
package meter
