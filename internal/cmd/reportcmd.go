package cmd

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow/burn"
)

// reportCmd reports how fast the error budgets burn.
type reportCmd struct {
	ctx context.Context
	out *output

	Box    []string `long:"box" required:"true" value-name:"URL" description:"base URL of an entry's HTTP address; may be repeated"`
	Format string   `long:"format" choice:"text" choice:"json" choice:"html" default:"text" description:"form of the report"`
	Output string   `long:"output" value-name:"FILE" description:"write to a file instead of the standard output"`
}

// Execute runs the command.
func (c *reportCmd) Execute([]string) error {
	report, err := burn.Scrape(c.ctx, c.Box)
	if err != nil {
		return err
	}
	if c.Output == "" {
		return writeReport(c.out.stdout, report, c.Format)
	}
	return writeReportFile(c.Output, report, c.Format)
}

func writeReportFile(file string, r *burn.Report, format string) error {
	f, err := os.Create(file)
	if err != nil {
		return errors.Annotate(err, "report")
	}
	if err := writeReport(f, r, format); err != nil {
		_ = f.Close()
		return err
	}
	return errors.Annotatef(f.Close(), "report %s", file)
}

func writeReport(w io.Writer, r *burn.Report, format string) error {
	switch format {
	case "html":
		return r.WriteHTML(w)
	case "json":
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(r)
	}
	return r.WriteText(w)
}
