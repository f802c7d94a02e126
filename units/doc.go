// Package units defines durations and sizes that are always written with their unit in settings and messages.
package units
