package permit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestTTL(t *testing.T) {
	for name, tc := range map[string]struct{ left, service, want time.Duration }{
		"a quick request":          {9 * time.Second, 20 * time.Millisecond, minTTL},
		"a slow request":           {30 * time.Second, 3 * time.Second, 12 * time.Second},
		"ends with its deadline":   {time.Second, 20 * time.Millisecond, time.Second},
		"nothing learned":          {9 * time.Second, 0, minTTL},
		"slow, and ends before it": {5 * time.Second, 3 * time.Second, 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, TTL(tc.left, tc.service), tc.want)
		})
	}
}
