// Command kingcupcross is the query tier and its operators' tool.
package main

import (
	"os"

	"kingcupcross/cmds"
)

func main() {
	os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr))
}
