package agent

import (
	"log/slog"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/platform"
)

// naming is the head of an answer that names a limit.
func naming(limit string) http.Header {
	h := http.Header{}
	platform.Announcements{}.Write(h, sandbarrow.AnnouncementTexts{Limit: limit})
	return h
}

func TestSendLimit(t *testing.T) {
	l := newSendLimit("u", platform.Announcements{}, slog.New(slog.DiscardHandler))
	admit := func() bool { return l.admit(boottime.Now()).Granted }
	assert.Assert(t, admit(), "no limit is named")
	before := boottime.Now()
	time.Sleep(2 * time.Millisecond)
	l.Answered(before, http.StatusOK, naming("0.5"))
	refused := l.admit(boottime.Now())
	assert.Assert(t, !refused.Granted && refused.Wait > time.Second && refused.Wait <= 2*time.Second, "%v", refused.Wait)
	l.Answered(before, http.StatusOK, naming(""))
	assert.Assert(t, !admit(), "its request was sent before the limit was named")
	l.Answered(boottime.Now(), http.StatusOK, naming("soon"))
	l.Answered(boottime.Now(), http.StatusInternalServerError, naming(""))
	assert.Assert(t, !admit(), "neither says anything")
	l.unused()
	assert.Assert(t, admit(), "one was given back")
	l.Resumed()
	assert.Assert(t, l.admit(boottime.Now()).Wait > refused.Wait, "a resumed stream counts")
	time.Sleep(2 * time.Millisecond)
	l.Answered(boottime.Now(), http.StatusOK, naming(""))
	assert.Assert(t, admit(), "the limit has ended")
}
