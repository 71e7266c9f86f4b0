package agent

import (
	"log/slog"
	"net/http"
	"sync"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/availability"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/throttle"
)

// admissions decides whether a request may be sent to the upstream. It applies the notices in the
// upstream's responses: its limit, a backoff and a drain. All requests to the upstream pass through
// this agent, so it needs no coordination with other processes. It is safe for concurrent use.
type admissions struct {
	// drainStarted is called when the upstream sends a drain notice.
	drainStarted func()
	instance     sandbarrow.InstanceID
	logger       *slog.Logger
	reader       sandbarrow.NoticeReader

	mu          sync.Mutex
	coordinator throttle.Coordinator
	notices     availability.Notices
}

func newAdmissions(id sandbarrow.UpstreamID, reader sandbarrow.NoticeReader, logger *slog.Logger) *admissions {
	return &admissions{drainStarted: func() {}, instance: sandbarrow.InstanceID(id), logger: logger, reader: reader}
}

// admission is the decision about one send.
type admission struct {
	// counted is set when the send counts against a limit.
	counted bool
	// refusal is the reason for a rejected send; nil if the send is allowed.
	refusal *sandbarrow.Refusal
}

// admit decides about one send. counted is set when an earlier call already counted this send
// against the limit.
func (s *admissions) admit(now time.Time, counted bool) admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	notice := s.notices.Check(now, s.instance)
	switch {
	case notice.Draining:
		return admission{counted: counted, refusal: drainingRefusal()}
	case notice.Backoff > 0:
		return admission{counted: counted, refusal: sandbarrow.NotRun(sandbarrow.ReasonUpstreamBackoff, "the upstream wants no requests now", notice.Backoff)}
	case counted:
		return admission{counted: true}
	}
	record, known := s.coordinator.Record(now, s.instance)
	if !known || record.Ended {
		return admission{}
	}
	grant := s.coordinator.Acquire(now, record, 0)
	if !grant.Granted {
		return admission{refusal: sandbarrow.NotRun(sandbarrow.ReasonUpstreamLimit, "the upstream takes no more requests now", grant.Wait)}
	}
	return admission{counted: true}
}

// drainingRefusal returns the refusal of a request to a draining upstream.
func drainingRefusal() *sandbarrow.Refusal {
	return sandbarrow.NotRun(sandbarrow.ReasonDraining, "the upstream is leaving", defaultRetryAfter)
}

// refundSend returns a send to the limit that was counted but never made.
func (s *admissions) refundSend() { s.adjustSends(-1) }

// Resumed counts a further request for a job that was already admitted. It is never refused because
// the upstream is already working on the job. Later sends wait longer instead.
func (s *admissions) Resumed() { s.adjustSends(1) }

func (s *admissions) adjustSends(sends int) {
	now := boottime.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if record, limited := s.coordinator.Record(now, s.instance); limited {
		s.coordinator.CountSends(now, record, sends)
	}
}

// ResponseReceived applies the notice in a response. A malformed limit is ignored.
func (s *admissions) ResponseReceived(sent time.Time, status int, h http.Header) {
	notice, err := s.reader.Read(status, h)
	if err != nil {
		s.logger.Warn("announcement of the upstream not read", "error", err.Error())
	}
	now := boottime.Now()
	s.mu.Lock()
	change := s.notices.Apply(now, s.instance, status, notice)
	var limit throttle.Limit
	limitChanged := false
	if err == nil {
		var named bool
		if limit, named = throttle.LimitFromResponse(now, sent, status, notice.Limit); named {
			limitChanged = s.coordinator.Apply(now, s.instance, limit)
		}
	}
	s.mu.Unlock()
	if limitChanged {
		s.logger.Info("limit of the upstream", "rate", float64(limit.Rate), "ended", limit.Ended)
	}
	if change.Backoff {
		s.logger.Info("upstream wants no requests", "backoff_ms", notice.Backoff.Milliseconds())
	}
	if change.Draining {
		s.logger.Info("upstream announces that it drains")
		s.drainStarted()
	}
}

// draining reports whether the upstream has sent a drain notice.
func (s *admissions) draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.notices.Check(boottime.Now(), s.instance).Draining
}

// rejectsWork reports whether the upstream is draining or in backoff and accepts no requests or
// orders now.
func (s *admissions) rejectsWork(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	notice := s.notices.Check(now, s.instance)
	return notice.Draining || notice.Backoff > 0
}

// clearNotices drops the backoff and drain notices of the upstream's previous start.
func (s *admissions) clearNotices() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notices.Forget(s.instance)
}
