package cmd

import (
	"context"
	"fmt"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/config"
	"sandbarrow.example/sandbarrow/store"
)

// configApplyCmd applies a configuration file.
type configApplyCmd struct {
	ctx context.Context
	out *output

	Args struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
	Expect  uint64        `long:"expect" required:"true" value-name:"REVISION" description:"revision that must be in force; 0 for the first"`
	Store   string        `long:"store" required:"true" value-name:"URL" description:"the platform's key-value service"`
	Timeout time.Duration `long:"timeout" default:"30s" description:"when to give up"`
}

// applyExitCodes holds the exit code of each result.
var applyExitCodes = map[config.ApplyResult]int{
	config.ApplyAccepted:   exitOK,
	config.ApplyConflict:   exitConflict,
	config.ApplyRefused:    exitRefused,
	config.ApplySuperseded: exitSuperseded,
	config.ApplyUnknown:    exitUnknown,
}

// Execute runs the command.
func (c *configApplyCmd) Execute([]string) error {
	document, err := config.ReadFile(c.Args.File)
	if err != nil {
		return &exitError{code: exitRefused, err: err}
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.Timeout)
	defer cancel()
	result, head, err := config.Apply(ctx, store.NewHTTP(c.Store), document, sandbarrow.Revision(c.Expect))
	fmt.Fprintf(c.out.stdout, "%s: revision %d digest %.12s\n", result, head.Revision, head.Digest)
	if code := applyExitCodes[result]; code != exitOK {
		if err == nil {
			err = fmt.Errorf("%s", result)
		}
		return &exitError{code: code, err: err}
	}
	return nil
}
