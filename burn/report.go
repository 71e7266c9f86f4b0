package burn

import (
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/response"
)

const (
	// maxMetricsBytes bounds the bytes read from one box's metrics.
	maxMetricsBytes = 16 << 20
	scrapeTimeout   = 5 * time.Second
)

// Cell is the burn rate of one class and objective over one window.
type Cell struct {
	Bad float64 `json:"bad"`
	// Burn is the burn rate: the share of bad events divided by the share that the objective
	// permits. At 1 the error budget is used up exactly. It is 0 without events.
	Burn   float64       `json:"burn"`
	Good   float64       `json:"good"`
	Window time.Duration `json:"window_ns"`
}

// Row holds the burn rates of one class and objective, one for each window.
type Row struct {
	Cells     []Cell                 `json:"cells"`
	Class     sandbarrow.CallerClass `json:"class"`
	Objective string                 `json:"objective"`
	// Share is the target share of good events.
	Share float64 `json:"share"`
}

// Report holds the burn rates of all classes, from the metrics of several boxes.
type Report struct {
	Boxes []string  `json:"boxes"`
	Made  time.Time `json:"made"`
	// Missing lists the boxes whose metrics could not be read, with the error.
	Missing []string `json:"missing"`
	Rows    []Row    `json:"rows"`
}

// Scrape reads the metrics of the boxes at the given base URLs and computes the report. Boxes that
// can't be read are listed in it. Scrape fails if none can be read.
func Scrape(ctx context.Context, boxes []string) (*Report, error) {
	r := newReporter()
	client := &http.Client{Timeout: scrapeTimeout, Transport: response.NewTransport(&http.Transport{}, &net.Dialer{})}
	report := &Report{Boxes: boxes, Made: time.Now().UTC()}
	for _, box := range boxes {
		if err := r.scrape(ctx, client, box); err != nil {
			report.Missing = append(report.Missing, box+": "+err.Error())
		}
	}
	if len(report.Missing) == len(boxes) {
		return nil, errors.Errorf("no box gave metrics: %s", strings.Join(report.Missing, "; "))
	}
	report.Rows = r.rows()
	return report, nil
}

type reporter struct {
	cells   map[series]map[time.Duration]*Cell
	targets map[sandbarrow.CallerClass]float64
}

func newReporter() *reporter {
	return &reporter{cells: map[series]map[time.Duration]*Cell{}, targets: map[sandbarrow.CallerClass]float64{}}
}

func (r *reporter) scrape(ctx context.Context, client *http.Client, box string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(box, "/")+"/metrics", nil)
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", resp.StatusCode)
	}
	return r.read(io.LimitReader(resp.Body, maxMetricsBytes))
}

// read parses the metrics of one box and adds them to the cells.
func (r *reporter) read(text io.Reader) error {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(text)
	if err != nil {
		return errors.Annotate(err, "metrics")
	}
	for _, m := range families[TargetMetric].GetMetric() {
		r.targets[sandbarrow.CallerClass(labels(m)["class"])] = m.GetGauge().GetValue()
	}
	for _, m := range families[EventsMetric].GetMetric() {
		l := labels(m)
		window, err := time.ParseDuration(l["window"])
		if err != nil {
			return errors.Annotatef(err, "metric %s", EventsMetric)
		}
		cell := r.cell(series{class: sandbarrow.CallerClass(l["class"]), objective: l["objective"]}, window)
		if l["result"] == "good" {
			cell.Good += m.GetGauge().GetValue()
		} else {
			cell.Bad += m.GetGauge().GetValue()
		}
	}
	return nil
}

func labels(m *dto.Metric) map[string]string {
	l := map[string]string{}
	for _, p := range m.GetLabel() {
		l[p.GetName()] = p.GetValue()
	}
	return l
}

func (r *reporter) cell(s series, window time.Duration) *Cell {
	if r.cells[s] == nil {
		r.cells[s] = map[time.Duration]*Cell{}
	}
	if r.cells[s][window] == nil {
		r.cells[s][window] = &Cell{Window: window}
	}
	return r.cells[s][window]
}

// rows computes the burn rates and returns them sorted by class and objective.
func (r *reporter) rows() []Row {
	rows := make([]Row, 0, len(r.cells))
	for s, cells := range r.cells {
		row := Row{Class: s.class, Objective: s.objective, Share: r.targets[s.class]}
		for _, c := range cells {
			c.Burn = burnRate(c.Good, c.Bad, row.Share)
			row.Cells = append(row.Cells, *c)
		}
		slices.SortFunc(row.Cells, func(a, b Cell) int { return int(a.Window - b.Window) })
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		if c := strings.Compare(string(a.Class), string(b.Class)); c != 0 {
			return c
		}
		return strings.Compare(a.Objective, b.Objective)
	})
	return rows
}

func burnRate(good, bad, target float64) float64 {
	if good+bad == 0 || target >= 1 {
		return 0
	}
	return math.Round(bad/(good+bad)/(1-target)*1000) / 1000
}
