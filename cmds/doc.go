// Package cmds holds the command tree of kingcupcross.
package cmds
