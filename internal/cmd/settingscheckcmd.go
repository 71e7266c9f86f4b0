package cmd

import (
	"fmt"

	"sandbarrow.example/sandbarrow/settings"
)

// settingsCheckCmd checks a settings file.
type settingsCheckCmd struct {
	out *output

	Args struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// Execute runs the command.
func (c *settingsCheckCmd) Execute([]string) error {
	s, err := settings.Load(c.Args.File)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out.stdout, "%s: ok, box %s in failure domain %s\n", c.Args.File, s.Box.ID, s.Box.FailureDomain)
	return nil
}
