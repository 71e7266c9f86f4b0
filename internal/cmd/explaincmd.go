package cmd

import (
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow/explain"
)

// explainCmd prints the timeline of one request, built from logs.
type explainCmd struct {
	out *output

	Format string        `long:"format" choice:"text" choice:"json" default:"text" description:"form of the story"`
	Skew   time.Duration `long:"skew" default:"0s" value-name:"TIME" description:"how far the clocks of boxes may lie apart"`
	Args   struct {
		Request string   `positional-arg-name:"ID" description:"id of the request"`
		Files   []string `positional-arg-name:"FILE" description:"logs, a file each; the standard input where none is named"`
	} `positional-args:"yes" required:"1"`
}

// Execute runs the command.
func (c *explainCmd) Execute([]string) error {
	logs, err := readLogs(c.Args.Files)
	if err != nil {
		return err
	}
	timeline, err := explain.BuildTimeline(logs, c.Args.Request, c.Skew)
	if err != nil {
		return err
	}
	if c.Format == "json" {
		e := json.NewEncoder(c.out.stdout)
		e.SetIndent("", "  ")
		return e.Encode(timeline)
	}
	return timeline.WriteText(c.out.stdout)
}

func readLogs(files []string) ([][]explain.Line, error) {
	if len(files) == 0 {
		lines, err := explain.Read(os.Stdin)
		return [][]explain.Line{lines}, err
	}
	logs := make([][]explain.Line, len(files))
	for i, name := range files {
		lines, err := readLog(name)
		if err != nil {
			return nil, errors.Annotate(err, name)
		}
		logs[i] = lines
	}
	return logs, nil
}

func readLog(name string) ([]explain.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer f.Close()
	return explain.Read(io.Reader(f))
}
