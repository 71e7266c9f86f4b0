package refusallog

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

func TestEachKeyIsLoggedOnceInAnInterval(t *testing.T) {
	var text strings.Builder
	l := New(slog.New(slog.NewTextHandler(&text, nil)))
	now := time.Now()
	l.now = func() time.Time { return now }
	long := errors.New(strings.Repeat("\xffé", 1<<20))
	for range 100 {
		l.Warn("refused", "a", long, "revision", 1)
		l.Warn("refused", "b", long)
	}
	assert.Equal(t, strings.Count(text.String(), "\n"), 2)
	now = now.Add(interval)
	l.Warn("refused", "a", long)
	assert.Equal(t, strings.Count(text.String(), "key=a"), 2, "once more in the next interval")
	for i := range 100_000 {
		l.Warn("refused", fmt.Sprintf("%d%s", i, strings.Repeat("k", 10_000)), long)
	}
	assert.Equal(t, strings.Count(text.String(), "\n"), 2+maxKeys)
	assert.Assert(t, text.Len() < (2+maxKeys)*(5*maxTextBytes), "%d bytes", text.Len())
}
