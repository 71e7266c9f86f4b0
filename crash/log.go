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
	// keepFor is how long an end counts. A fatal request that its caller repeats for ever ends
	// mostEnds upstreams in that time at most; a request that was refused for ends it had
	// nothing to do with, as after a fault of its upstreams that is mended, is served again
	// after it.
	keepFor = 10 * time.Minute
	// mostEntries bounds the requests that are remembered, at some 300 bytes each; those with the
	// fewest ends give way: a storm of crashes breaks some hundreds of attempts.
	mostEntries = 512
	// mostCrashes bounds the ends that are remembered of one request: some more than are
	// needed to refuse it.
	mostCrashes = 12
	// shareHalfLife is the half-life of the counts of attempts: as long as a storm of crashes
	// takes.
	shareHalfLife = 20 * time.Second
	// besideSlack is how long before the first end under a request others count as beside it.
	besideSlack = time.Second
	// forgetPause is the pause between two looks for what is older than keepFor.
	forgetPause = time.Second
	// mostRecentEnds bounds the ends that count for the share of attempts: a storm takes some of
	// them within shareHalfLife.
	mostRecentEnds = 128
	// priorAttempts are assumed to have met no end, so that the first attempts after a start
	// do not decide alone; more of them hide the begin of a storm.
	priorAttempts = 5
)

// entry is what is remembered of one request.
type entry struct {
	crashes map[sandbarrow.InstanceID]Crash
	// sequence numbers the last change, source is who told all that is known; nil where that
	// is more than one, or this process.
	sequence uint64
	source   any
	// noted says that this process has noted or cleared any of it itself.
	noted bool
}

// open returns the ends that are not cleared.
func (e *entry) open() []Crash {
	var list []Crash
	for _, c := range e.crashes {
		if !c.Cleared {
			list = append(list, c)
		}
	}
	return list
}

// last is when the newest end was.
func (e *entry) last() time.Time {
	var last time.Time
	for _, c := range e.crashes {
		if c.At.After(last) {
			last = c.At
		}
	}
	return last
}

// end is the end of an upstream that attempts of this process met.
type end struct {
	at       time.Time
	attempts int
	upstream sandbarrow.InstanceID
}

// Log remembers under which requests upstreams have ended. It is safe for concurrent use.
type Log struct {
	now func() time.Time

	mu sync.Mutex
	// attempts counts what this process has sent lately, ends what of it met the end of its
	// upstream, oldest first.
	attempts decay.Count
	changed  chan struct{}
	ends     []end
	entries  map[Fingerprint]*entry
	// forgotAt is when old entries were dropped last.
	forgotAt time.Time
	sequence uint64
}

// NewLog returns an empty Log by a clock.
func NewLog(now func() time.Time) *Log {
	return &Log{changed: make(chan struct{}), entries: map[Fingerprint]*entry{}, now: now}
}

// CountAttempt counts an attempt that has ended, however it did.
func (l *Log) CountAttempt() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts.Add(l.now(), shareHalfLife)
}

// Changed returns a channel that closes with the next change.
func (l *Log) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Clear notes that a request was answered by an upstream.
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
		l.touch(e, nil)
	}
}

// Empty reports whether nothing is remembered, so that no request need be told by its
// content.
func (l *Log) Empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries) == 0
}

// Decide decides whether a request may be sent to upstreams, of which there are so many.
func (l *Log) Decide(f Fingerprint, upstreams int) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.forget(now)
	v := Decision{Needed: leastEnds}
	e := l.entries[f]
	if e == nil {
		return v
	}
	own := e.open()
	v.Crashes, v.ExpiresIn = len(own), e.last().Add(keepFor).Sub(now)
	if len(own) >= leastEnds {
		v.Needed = endsNeeded(max(l.shareWithout(e, now), l.fleetShareWithout(own, upstreams)))
		v.Refused = endsUpstreams(own, l.rivals(f, own), v.Needed)
	}
	return v
}

// rivals are the ends under each other request that shares an end. The caller holds mu.
func (l *Log) rivals(f Fingerprint, own []Crash) [][]Crash {
	var list [][]Crash
	for other, e := range l.entries {
		if other == f {
			continue
		}
		if crashes := e.open(); shared(own, crashes) > 0 {
			list = append(list, crashes)
		}
	}
	return list
}

// shareWithout is the share of this process's attempts that lately met the end of their
// upstream, but for the ends under one request: those that it brings about say nothing of how
// often upstreams end by themselves. The caller holds mu.
func (l *Log) shareWithout(e *entry, now time.Time) float64 {
	met := 0.0
	for i := range l.ends {
		if _, own := e.crashes[l.ends[i].upstream]; !own {
			met += float64(l.ends[i].attempts) * decay.Factor(now.Sub(l.ends[i].at), shareHalfLife)
		}
	}
	return met / (l.attempts.Value(now, shareHalfLife) + priorAttempts)
}

// fleetShareWithout estimates the share of upstreams that ended beside a request's own ends,
// for each of these: a process that sends little meets few ends itself, while a storm of
// crashes shows in what all processes tell. The caller holds mu.
func (l *Log) fleetShareWithout(own []Crash, upstreams int) float64 {
	since := own[0].At
	mine := map[sandbarrow.InstanceID]bool{}
	for _, c := range own {
		mine[c.Upstream] = true
		if c.At.Before(since) {
			since = c.At
		}
	}
	beside := map[sandbarrow.InstanceID]bool{}
	for _, e := range l.entries {
		for id, c := range e.crashes {
			if !mine[id] && !c.At.Before(since.Add(-besideSlack)) {
				beside[id] = true
			}
		}
	}
	return float64(len(beside)) / float64(max(1, upstreams)*len(own))
}

// Contains reports whether anything is remembered of a request.
func (l *Log) Contains(f Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries[f] != nil
}

// Merge applies what another process tells, and reports whether any of it is new enough to
// be remembered. source says who it is, for Since.
func (l *Log) Merge(source any, records []Record) (current bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.forget(now)
	for i := range records[:min(len(records), mostEntries)] {
		r := &records[i]
		for j := range r.Crashes[:min(len(r.Crashes), mostCrashes)] {
			c := &r.Crashes[j]
			if age, ok := c.age(); ok {
				current = true
				l.add(source, r.Fingerprint, Crash{At: now.Add(-age), Cleared: c.Cleared, Upstream: c.Upstream})
			}
		}
	}
	return current
}

// AddCrash notes that an upstream has ended under requests of this process, all that ran or
// waited there.
func (l *Log) AddCrash(upstream sandbarrow.InstanceID, at time.Time, prints ...Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.forget(now)
	for _, f := range prints {
		l.add(nil, f, Crash{At: at, Upstream: upstream})
	}
	l.ends = append(l.ends, end{at: now, attempts: len(prints), upstream: upstream})
	if len(l.ends) > mostRecentEnds {
		l.ends = l.ends[1:]
	}
}

// Since returns what has changed after a number, but for what came from one source, and the
// next number.
func (l *Log) Since(sequence uint64, except any) ([]Record, uint64) {
	return l.since(sequence, func(e *entry) bool { return e.source == nil || e.source != except })
}

// LocalSince is Since for what this process has noted or cleared itself, with what others have
// told of the same requests.
func (l *Log) LocalSince(sequence uint64) ([]Record, uint64) {
	return l.since(sequence, func(e *entry) bool { return e.noted })
}

// own is Since without what a single source has told.
func (l *Log) own(sequence uint64) ([]Record, uint64) {
	return l.since(sequence, func(e *entry) bool { return e.source == nil })
}

func (l *Log) since(sequence uint64, wanted func(*entry) bool) ([]Record, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.forget(now)
	var records []Record
	for f, e := range l.entries {
		if e.sequence > sequence && wanted(e) {
			records = append(records, e.record(f, now))
		}
	}
	return records, l.sequence
}

// record is the Record of an entry.
func (e *entry) record(f Fingerprint, now time.Time) Record {
	r := Record{Fingerprint: f}
	for _, c := range e.crashes {
		r.Crashes = append(r.Crashes, RecordedCrash{AgeMS: max(0, now.Sub(c.At).Milliseconds()), Cleared: c.Cleared, Upstream: c.Upstream})
	}
	return r
}

// add applies one end under a request. What is known of it stays: an end is cleared for good,
// and as old as it was ever said to be, since messages are held up. The caller holds mu.
func (l *Log) add(source any, f Fingerprint, c Crash) {
	e := l.entries[f]
	if e == nil {
		e = &entry{crashes: map[sandbarrow.InstanceID]Crash{}}
	}
	known, has := e.crashes[c.Upstream]
	if has && (known.Cleared || !c.Cleared) {
		return
	}
	if has && known.At.Before(c.At) {
		c.At = known.At
	}
	e.crashes[c.Upstream] = c
	if len(e.crashes) > mostCrashes {
		delete(e.crashes, oldest(e.crashes))
	}
	l.entries[f] = e
	l.touch(e, source)
	if len(l.entries) > mostEntries {
		l.dropWeakest(f)
	}
}

// oldest is the end that gives way: a cleared one, else the oldest.
func oldest(crashes map[sandbarrow.InstanceID]Crash) sandbarrow.InstanceID {
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

// dropWeakest drops the request that least is known against, the oldest of those, but not
// the newest one. The caller holds mu.
func (l *Log) dropWeakest(newest Fingerprint) {
	var weakest Fingerprint
	var least *entry
	for f, e := range l.entries {
		if f == newest {
			continue
		}
		if least == nil || cmp.Or(cmp.Compare(len(e.open()), len(least.open())), e.last().Compare(least.last())) < 0 {
			weakest, least = f, e
		}
	}
	delete(l.entries, weakest)
}

// forget drops what is older than keepFor. The caller holds mu.
func (l *Log) forget(now time.Time) {
	if now.Sub(l.forgotAt) < forgetPause {
		return
	}
	l.forgotAt = now
	for f, e := range l.entries {
		if now.Sub(e.last()) > keepFor {
			delete(l.entries, f)
		}
	}
}

// touch marks an entry as changed. One that holds more than a single source has told is to
// be told to all. The caller holds mu.
func (l *Log) touch(e *entry, source any) {
	l.sequence++
	e.noted = e.noted || source == nil
	if e.sequence > 0 && e.source != source {
		source = nil
	}
	e.sequence, e.source = l.sequence, source
	close(l.changed)
	l.changed = make(chan struct{})
}
