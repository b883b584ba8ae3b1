// Command dogwoodgauge-agent runs the agent on a host of upstreams.
package main

import (
	"os"

	"github.com/dogwoodgauge/dogwoodgauge/internal/command"
)

func main() {
	std := command.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	os.Exit(int(command.AgentMain(os.Args[1:], std)))
}
