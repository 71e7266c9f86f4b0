package cmd

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow/internal/demo"
)

// demoTimeout is the timeout of the whole demo.
const demoTimeout = 14 * time.Second

// demoCmd runs all components in one process, with stand-ins for external systems.
type demoCmd struct {
	ctx context.Context
	out *output

	Quiet  bool   `long:"quiet" description:"print the summary alone"`
	Report string `long:"report" value-name:"FILE" description:"write the burn report as a page too"`
}

// Execute runs the command.
func (c *demoCmd) Execute([]string) error {
	ctx, cancel := context.WithTimeout(c.ctx, demoTimeout)
	defer cancel()
	d, err := demo.Start(ctx)
	if err != nil {
		return err
	}
	defer d.Stop()
	responses := d.Drive(ctx)
	failed := 0
	for _, r := range responses {
		if r.Fault != "" {
			failed++
		}
		if !c.Quiet || r.Fault != "" {
			fmt.Fprintf(c.out.stdout, "%-8s %-9s %-24s %5d ms  %s\n", r.Class, r.Kind, r.Model, r.Latency.Milliseconds(), r.Fault)
		}
	}
	c.printSummary(responses, d.Totals())
	report, err := d.Report(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintln(c.out.stdout, "\nservice-level burn")
	if err := report.WriteText(c.out.stdout); err != nil {
		return err
	}
	if c.Report != "" {
		if err := writeReportFile(c.Report, report, "html"); err != nil {
			return err
		}
	}
	if failed > 0 || len(responses) == 0 {
		return errors.Errorf("%d of %d responses were incomplete or incorrect", failed, len(responses))
	}
	fmt.Fprintf(c.out.stdout, "\nall %d responses complete and correct\n", len(responses))
	return nil
}

// printSummary prints response times, loads, batch efficiency and calls to the store.
func (c *demoCmd) printSummary(responses []demo.Response, t demo.Totals) {
	times := make([]time.Duration, len(responses))
	for i, r := range responses {
		times[i] = r.Latency
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	fmt.Fprintf(c.out.stdout, "\nresponses %d, adapter loads %d, unloads %d\n", len(responses), t.Loads, t.Unloads)
	if len(times) > 0 {
		fmt.Fprintf(c.out.stdout, "response time: median %d ms, 99th percentile %d ms\n",
			times[len(times)/2].Milliseconds(), times[len(times)*99/100].Milliseconds())
	}
	fmt.Fprintf(c.out.stdout, "batch efficiency: %.2f requests a step\n", t.RequestsPerStep)
	fmt.Fprintf(c.out.stdout, "platform store: %d reads, %d writes\n", t.StoreReads, t.StoreWrites)
}
