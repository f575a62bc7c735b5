// Command flamingoledge-node runs on the users' instances, as an entry that calls
// endpoints directly or as a sidecar of such an endpoint.
package main

import (
	"os"

	"flamingoledge.org/flamingoledge/cmd/flamingoledge-node/cmds"
)

func main() { os.Exit(cmds.Main(os.Args)) }
