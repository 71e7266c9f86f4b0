package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRefuseEarly(t *testing.T) {
	const objective, timeout = 800 * time.Millisecond, 4 * time.Second
	for name, tc := range map[string]struct {
		late, full       bool
		waited, patience time.Duration
		want             bool
	}{
		"late for want of a slot":      {true, true, 99 * time.Millisecond, timeout, true},
		"late, but a slot is free":     {true, false, 0, timeout, false},
		"no slot, but in time":         {false, true, 0, timeout, false},
		"has waited for an eighth":     {true, true, 100 * time.Millisecond, timeout, false},
		"a caller that leaves earlier": {true, true, 0, 3880 * time.Millisecond, false},
		"a caller that hardly does":    {true, true, 0, 3881 * time.Millisecond, true},
	} {
		got := refuseEarly(&candidate{full: tc.full, late: tc.late}, tc.waited, objective, timeout, tc.patience)
		assert.Equal(t, got, tc.want, name)
	}
}
