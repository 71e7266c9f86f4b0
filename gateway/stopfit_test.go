package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestStopTakesOnWhatFits(t *testing.T) {
	const s = time.Second
	for name, tc := range map[string]struct {
		fit  stopFit
		want bool
	}{
		"the deadline comes first":                            {stopFit{left: 2 * s, deadline: s}, true},
		"the deadline comes first, requests take long":        {stopFit{left: 2 * s, deadline: s, usual: durationEstimate{mean: 5 * s}, known: true}, true},
		"the deadline is later, callers know of the stop":     {stopFit{left: s, deadline: 2 * s}, false},
		"the same, requests are short but run once":           {stopFit{left: s, deadline: 2 * s, usual: durationEstimate{mean: s / 10}, known: true}, false},
		"the same, requests are short and may run again":      {stopFit{left: s, deadline: 2 * s, usual: durationEstimate{mean: s / 10}, known: true, replaceable: true}, true},
		"the same, nothing is known of the route":             {stopFit{left: s, deadline: 2 * s, replaceable: true}, false},
		"the same, requests take longer than what is left":    {stopFit{left: s, deadline: 2 * s, usual: durationEstimate{mean: 2 * s}, known: true, replaceable: true}, false},
		"callers don't know yet, requests are short":          {stopFit{left: 5 * s, deadline: 15 * s, usual: durationEstimate{mean: s}, known: true, accepting: true}, true},
		"callers don't know yet, most requests are short":     {stopFit{left: 5 * s, deadline: 15 * s, usual: durationEstimate{mean: 3 * s, deviation: 2 * s}, known: true, accepting: true}, true},
		"callers know, most requests are short":               {stopFit{left: 5 * s, deadline: 15 * s, usual: durationEstimate{mean: 3 * s, deviation: 2 * s}, known: true, replaceable: true}, false},
		"callers don't know yet, nothing is known":            {stopFit{left: 5 * s, deadline: 15 * s, accepting: true}, true},
		"callers don't know yet, requests take too long":      {stopFit{left: 5 * s, deadline: 15 * s, usual: durationEstimate{mean: 6 * s}, known: true, accepting: true}, false},
		"the end has come":                                    {stopFit{left: -s / 10, deadline: s / 10, usual: durationEstimate{mean: 1}, known: true, replaceable: true}, false},
		"the end has come, though the deadline passed before": {stopFit{left: -s / 10, deadline: -s / 5}, true},
	} {
		assert.Check(t, tc.fit.fits() == tc.want, name)
	}
}
