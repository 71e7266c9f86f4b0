package availability

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
)

const (
	upstream sandbarrow.InstanceID = "u@1"
	restart  sandbarrow.InstanceID = "u@2"
)

func TestDrainIsKeptForOneStart(t *testing.T) {
	now := time.Now()
	var n Notices
	drains := sandbarrow.Announcement{Draining: true}
	assert.Equal(t, n.Apply(now, upstream, http.StatusOK, drains), Change{Draining: true})
	assert.Equal(t, n.Apply(now.Add(time.Second), upstream, http.StatusOK, drains), Change{})
	assert.Equal(t, n.Check(now.Add(time.Minute), upstream), Notice{Draining: true, DrainingFor: time.Minute})
	assert.Equal(t, n.Check(now, restart), Notice{}, "it has started again")
}

func TestLongestBackoffCounts(t *testing.T) {
	now := time.Now()
	var n Notices
	wants := func(d time.Duration) sandbarrow.Announcement { return sandbarrow.Announcement{Backoff: d} }
	assert.Equal(t, n.Apply(now, upstream, http.StatusServiceUnavailable, wants(3*time.Second)), Change{Backoff: true})
	assert.Equal(t, n.Apply(now.Add(time.Second), upstream, http.StatusServiceUnavailable, wants(time.Second)), Change{})
	assert.Equal(t, n.Check(now.Add(time.Second), upstream).Backoff, 2*time.Second)
	assert.Equal(t, n.Apply(now.Add(2*time.Second), upstream, http.StatusServiceUnavailable, wants(3*time.Second)), Change{})
	assert.Equal(t, n.Check(now.Add(2*time.Second), upstream).Backoff, 3*time.Second)
	assert.Equal(t, n.Check(now.Add(5*time.Second), upstream), Notice{}, "it is over")
	assert.Equal(t, n.Apply(now.Add(6*time.Second), upstream, http.StatusServiceUnavailable, wants(time.Second)), Change{Backoff: true})
}

func TestAnswerOfAnotherInstanceAnnouncesNothing(t *testing.T) {
	now := time.Now()
	var n Notices
	a := sandbarrow.Announcement{Backoff: time.Second, Draining: true}
	assert.Equal(t, n.Apply(now, upstream, http.StatusMisdirectedRequest, a), Change{})
	assert.Equal(t, n.Check(now, upstream), Notice{})
}

func TestNoticesAreForgotten(t *testing.T) {
	now := time.Now()
	var n Notices
	n.Apply(now, upstream, http.StatusOK, sandbarrow.Announcement{Draining: true})
	n.Apply(now, restart, http.StatusServiceUnavailable, sandbarrow.Announcement{Backoff: time.Second})
	n.Apply(now.Add(2*time.Second), "other", http.StatusOK, sandbarrow.Announcement{})
	assert.Equal(t, len(n.byStart), 1, "a backoff that is over")
	n.Check(now.Add(keepFor), upstream)
	n.Apply(now.Add(keepFor+time.Minute), "other", http.StatusOK, sandbarrow.Announcement{})
	assert.Equal(t, len(n.byStart), 1, "it is still looked at")
	n.Apply(now.Add(2*keepFor+time.Minute), "other", http.StatusOK, sandbarrow.Announcement{})
	assert.Equal(t, len(n.byStart), 0)
	for i := range maxNotices + 10 {
		n.Apply(now, sandbarrow.InstanceID(fmt.Sprint(i)), http.StatusOK, sandbarrow.Announcement{Draining: true})
	}
	assert.Equal(t, len(n.byStart), maxNotices)
	draining, backoff := n.Count(now)
	assert.Assert(t, draining == maxNotices && backoff == 0)
}

func TestNextStartHasAnnouncedWhatCameAfterAnEnd(t *testing.T) {
	now := time.Now()
	drains := sandbarrow.Announcement{Draining: true}
	for _, first := range []sandbarrow.Announcement{{}, drains} {
		var n Notices
		n.Apply(now, upstream, http.StatusOK, first)
		n.Exited(now, upstream)
		assert.Equal(t, n.Check(now, restart), Notice{}, "it has announced nothing")
		n.Exited(now, restart)
		n.Apply(now, restart, http.StatusOK, drains)
		n.Apply(now, restart, http.StatusServiceUnavailable, sandbarrow.Announcement{Backoff: time.Second})
		want := Notice{Backoff: time.Second, Draining: true}
		assert.Equal(t, n.Check(now, restart), want, "the list does not show its next start yet")
		assert.Equal(t, n.Check(now, "v@3"), Notice{}, "another upstream")
		assert.Equal(t, n.Check(now, "u@3"), want)
		assert.Assert(t, len(n.byStart) == 1 && len(n.ended) == 0)
	}
}

func TestEndOfAnUpstreamThatDoesNotSayWhenItStarted(t *testing.T) {
	now := time.Now()
	var n Notices
	n.Apply(now, "u", http.StatusOK, sandbarrow.Announcement{Draining: true})
	n.Exited(now, "u")
	assert.Equal(t, n.Check(now, "u"), Notice{})
}

func TestEndsAreForgotten(t *testing.T) {
	now := time.Now()
	var n Notices
	for i := range maxNotices + 10 {
		n.Exited(now, sandbarrow.NewInstanceID(sandbarrow.ListedID(fmt.Sprint(i)), 1))
	}
	assert.Assert(t, len(n.byStart) == maxNotices && len(n.ended) == maxNotices)
	n.Apply(now.Add(keepFor+time.Second), upstream, http.StatusOK, sandbarrow.Announcement{})
	assert.Assert(t, len(n.byStart) == 0 && len(n.ended) == 0)
}
