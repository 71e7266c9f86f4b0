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
	upstream  sandbarrow.InstanceID = "u@1"
	restarted sandbarrow.InstanceID = "u@2"
)

func TestDrainNoticeAppliesToOneInstanceOnly(t *testing.T) {
	now := time.Now()
	var n Notices
	drains := sandbarrow.UpstreamNotice{Draining: true}
	assert.Equal(t, n.Apply(now, upstream, http.StatusOK, drains), Change{Draining: true})
	assert.Equal(t, n.Apply(now.Add(time.Second), upstream, http.StatusOK, drains), Change{})
	assert.Equal(t, n.Check(now.Add(time.Minute), upstream), Notice{Draining: true, DrainingFor: time.Minute})
	assert.Equal(t, n.Check(now, restarted), Notice{}, "the restarted upstream has no notice")
}

func TestLongestBackoffWins(t *testing.T) {
	now := time.Now()
	var n Notices
	backoff := func(d time.Duration) sandbarrow.UpstreamNotice { return sandbarrow.UpstreamNotice{Backoff: d} }
	assert.Equal(t, n.Apply(now, upstream, http.StatusServiceUnavailable, backoff(3*time.Second)), Change{Backoff: true})
	assert.Equal(t, n.Apply(now.Add(time.Second), upstream, http.StatusServiceUnavailable, backoff(time.Second)), Change{})
	assert.Equal(t, n.Check(now.Add(time.Second), upstream).Backoff, 2*time.Second)
	assert.Equal(t, n.Apply(now.Add(2*time.Second), upstream, http.StatusServiceUnavailable, backoff(3*time.Second)), Change{})
	assert.Equal(t, n.Check(now.Add(2*time.Second), upstream).Backoff, 3*time.Second)
	assert.Equal(t, n.Check(now.Add(5*time.Second), upstream), Notice{}, "the backoff is over")
	assert.Equal(t, n.Apply(now.Add(6*time.Second), upstream, http.StatusServiceUnavailable, backoff(time.Second)), Change{Backoff: true})
}

func TestResponseOfAnotherInstanceIsIgnored(t *testing.T) {
	now := time.Now()
	var n Notices
	notice := sandbarrow.UpstreamNotice{Backoff: time.Second, Draining: true}
	assert.Equal(t, n.Apply(now, upstream, http.StatusMisdirectedRequest, notice), Change{})
	assert.Equal(t, n.Check(now, upstream), Notice{})
}

func TestNoticesExpireAndAreBounded(t *testing.T) {
	now := time.Now()
	var n Notices
	n.Apply(now, upstream, http.StatusOK, sandbarrow.UpstreamNotice{Draining: true})
	n.Apply(now, restarted, http.StatusServiceUnavailable, sandbarrow.UpstreamNotice{Backoff: time.Second})
	n.Apply(now.Add(2*time.Second), "other", http.StatusOK, sandbarrow.UpstreamNotice{})
	assert.Equal(t, len(n.byInstance), 1, "the backoff is over and dropped")
	n.Check(now.Add(noticeRetention), upstream)
	n.Apply(now.Add(noticeRetention+time.Minute), "other", http.StatusOK, sandbarrow.UpstreamNotice{})
	assert.Equal(t, len(n.byInstance), 1, "a notice in use is kept")
	n.Apply(now.Add(2*noticeRetention+time.Minute), "other", http.StatusOK, sandbarrow.UpstreamNotice{})
	assert.Equal(t, len(n.byInstance), 0)
	for i := range maxNotices + 10 {
		n.Apply(now, sandbarrow.InstanceID(fmt.Sprint(i)), http.StatusOK, sandbarrow.UpstreamNotice{Draining: true})
	}
	assert.Equal(t, len(n.byInstance), maxNotices)
	draining, backoff := n.Count(now)
	assert.Assert(t, draining == maxNotices && backoff == 0)
}

func TestNoticeAfterExitBelongsToNextInstance(t *testing.T) {
	now := time.Now()
	drains := sandbarrow.UpstreamNotice{Draining: true}
	for _, first := range []sandbarrow.UpstreamNotice{{}, drains} {
		var n Notices
		n.Apply(now, upstream, http.StatusOK, first)
		n.Exited(now, upstream)
		assert.Equal(t, n.Check(now, restarted), Notice{}, "the next instance has no notice")
		n.Exited(now, restarted)
		n.Apply(now, restarted, http.StatusOK, drains)
		n.Apply(now, restarted, http.StatusServiceUnavailable, sandbarrow.UpstreamNotice{Backoff: time.Second})
		want := Notice{Backoff: time.Second, Draining: true}
		assert.Equal(t, n.Check(now, restarted), want, "the list still shows the previous instance")
		assert.Equal(t, n.Check(now, "v@3"), Notice{}, "another upstream")
		assert.Equal(t, n.Check(now, "u@3"), want)
		assert.Assert(t, len(n.byInstance) == 1 && len(n.exited) == 0)
	}
}

func TestExitClearsNoticeOfUpstreamWithoutStartTime(t *testing.T) {
	now := time.Now()
	var n Notices
	n.Apply(now, "u", http.StatusOK, sandbarrow.UpstreamNotice{Draining: true})
	n.Exited(now, "u")
	assert.Equal(t, n.Check(now, "u"), Notice{})
}

func TestExitsExpireAndAreBounded(t *testing.T) {
	now := time.Now()
	var n Notices
	for i := range maxNotices + 10 {
		n.Exited(now, sandbarrow.NewInstanceID(sandbarrow.ListedID(fmt.Sprint(i)), 1))
	}
	assert.Assert(t, len(n.byInstance) == maxNotices && len(n.exited) == maxNotices)
	n.Apply(now.Add(noticeRetention+time.Second), upstream, http.StatusOK, sandbarrow.UpstreamNotice{})
	assert.Assert(t, len(n.byInstance) == 0 && len(n.exited) == 0)
}
