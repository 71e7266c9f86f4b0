package readspeed

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestToward(t *testing.T) {
	typical := Speed{Base: 100 * time.Millisecond, PerToken: 40 * time.Microsecond}
	for _, tc := range []struct{ own, want Speed }{
		{typical, typical},
		{Speed{110 * time.Millisecond, 36 * time.Microsecond}, typical},
		{Speed{200 * time.Millisecond, 20 * time.Microsecond}, Speed{185 * time.Millisecond, 26 * time.Microsecond}},
		{Speed{80 * time.Millisecond, 200 * time.Microsecond}, Speed{95 * time.Millisecond, 194 * time.Microsecond}},
	} {
		assert.Equal(t, tc.own.Toward(typical), tc.want)
	}
}

func TestTypical(t *testing.T) {
	assert.Equal(t, Typical(slices.Values([]Speed(nil))), Prior)
	got := Typical(slices.Values([]Speed{{10, 30}, {20, 50}}))
	assert.Equal(t, got, Speed{15, 40})
}
