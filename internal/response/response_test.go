package response

import (
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

func TestIsReset(t *testing.T) {
	const open = 8 // TCP_CLOSE_WAIT
	for name, tc := range map[string]struct {
		state uint8
		first error
		want  bool
	}{
		"ended in order":                       {open, nil, false},
		"reset, nobody has recorded the error": {stateClosed, nil, true},
		"reset, a write got the error":         {stateClosed, syscall.ECONNRESET, true},
		"reset after the end":                  {stateClosed, syscall.EPIPE, false},
		"unknown state":                        {0, nil, false},
		"unknown state, a write got the error": {0, syscall.ECONNRESET, true},
		"closed by a time-out":                 {stateClosed, syscall.ETIMEDOUT, true},
	} {
		assert.Equal(t, isReset(tc.state, tc.first), tc.want, name)
	}
}
