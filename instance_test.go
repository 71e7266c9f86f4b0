package sandbarrow

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestInstanceID(t *testing.T) {
	first, second, unknown := NewInstanceID("i", 100), NewInstanceID("i", 200), NewInstanceID("i", 0)
	assert.Equal(t, first.Listed(), ListedID("i"))
	assert.Equal(t, unknown, InstanceID("i"))
	for _, test := range []struct {
		a, b InstanceID
		want bool
	}{
		{first, first, true}, {first, second, false}, {first, unknown, true}, {unknown, second, true}, {unknown, unknown, true},
		{first, NewInstanceID("j", 100), false}, {unknown, NewInstanceID("j", 0), false},
	} {
		assert.Equal(t, test.a.Matches(test.b), test.want, "%s and %s", test.a, test.b)
		assert.Equal(t, test.b.Matches(test.a), test.want, "%s and %s", test.b, test.a)
	}
}
