// Command sassafrasvalve runs an entry and drives the fleet.
package main

import (
	"os"

	"sassafrasvalve/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args, cmds.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}, cmds.Runners{}))
}
