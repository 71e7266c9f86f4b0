package burn

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteText writes the report as a table with one line for each class and objective. The counts of
// events are those of the longest window.
func (r *Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "class\tobjective\taim")
	for _, window := range Windows {
		fmt.Fprintf(t, "\tburn %s", shortWindow(window))
	}
	fmt.Fprint(t, "\tgood\tbad\n")
	for _, row := range r.Rows {
		fmt.Fprintf(t, "%s\t%s\t%.3f", row.Class, row.Objective, row.Share)
		var last Cell
		for _, c := range row.Cells {
			fmt.Fprintf(t, "\t%.2f", c.Burn)
			last = c
		}
		fmt.Fprintf(t, "\t%.0f\t%.0f\n", last.Good, last.Bad)
	}
	for _, missing := range r.Missing {
		fmt.Fprintf(t, "no metrics: %s\n", missing)
	}
	return t.Flush()
}
