package throttle

import (
	"time"

	"sandbarrow.example/sandbarrow"
)

const (
	// limitRetention is how long a limit is kept after it was last named or used.
	limitRetention = 10 * time.Minute
	// endedRetention is how long the end of a limit is kept. It is longer than an older record of
	// the limit can be in transit.
	endedRetention = time.Minute
	// maxLimits bounds the stored limits, at about 150 bytes each. The least recently used one is
	// evicted.
	maxLimits = 2048
	// expiryInterval is the minimum time between two scans for expired limits.
	expiryInterval = time.Second
)

// tableEntry is one limit of a Table.
type tableEntry struct {
	Limit
	cold Cold
	// lastUsed is when the limit was last named or read.
	lastUsed time.Time
}

// Table stores the known limits of upstreams, by instance: a restarted upstream begins without a
// limit. The zero Table is empty.
type Table struct {
	expiredAt time.Time
	limits    map[sandbarrow.InstanceID]*tableEntry
}

// Apply applies the state of an upstream's limit unless a newer one is known. It reports whether
// the limit in force changes. The end of an unknown limit is ignored.
func (t *Table) Apply(now time.Time, id sandbarrow.InstanceID, l Limit) (changed bool) {
	t.expire(now)
	if l.At.After(now) {
		l.At = now
	}
	e := t.limits[id]
	switch {
	case e == nil && l.Ended:
		return false
	case e == nil:
		t.add(now, id, &tableEntry{Limit: l})
		return true
	case !l.newer(e.Limit):
		return false
	}
	changed = !l.same(e.Limit)
	e.Limit, e.lastUsed = l, now
	return changed
}

// SetCold sets whether an upstream is cold, according to the list of upstreams.
func (t *Table) SetCold(now time.Time, id sandbarrow.InstanceID, c Cold) {
	e := t.limits[id]
	switch {
	case e != nil:
		e.cold = c
	case c.active(now):
		t.expire(now)
		t.add(now, id, &tableEntry{Limit: Limit{Ended: true}, cold: c})
	}
}

// Empty reports whether no limit is known, so that callers can skip lookups.
func (t *Table) Empty() bool {
	return len(t.limits) == 0
}

// add adds an entry, and drops the least recently used one if there are too many.
func (t *Table) add(now time.Time, id sandbarrow.InstanceID, e *tableEntry) {
	if t.limits == nil {
		t.limits = map[sandbarrow.InstanceID]*tableEntry{}
	}
	e.lastUsed = now
	t.limits[id] = e
	if len(t.limits) > maxLimits {
		t.dropOldest()
	}
}

// InForce returns the limit of an upstream, or false if it names none and is warm. Of a named limit
// and that of a cold start, the lower one is in force.
func (t *Table) InForce(now time.Time, id sandbarrow.InstanceID) (Limit, bool) {
	e := t.limits[id]
	if e == nil {
		return Limit{}, false
	}
	if e.cold.active(now) && (e.Ended || e.cold.Rate < e.Rate) {
		e.lastUsed = now
		return Limit{At: now, Rate: e.cold.Rate}, true
	}
	if e.Ended {
		return Limit{}, false
	}
	e.lastUsed = now
	return e.Limit, true
}

// names reports whether an upstream names a limit, whether or not it is cold.
func (t *Table) names(id sandbarrow.InstanceID) bool {
	e := t.limits[id]
	return e != nil && !e.Ended
}

// CountLimited counts the upstreams that name a limit.
func (t *Table) CountLimited() int {
	n := 0
	for _, e := range t.limits {
		if !e.Ended {
			n++
		}
	}
	return n
}

// Record returns the record of an upstream's limit for other processes; false if none is known.
func (t *Table) Record(now time.Time, id sandbarrow.InstanceID) (Record, bool) {
	e := t.limits[id]
	if e == nil {
		return Record{}, false
	}
	age := min(max(0, now.Sub(e.At)), limitRetention) // Valid rejects older records
	r := Record{AgeMS: age.Milliseconds(), Ended: e.Ended, Instance: id, Rate: e.Rate}
	if e.cold.active(now) {
		r.ColdMS, r.ColdRate = min(e.cold.Until.Sub(now), limitRetention).Milliseconds(), e.cold.Rate
	}
	return r, true
}

// Records returns the records of all known limits.
func (t *Table) Records(now time.Time) []Record {
	var list []Record
	for id := range t.limits {
		if r, ok := t.Record(now, id); ok {
			list = append(list, r)
		}
	}
	return list
}

// Merge applies a record from another process, and reports whether the limit in force changes.
// A cold start ends with the later of the known ends: a process whose list is newer no longer asks.
func (t *Table) Merge(now time.Time, r Record) (changed bool) {
	if !r.Valid() {
		return false
	}
	if c := r.cold(now); c.active(now) {
		if e := t.limits[r.Instance]; e == nil || !e.cold.active(now) || c.Until.After(e.cold.Until) {
			t.SetCold(now, r.Instance, c)
		}
	}
	return t.Apply(now, r.Instance, r.limit(now))
}

// expire drops limits that have not been used for their retention time.
func (t *Table) expire(now time.Time) {
	if now.Sub(t.expiredAt) < expiryInterval {
		return
	}
	t.expiredAt = now
	for id, e := range t.limits {
		retention := limitRetention
		if e.Ended && !e.cold.active(now) {
			retention = endedRetention
		}
		if now.Sub(e.lastUsed) > retention {
			delete(t.limits, id)
		}
	}
}

// dropOldest drops the least recently used limit.
func (t *Table) dropOldest() {
	var oldest sandbarrow.InstanceID
	var oldestEntry *tableEntry
	for id, e := range t.limits {
		if oldestEntry == nil || e.lastUsed.Before(oldestEntry.lastUsed) {
			oldest, oldestEntry = id, e
		}
	}
	delete(t.limits, oldest)
}
