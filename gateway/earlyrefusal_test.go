package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRefuseEarly(t *testing.T) {
	const objective, timeout = 800 * time.Millisecond, 4 * time.Second
	for name, tc := range map[string]struct {
		late, waitsForSlot    bool
		waited, callerTimeout time.Duration
		want                  bool
	}{
		"late for lack of a slot":               {true, true, 99 * time.Millisecond, timeout, true},
		"late, but a slot is free":              {true, false, 0, timeout, false},
		"no slot, but in time":                  {false, true, 0, timeout, false},
		"has waited for an eighth":              {true, true, 100 * time.Millisecond, timeout, false},
		"a caller with a shorter timeout":       {true, true, 0, 3880 * time.Millisecond, false},
		"a caller with almost the full timeout": {true, true, 0, 3881 * time.Millisecond, true},
	} {
		got := refuseEarly(&candidate{waitsForSlot: tc.waitsForSlot, late: tc.late}, tc.waited, objective, timeout, tc.callerTimeout)
		assert.Equal(t, got, tc.want, name)
	}
}
