// Command sassafrasvalve runs an entry and operates the fleet.
package main

import (
	"os"

	"sassafrasvalve/cmds"
	"sassafrasvalve/demo"
	"sassafrasvalve/io/daemon"
	"sassafrasvalve/io/node"
)

func main() {
	streams := cmds.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	os.Exit(cmds.Main(os.Args, streams, cmds.Runners{RunDaemon: daemon.Main, RunEntry: node.Main, RunDemo: demo.Main}))
}
