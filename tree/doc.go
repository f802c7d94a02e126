// Package tree holds the settings tree: levels, inheritance, changes and their checks.
package tree
