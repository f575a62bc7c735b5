// Command flamingoledge-node is the program that runs on the users' instances: an
// entry or a sidecar for endpoints that are called directly.
package main

import (
	"os"

	"flamingoledge.org/flamingoledge/cmd/flamingoledge-node/cmds"
)

func main() { os.Exit(cmds.Main(os.Args)) }
