package readspeed

import (
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
		assert.Equal(t, tc.own.ShrinkToward(typical), tc.want)
	}
}

func TestMean(t *testing.T) {
	var m Mean
	assert.Equal(t, m.Speed(), Prior)
	m.Add(Speed{10, 30})
	m.Add(Speed{20, 50})
	assert.Equal(t, m.Speed(), Speed{15, 40})
}
