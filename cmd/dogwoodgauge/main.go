// Command dogwoodgauge runs an entry or a dispatcher, and has the commands of callers
// and operators.
package main

import (
	"os"

	"github.com/dogwoodgauge/dogwoodgauge/internal/command"
)

func main() {
	std := command.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	os.Exit(int(command.Main(os.Args[1:], std)))
}
