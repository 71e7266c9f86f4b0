package agent

import (
	"log/slog"
	"net/http"
	"sync"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/throttle"
)

// sendLimit holds the requests to the upstream to the limit that it names. The agent is the
// only way to it, so that it needs to ask nobody. It is safe for concurrent use.
type sendLimit struct {
	instance sandbarrow.InstanceID
	logger   *slog.Logger
	reader   sandbarrow.AnnouncementReader

	mu     sync.Mutex
	keeper throttle.Keeper
}

func newSendLimit(id sandbarrow.UpstreamID, reader sandbarrow.AnnouncementReader, logger *slog.Logger) *sendLimit {
	return &sendLimit{instance: sandbarrow.InstanceID(id), logger: logger, reader: reader}
}

// admission says whether a request may be sent.
type admission struct {
	throttle.Grant
	// counted says that the send counts against a limit.
	counted bool
}

// admit asks for one send.
func (l *sendLimit) admit(now time.Time) admission {
	l.mu.Lock()
	defer l.mu.Unlock()
	record, known := l.keeper.Record(now, l.instance)
	if !known || record.Ended {
		return admission{Grant: throttle.Grant{Granted: true}}
	}
	return admission{Grant: l.keeper.Take(now, record, 0), counted: true}
}

// refusal is the refusal of a request that was not admitted.
func (a *admission) refusal() *sandbarrow.Refusal {
	return sandbarrow.NotRun(sandbarrow.ReasonUpstreamLimit, "the upstream takes no more requests now", a.Wait)
}

// unused gives a send back that was granted and did not come about.
func (l *sendLimit) unused() { l.spend(-1) }

// Resumed counts a further request for a job that was admitted. It is not refused, since the
// upstream is at work on it; the next one waits for longer.
func (l *sendLimit) Resumed() { l.spend(1) }

func (l *sendLimit) spend(sends int) {
	now := boottime.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if record, limited := l.keeper.Record(now, l.instance); limited {
		l.keeper.Spent(now, record, sends)
	}
}

// Answered reads the limit that an answer names. A malformed answer says nothing.
func (l *sendLimit) Answered(sent time.Time, status int, h http.Header) {
	announced, err := l.reader.Read(status, h)
	if err != nil {
		l.logger.Warn("announcement of the upstream not read", "error", err.Error())
		return
	}
	now := boottime.Now()
	said, says := throttle.LimitOf(now, sent, status, announced.Limit)
	if !says {
		return
	}
	l.mu.Lock()
	changed := l.keeper.Apply(now, l.instance, said)
	l.mu.Unlock()
	if changed {
		l.logger.Info("limit of the upstream", "rate", float64(said.Rate), "ended", said.Ended)
	}
}
