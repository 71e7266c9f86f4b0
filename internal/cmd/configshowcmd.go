package cmd

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow/config"
	"sandbarrow.example/sandbarrow/store"
)

// showTimeout is the timeout of commands that only read from the store.
const showTimeout = 10 * time.Second

// configShowCmd prints the configuration in force.
type configShowCmd struct {
	ctx context.Context
	out *output

	Store string `long:"store" required:"true" value-name:"URL" description:"the platform's key-value service"`
}

// Execute runs the command.
func (c *configShowCmd) Execute([]string) error {
	ctx, cancel := context.WithTimeout(c.ctx, showTimeout)
	defer cancel()
	s := store.ReadOnly{Store: store.NewHTTP(c.Store)}
	head, _, err := config.ReadHead(ctx, s)
	if err != nil {
		return err
	}
	if head.Revision == 0 {
		return errors.NotFoundf("configuration")
	}
	snapshot, err := config.ReadSnapshot(ctx, s, head, nil)
	if err != nil {
		return err
	}
	view, err := config.NewView(snapshot)
	if err != nil {
		return err
	}
	e := json.NewEncoder(c.out.stdout)
	e.SetIndent("", "  ")
	return e.Encode(view.Document)
}
