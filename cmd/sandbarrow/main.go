// Command sandbarrow runs the processes entry, agent, gateway and controller, and the operators'
// commands. It is the only binary that is shipped.
package main

import (
	"os"

	"sandbarrow.example/sandbarrow/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
