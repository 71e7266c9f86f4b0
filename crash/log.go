package crash

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/decay"
)

const (
	// retention is how long a crash counts. A fatal request that its caller retries for ever
	// crashes at most maxCrashesNeeded upstreams in this time. A request that was refused for
	// unrelated crashes, such as those from a fault of the upstreams that has been repaired, is
	// served again after it.
	retention = 10 * time.Minute
	// maxEntries bounds the recorded requests, at some 300 bytes each. Those with the fewest
	// crashes are evicted first. A burst of crashes breaks some hundreds of attempts.
	maxEntries = 512
	// maxCrashesPerEntry bounds the crashes recorded for one request: some more than are needed
	// to refuse it.
	maxCrashesPerEntry = 12
	// shareHalfLife is the half-life of the counts of attempts: the duration of a burst of
	// crashes.
	shareHalfLife = 20 * time.Second
	// concurrentSlack is how long before a request's first crash other crashes count as
	// concurrent with its own.
	concurrentSlack = time.Second
	// expiryInterval is the interval between two checks for entries older than the retention.
	expiryInterval = time.Second
	// maxLocalCrashes bounds the crashes that count for the share of attempts. A burst of
	// crashes causes some of them within shareHalfLife.
	maxLocalCrashes = 128
	// maxMessageDelay is by how much the age of a record may be off, as the time is not counted for
	// which the record is under way.
	maxMessageDelay = 100 * time.Millisecond
	// priorAttempts is the number of assumed attempts without a crash. They keep the first
	// attempts after a start from deciding alone. A higher number would hide the beginning of
	// a burst of crashes.
	priorAttempts = 5
)

// entry holds the crashes of one request.
type entry struct {
	crashes map[sandbarrow.InstanceID]Crash
	// sequence numbers the last change. source is the only sender of this entry's crashes. It
	// is nil if there were several senders, or if this process has changed the entry itself.
	sequence uint64
	source   any
	// proven says that an upstream had responded to a request with the part before the first crash.
	proven bool
	// local says that this process has added or cleared a crash of this entry itself.
	local bool
}

// uncleared returns the crashes that are not cleared.
func (e *entry) uncleared() []Crash {
	var list []Crash
	for _, c := range e.crashes {
		if !c.Cleared {
			list = append(list, c)
		}
	}
	return list
}

// latest returns the time of the newest crash.
func (e *entry) latest() time.Time {
	var latest time.Time
	for _, c := range e.crashes {
		if c.At.After(latest) {
			latest = c.At
		}
	}
	return latest
}

// localCrash is a crash of an upstream on which attempts of this process were running.
type localCrash struct {
	at       time.Time
	attempts int
	upstream sandbarrow.InstanceID
}

// Log records under which requests upstreams have crashed. It is safe for concurrent use.
type Log struct {
	now func() time.Time
	// isProven reports whether an upstream has responded to a request with a part.
	isProven func(Fingerprint) bool

	mu sync.Mutex
	// attempts counts the recent attempts of this process. localCrashes are the crashes that
	// broke some of them, oldest first.
	attempts     decay.Count
	changed      chan struct{}
	localCrashes []localCrash
	entries      map[Fingerprint]*entry
	// expiredAt is when expired entries were last dropped.
	expiredAt time.Time
	sequence  uint64
}

// NewLog returns an empty Log that reads the time from now.
func NewLog(now func() time.Time) *Log {
	return &Log{changed: make(chan struct{}), entries: map[Fingerprint]*entry{}, isProven: func(Fingerprint) bool { return false }, now: now}
}

// CountAttempt counts a finished attempt, whatever its outcome.
func (l *Log) CountAttempt() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts.Add(l.now(), shareHalfLife)
}

// Changed returns a channel that is closed at the next change.
func (l *Log) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Clear clears the crashes of a request to which an upstream has responded.
func (l *Log) Clear(f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[f]
	if e == nil {
		return
	}
	changed := false
	for id, c := range e.crashes {
		if !c.Cleared {
			c.Cleared, changed = true, true
			e.crashes[id] = c
		}
	}
	if changed {
		l.markChanged(e, nil)
	}
}

// Empty reports whether no crash is recorded. No request needs a fingerprint then.
func (l *Log) Empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries) == 0
}

// Decide decides whether a request may be sent to an upstream. upstreams is the number of
// upstreams in the fleet.
func (l *Log) Decide(f Fingerprint, upstreams int) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.expire(now)
	d := Decision{Needed: minCrashesNeeded}
	e := l.entries[f]
	if e == nil {
		return d
	}
	own := e.uncleared()
	d.Crashes, d.ExpiresIn = len(own), e.latest().Add(retention).Sub(now)
	if len(own) >= minCrashesNeeded {
		d.Needed = crashesNeeded(max(l.localCrashShare(e, now), l.fleetCrashShare(own, upstreams)), maxCoincidenceChance)
		d.Refused = crashesUpstreams(own, l.suspects(f, own), d.Needed)
	}
	return d
}

// suspects returns the uncleared crashes of each other request that shares one of own. The
// caller holds mu.
func (l *Log) suspects(f Fingerprint, own []Crash) [][]Crash {
	var list [][]Crash
	for other, e := range l.entries {
		if other == f {
			continue
		}
		if crashes := e.uncleared(); countShared(own, crashes) > 0 {
			list = append(list, crashes)
		}
	}
	return list
}

// localCrashShare is the share of this process's recent attempts whose upstream crashed. The
// crashes under the entry's request are left out. Those that it causes say nothing about how
// often upstreams crash by themselves. The caller holds mu.
func (l *Log) localCrashShare(e *entry, now time.Time) float64 {
	broken := 0.0
	for i := range l.localCrashes {
		if _, own := e.crashes[l.localCrashes[i].upstream]; !own {
			broken += float64(l.localCrashes[i].attempts) * decay.Factor(now.Sub(l.localCrashes[i].at), shareHalfLife)
		}
	}
	return broken / (l.attempts.Value(now, shareHalfLife) + priorAttempts)
}

// fleetCrashShare estimates the share of upstreams that crashed at the same time as a
// request's own crashes, per own crash. A process that sends few requests sees few crashes
// itself, while a burst of crashes shows in the records of all processes. The caller holds mu.
func (l *Log) fleetCrashShare(own []Crash, upstreams int) float64 {
	since := own[0].At
	ownUpstreams := map[sandbarrow.InstanceID]bool{}
	for _, c := range own {
		ownUpstreams[c.Upstream] = true
		if c.At.Before(since) {
			since = c.At
		}
	}
	concurrent := map[sandbarrow.InstanceID]bool{}
	for _, e := range l.entries {
		for id, c := range e.crashes {
			if !ownUpstreams[id] && !c.At.Before(since.Add(-concurrentSlack)) {
				concurrent[id] = true
			}
		}
	}
	return float64(len(concurrent)) / float64(max(1, upstreams)*len(own))
}

// Contains reports whether any crash is recorded for a request.
func (l *Log) Contains(f Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries[f] != nil
}

// Merge applies the records of another process, and reports whether any of them is recent
// enough to be stored. source identifies that process, for Since.
func (l *Log) Merge(source any, records []Record) (current bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.expire(now)
	for i := range records[:min(len(records), maxEntries)] {
		r := &records[i]
		for j := range r.Crashes[:min(len(r.Crashes), maxCrashesPerEntry)] {
			if c, ok := r.Crashes[j].crash(now); ok {
				current = true
				l.add(source, r.Fingerprint, c)
			}
		}
		l.mergeProven(source, r)
	}
	return current
}

// mergeProven merges whether a part was proven before its first crash. The others are told of a proof
// that only this process has. The caller holds mu.
func (l *Log) mergeProven(source any, r *Record) {
	e := l.entries[r.Fingerprint]
	switch {
	case e == nil:
	case r.Proven && !e.proven:
		e.proven = true
		l.markChanged(e, source)
	case !r.Proven && e.proven && e.source != nil:
		l.markChanged(e, nil)
	}
}

// AddCrash records that an upstream has crashed. fingerprints are those of all requests of
// this process that were running or waiting there.
func (l *Log) AddCrash(upstream sandbarrow.InstanceID, at time.Time, fingerprints ...Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.expire(now)
	for _, f := range fingerprints {
		l.add(nil, f, Crash{At: at, Upstream: upstream})
	}
	l.countCrash(upstream, now, len(fingerprints))
}

// countCrash counts a crash of an upstream on which attempts of this process were running. The caller
// holds mu.
func (l *Log) countCrash(upstream sandbarrow.InstanceID, now time.Time, attempts int) {
	l.localCrashes = append(l.localCrashes, localCrash{at: now, attempts: attempts, upstream: upstream})
	if len(l.localCrashes) > maxLocalCrashes {
		l.localCrashes = l.localCrashes[1:]
	}
}

// addPartCrash records that an upstream has crashed. sent holds the parts of the attempts that broke,
// and when the last one with each part was sent.
func (l *Log) addPartCrash(upstream sandbarrow.InstanceID, at time.Time, attempts int, sent map[Fingerprint]time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.expire(now)
	for f, last := range sent {
		l.add(nil, f, Crash{At: at, Sent: last, Upstream: upstream})
	}
	l.countCrash(upstream, now, attempts)
}

// lastSequence returns the number of the last change.
func (l *Log) lastSequence() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sequence
}

// snapshot returns the uncleared crashes of all entries, by time.
func (l *Log) snapshot() partSnapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(l.now())
	s := partSnapshot{}
	for f, e := range l.entries {
		crashes := e.uncleared()
		if len(crashes) == 0 {
			continue
		}
		slices.SortFunc(crashes, func(a, b Crash) int {
			return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Upstream, b.Upstream))
		})
		s[f] = &partState{crashes: crashes, proven: e.proven}
	}
	return s
}

// crashesNeeded returns for how many crashes a part is refused.
func (l *Log) crashesNeeded(f Fingerprint, upstreams int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[f]
	if e == nil {
		return minCrashesNeeded
	}
	own := e.uncleared()
	if len(own) == 0 {
		return minCrashesNeeded
	}
	return crashesNeeded(max(l.localCrashShare(e, l.now()), l.fleetCrashShare(own, upstreams)), maxPartCoincidenceChance)
}

// Since returns the entries that changed after a sequence number, and the current sequence
// number. Entries that came from the source except alone are left out.
func (l *Log) Since(sequence uint64, except any) ([]Record, uint64) {
	return l.changesSince(sequence, func(e *entry) bool { return e.source == nil || e.source != except })
}

// LocalSince is Since for the entries that this process has changed itself. They include the
// crashes that other processes have recorded for the same requests.
func (l *Log) LocalSince(sequence uint64) ([]Record, uint64) {
	return l.changesSince(sequence, func(e *entry) bool { return e.local })
}

// ownSince is Since without the entries that came from a single source.
func (l *Log) ownSince(sequence uint64) ([]Record, uint64) {
	return l.changesSince(sequence, func(e *entry) bool { return e.source == nil })
}

func (l *Log) changesSince(sequence uint64, selected func(*entry) bool) ([]Record, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.expire(now)
	var records []Record
	for f, e := range l.entries {
		if e.sequence > sequence && selected(e) {
			records = append(records, e.record(f, now))
		}
	}
	return records, l.sequence
}

// record returns the Record of an entry.
func (e *entry) record(f Fingerprint, now time.Time) Record {
	r := Record{Fingerprint: f, Proven: e.proven}
	for _, c := range e.crashes {
		recorded := RecordedCrash{AgeMS: max(0, now.Sub(c.At).Milliseconds()), Cleared: c.Cleared, Upstream: c.Upstream}
		if !c.Sent.IsZero() {
			recorded.SentMS = max(1, now.Sub(c.Sent).Milliseconds())
		}
		r.Crashes = append(r.Crashes, recorded)
	}
	return r
}

// add applies one crash of a request. A cleared crash stays cleared. When a crash is cleared,
// the earlier of its two times counts, because a delayed message makes a crash look more
// recent. Of two requests that one crash broke, the one that was sent later counts. The caller
// holds mu.
func (l *Log) add(source any, f Fingerprint, c Crash) {
	e := l.entries[f]
	if e == nil {
		e = &entry{crashes: map[sandbarrow.InstanceID]Crash{}, proven: l.isProven(f)}
	}
	known, has := e.crashes[c.Upstream]
	sentLater := has && c.Sent.After(known.Sent.Add(maxMessageDelay))
	if has && (known.Cleared || !c.Cleared && !sentLater) {
		return
	}
	if has && known.At.Before(c.At) {
		c.At = known.At
	}
	e.crashes[c.Upstream] = c
	if len(e.crashes) > maxCrashesPerEntry {
		delete(e.crashes, evictionCandidate(e.crashes))
	}
	l.entries[f] = e
	l.markChanged(e, source)
	if len(l.entries) > maxEntries {
		l.evictWeakest(f)
	}
}

// evictionCandidate returns the crash to evict: the oldest cleared one, or else the oldest.
func evictionCandidate(crashes map[sandbarrow.InstanceID]Crash) sandbarrow.InstanceID {
	return slices.MinFunc(slices.Collect(maps.Keys(crashes)), func(a, b sandbarrow.InstanceID) int {
		x, y := crashes[a], crashes[b]
		switch {
		case x.Cleared == y.Cleared:
			return x.At.Compare(y.At)
		case x.Cleared:
			return -1
		}
		return 1
	})
}

// evictWeakest drops the request with the fewest uncleared crashes, and among those the one
// whose latest crash is oldest. It keeps newest. The caller holds mu.
func (l *Log) evictWeakest(newest Fingerprint) {
	var weakest Fingerprint
	var least *entry
	for f, e := range l.entries {
		if f == newest {
			continue
		}
		if least == nil || cmp.Or(cmp.Compare(len(e.uncleared()), len(least.uncleared())), e.latest().Compare(least.latest())) < 0 {
			weakest, least = f, e
		}
	}
	delete(l.entries, weakest)
}

// expire drops entries older than the retention. The caller holds mu.
func (l *Log) expire(now time.Time) {
	if now.Sub(l.expiredAt) < expiryInterval {
		return
	}
	l.expiredAt = now
	for f, e := range l.entries {
		if now.Sub(e.latest()) > retention {
			delete(l.entries, f)
		}
	}
}

// markChanged marks an entry as changed by source. An entry that combines several sources has
// the source nil, and so is sent to all. The caller holds mu.
func (l *Log) markChanged(e *entry, source any) {
	l.sequence++
	e.local = e.local || source == nil
	if e.sequence > 0 && e.source != source {
		source = nil
	}
	e.sequence, e.source = l.sequence, source
	close(l.changed)
	l.changed = make(chan struct{})
}
