package cmd

import (
	"fmt"

	"sandbarrow.example/sandbarrow/config"
)

// configCheckCmd checks a configuration file.
type configCheckCmd struct {
	out *output

	Args struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// Execute runs the command.
func (c *configCheckCmd) Execute([]string) error {
	document, err := config.ReadFile(c.Args.File)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out.stdout, "%s: ok, %d adapters, %d policies, %d callers\n", c.Args.File, len(document.Adapters), len(document.Policies), len(document.Callers))
	return nil
}
