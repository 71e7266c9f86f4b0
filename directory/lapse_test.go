package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestIsLapse(t *testing.T) {
	for name, tc := range map[string]struct {
		left, all   int
		sinceOutage time.Duration
		want        bool
	}{
		"no outage":             {10, 10, -1, false},
		"all, after an outage":  {10, 10, time.Second, true},
		"a third":               {4, 12, 0, true},
		"less than a third":     {3, 12, 0, false},
		"one of two":            {1, 2, 0, false},
		"long after the outage": {10, 10, lapseWindow, false},
	} {
		assert.Equal(t, isLapse(tc.left, tc.all, tc.sinceOutage), tc.want, name)
	}
}
