// Command flamingoledge is the weight distribution system's one binary: its
// roles, its operators' tools, its stand-ins and its experiments.
package main

import (
	"os"

	"flamingoledge.org/flamingoledge/cmd/flamingoledge/cmds"
)

func main() { os.Exit(cmds.Main(os.Args)) }
