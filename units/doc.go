// Package units holds durations and sizes as they are written in settings and messages, always with their unit.
package units
