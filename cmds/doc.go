// Package cmds implements the command line of kingcupcross.
package cmds
