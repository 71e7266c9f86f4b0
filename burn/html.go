package burn

import (
	_ "embed"
	"html/template"
	"io"
	"math"
	"strconv"
	"time"
)

//go:embed report.html.tmpl
var pageText string

// The geometry of one plot, in pixels.
const (
	barGap     = 14
	barWidth   = 56
	plotHeight = 120
	// plotTop is the burn rate at the top of a plot. Higher bars are clipped.
	plotTop = 4.0
)

// bar is one window in a plot.
type bar struct {
	Burn, Events, Height, Label string
	Level                       string
	X, Y                        int
}

var page = template.Must(template.New("report").Funcs(template.FuncMap{
	"bars":  bars,
	"limit": func() int { return plotHeight - int(plotHeight/plotTop) },
	"width": func() int { return len(Windows)*(barWidth+barGap) + barGap },
}).Parse(pageText))

// WriteHTML writes the report as one self-contained page with plots.
func (r *Report) WriteHTML(w io.Writer) error {
	return page.Execute(w, r)
}

func bars(row Row) []bar {
	drawn := make([]bar, 0, len(row.Cells))
	for i, c := range row.Cells {
		height := int(math.Min(1, c.Burn/plotTop) * plotHeight)
		drawn = append(drawn, bar{
			Burn:   formatFloat(c.Burn, 2),
			Events: formatFloat(c.Good+c.Bad, 0),
			Height: formatFloat(float64(height), 0),
			Label:  shortWindow(c.Window),
			Level:  level(c.Burn),
			X:      barGap + i*(barWidth+barGap),
			Y:      plotHeight - height,
		})
	}
	return drawn
}

func level(burn float64) string {
	switch {
	case burn >= 2:
		return "high"
	case burn >= 1:
		return "over"
	}
	return "fine"
}

// shortWindow formats a window in its largest unit, such as "5m".
func shortWindow(d time.Duration) string {
	if d >= time.Hour {
		return strconv.Itoa(int(d/time.Hour)) + "h"
	}
	return strconv.Itoa(int(d/time.Minute)) + "m"
}

func formatFloat(x float64, digits int) string {
	return strconv.FormatFloat(x, 'f', digits, 64)
}
