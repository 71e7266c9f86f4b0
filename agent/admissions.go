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

// admissions decides whether a request may be sent to the upstream, by what that announces in its
// answers: its limit, for how long it wants no requests, and that it drains. The agent is the only
// way to it, so that it needs to ask nobody. It is safe for concurrent use.
type admissions struct {
	// drains is called when the upstream has announced that it drains.
	drains   func()
	instance sandbarrow.InstanceID
	logger   *slog.Logger
	reader   sandbarrow.NoticeReader

	mu      sync.Mutex
	keeper  throttle.Coordinator
	notices availability.Notices
}

func newAdmissions(id sandbarrow.UpstreamID, reader sandbarrow.NoticeReader, logger *slog.Logger) *admissions {
	return &admissions{drains: func() {}, instance: sandbarrow.InstanceID(id), logger: logger, reader: reader}
}

// admission says whether a request may be sent.
type admission struct {
	// counted says that the send counts against a limit.
	counted bool
	// refusal is why it may not be sent; nil where it may.
	refusal *sandbarrow.Refusal
}

// admit asks for one send, for a request whose send was counted before where counted is true.
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
	record, known := s.keeper.Record(now, s.instance)
	if !known || record.Ended {
		return admission{}
	}
	grant := s.keeper.Acquire(now, record, 0)
	if !grant.Granted {
		return admission{refusal: sandbarrow.NotRun(sandbarrow.ReasonUpstreamLimit, "the upstream takes no more requests now", grant.Wait)}
	}
	return admission{counted: true}
}

// drainingRefusal is the refusal of a request to an upstream that drains.
func drainingRefusal() *sandbarrow.Refusal {
	return sandbarrow.NotRun(sandbarrow.ReasonDraining, "the upstream is leaving", retryPause)
}

// unused gives a send back that was granted and did not come about.
func (s *admissions) unused() { s.spend(-1) }

// Resumed counts a further request for a job that was admitted. It is not refused, since the
// upstream is at work on it; the next one waits for longer.
func (s *admissions) Resumed() { s.spend(1) }

func (s *admissions) spend(sends int) {
	now := boottime.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if record, limited := s.keeper.Record(now, s.instance); limited {
		s.keeper.CountSends(now, record, sends)
	}
}

// ResponseReceived reads what an answer announces. A malformed limit says nothing.
func (s *admissions) ResponseReceived(sent time.Time, status int, h http.Header) {
	announced, err := s.reader.Read(status, h)
	if err != nil {
		s.logger.Warn("announcement of the upstream not read", "error", err.Error())
	}
	now := boottime.Now()
	s.mu.Lock()
	change := s.notices.Apply(now, s.instance, status, announced)
	var said throttle.Limit
	limitChanged := false
	if err == nil {
		var says bool
		if said, says = throttle.LimitFromResponse(now, sent, status, announced.Limit); says {
			limitChanged = s.keeper.Apply(now, s.instance, said)
		}
	}
	s.mu.Unlock()
	if limitChanged {
		s.logger.Info("limit of the upstream", "rate", float64(said.Rate), "ended", said.Ended)
	}
	if change.Backoff {
		s.logger.Info("upstream wants no requests", "backoff_ms", announced.Backoff.Milliseconds())
	}
	if change.Draining {
		s.logger.Info("upstream announces that it drains")
		s.drains()
	}
}

// draining reports whether the upstream has announced that it drains.
func (s *admissions) draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.notices.Check(boottime.Now(), s.instance).Draining
}

// wantsNone reports whether the upstream accepts no requests and orders now.
func (s *admissions) wantsNone(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	notice := s.notices.Check(now, s.instance)
	return notice.Draining || notice.Backoff > 0
}

// restarted forgets what the last start of the upstream has announced of its end.
func (s *admissions) restarted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notices.Forget(s.instance)
}
