package crash

import (
	"math/rand/v2"
	"sync"
	"time"

	"sandbarrow.example/sandbarrow"
)

// BrokenRun is a run that broke when its upstream crashed, before the upstream had proved that it
// responds to it.
type BrokenRun struct {
	Parts []Part
	// Sent is when the request was sent, by this process's clock.
	Sent time.Time
}

// PartLog records under which parts of prompts upstreams have crashed, and decides which requests are
// refused for it. Where no two requests are alike, Log can't tell which one is fatal. PartLog is safe
// for concurrent use.
type PartLog struct {
	records *Log
	jitter  float64
	proven  provenParts

	mu sync.Mutex
	// snapshot is that of the records at a sequence number and time.
	snapshot   partSnapshot
	sequence   uint64
	snapshotAt time.Time
}

// NewPartLog returns an empty PartLog that reads the time from now.
func NewPartLog(now func() time.Time) *PartLog {
	l := &PartLog{jitter: rand.Float64(), records: NewLog(now)}
	l.records.isProven = l.proven.contains
	return l
}

// Records returns the records by the fingerprints of parts, to share them with other processes.
func (l *PartLog) Records() *Log { return l.records }

// AddCrash records that an upstream has crashed, with the runs that broke.
func (l *PartLog) AddCrash(upstream sandbarrow.InstanceID, at time.Time, runs ...BrokenRun) {
	sent := map[Fingerprint]time.Time{}
	for _, run := range runs {
		for _, f := range fingerprints(run.Parts) {
			if run.Sent.After(sent[f]) {
				sent[f] = run.Sent
			}
		}
	}
	l.records.addPartCrash(upstream, at, len(runs), sent)
}

// AddResponse records that an upstream responds to a request with these parts. None of them is fatal
// then.
func (l *PartLog) AddResponse(parts []Part) {
	responded := fingerprints(parts)
	l.proven.add(responded)
	if l.records.Empty() {
		return
	}
	for _, f := range responded {
		l.records.Clear(f)
	}
}

// Decide decides on a request by the parts of its prompt. upstreams is the number of upstreams in the
// fleet.
func (l *PartLog) Decide(parts []Part, upstreams int) PartDecision {
	if len(parts) == 0 || l.records.Empty() {
		return PartDecision{}
	}
	request := fingerprints(parts)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.records.now()
	if sequence := l.records.lastSequence(); l.snapshot == nil || sequence != l.sequence || now.Sub(l.snapshotAt) > expiryInterval {
		l.snapshot, l.sequence, l.snapshotAt = l.records.snapshot(), sequence, now
	}
	return l.snapshot.decide(now, request, func(f Fingerprint) int { return l.records.crashesNeeded(f, upstreams) }, l.jitter)
}
