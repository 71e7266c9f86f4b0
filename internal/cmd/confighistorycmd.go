package cmd

import (
	"context"
	"fmt"

	"sandbarrow.example/sandbarrow/config"
	"sandbarrow.example/sandbarrow/store"
)

// configHistoryCmd lists the accepted changes, newest first.
type configHistoryCmd struct {
	ctx context.Context
	out *output

	Store string `long:"store" required:"true" value-name:"URL" description:"the platform's key-value service"`
}

// Execute runs the command.
func (c *configHistoryCmd) Execute([]string) error {
	ctx, cancel := context.WithTimeout(c.ctx, showTimeout)
	defer cancel()
	head, _, err := config.ReadHead(ctx, store.ReadOnly{Store: store.NewHTTP(c.Store)})
	if err != nil || head.Revision == 0 {
		return err
	}
	for _, change := range append([]config.Change{head.Change}, head.History...) {
		fmt.Fprintf(c.out.stdout, "%d %s\n", change.Revision, change.Digest)
	}
	return nil
}
