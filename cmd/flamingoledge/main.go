// Command flamingoledge runs the entry and the sidecar, the tools for operators, the
// emulators of the platform and of endpoints, and the experiments.
package main

import (
	"os"

	"flamingoledge.org/flamingoledge/cmd/flamingoledge/cmds"
)

func main() { os.Exit(cmds.Main(os.Args)) }
