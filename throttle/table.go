package throttle

import (
	"time"

	"sandbarrow.example/sandbarrow"
)

const (
	// keepFor is how long a limit is kept that nobody names or looks at.
	keepFor = 10 * time.Minute
	// keepEnded is how long the end of a limit is kept: longer than an older naming of it is
	// on its way.
	keepEnded = time.Minute
	// mostLimits bounds the limits that are kept, at some 150 bytes each; those give way that
	// were looked at least lately.
	mostLimits = 2048
	// forgetPause is the pause between two looks for what is to be forgotten.
	forgetPause = time.Second
)

// known is one limit of a Table.
type known struct {
	Limit
	// used is when the limit was last named or looked at.
	used time.Time
}

// Table keeps what a process knows of the limits of upstreams, by their starts: one that has
// started again has named nothing. The zero Table is empty.
type Table struct {
	forgotAt time.Time
	limits   map[sandbarrow.InstanceID]*known
}

// Apply notes what an upstream said of its limit, unless something newer is known, and reports
// whether the limit that is held changes with it. The end of a limit that is not known says
// nothing.
func (t *Table) Apply(now time.Time, id sandbarrow.InstanceID, l Limit) (changed bool) {
	t.forget(now)
	if l.At.After(now) {
		l.At = now
	}
	k := t.limits[id]
	switch {
	case k == nil && l.Ended:
		return false
	case k == nil:
		if t.limits == nil {
			t.limits = map[sandbarrow.InstanceID]*known{}
		}
		t.limits[id] = &known{Limit: l, used: now}
		if len(t.limits) > mostLimits {
			t.dropOldest()
		}
		return true
	case !l.newer(k.Limit):
		return false
	}
	changed = !l.same(k.Limit)
	k.Limit, k.used = l, now
	return changed
}

// Empty reports whether no limit is known, so that none need be looked at.
func (t *Table) Empty() bool {
	return len(t.limits) == 0
}

// InForce returns the limit of an upstream, or false where it names none.
func (t *Table) InForce(now time.Time, id sandbarrow.InstanceID) (Limit, bool) {
	k := t.limits[id]
	if k == nil || k.Ended {
		return Limit{}, false
	}
	k.used = now
	return k.Limit, true
}

// CountLimited counts the upstreams that name a limit.
func (t *Table) CountLimited() int {
	n := 0
	for _, k := range t.limits {
		if !k.Ended {
			n++
		}
	}
	return n
}

// Record is what another process is told of an upstream's limit; false where none is known.
func (t *Table) Record(now time.Time, id sandbarrow.InstanceID) (Record, bool) {
	k := t.limits[id]
	if k == nil {
		return Record{}, false
	}
	age := min(max(0, now.Sub(k.At)), keepFor) // one that is looked at is kept longer
	return Record{AgeMS: age.Milliseconds(), Ended: k.Ended, Instance: id, Rate: k.Rate}, true
}

// Records tells all that is known.
func (t *Table) Records(now time.Time) []Record {
	var list []Record
	for id := range t.limits {
		if r, ok := t.Record(now, id); ok {
			list = append(list, r)
		}
	}
	return list
}

// Merge applies what another process tells, and reports whether a limit that is held changes.
func (t *Table) Merge(now time.Time, r Record) (changed bool) {
	return r.Valid() && t.Apply(now, r.Instance, r.limit(now))
}

// forget drops what nobody needs any more.
func (t *Table) forget(now time.Time) {
	if now.Sub(t.forgotAt) < forgetPause {
		return
	}
	t.forgotAt = now
	for id, k := range t.limits {
		if now.Sub(k.used) > keepFor || k.Ended && now.Sub(k.used) > keepEnded {
			delete(t.limits, id)
		}
	}
}

// dropOldest drops the limit that was looked at least lately.
func (t *Table) dropOldest() {
	var oldest sandbarrow.InstanceID
	var least *known
	for id, k := range t.limits {
		if least == nil || k.used.Before(least.used) {
			oldest, least = id, k
		}
	}
	delete(t.limits, oldest)
}
