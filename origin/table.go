package origin

import (
	"time"

	"sandbarrow.example/sandbarrow"
)

const (
	// maxOrigins bounds the records of a table, at some 200 bytes each and at most 500. Streams beyond it can't be
	// resumed by way of this process. The first record of a service and software version is kept beyond it.
	maxOrigins = 32768
	// maxIDBytes bounds the ids that are recorded.
	maxIDBytes = 256
	// sweepInterval is the interval between two removals of expired records.
	sweepInterval = time.Second
)

// MaxLifetime bounds how long a record is kept, whatever its stream's deadline.
const MaxLifetime = 5 * time.Minute

// Table holds where streams began, by the id of the request that brought the first event. The zero
// value is ready to use. It is not safe for concurrent use.
type Table struct {
	records map[sandbarrow.RequestID]record
	// streams counts the records by where the streams began.
	streams map[Origin]int
	sweptAt time.Time
}

// record is where a stream began, until it expires.
type record struct {
	origin  Origin
	expires time.Time
}

// Add records where a stream began, for as long as its caller may resume it. Where two streams have
// the same id, and began differently, neither may go on.
func (t *Table) Add(now time.Time, id sandbarrow.RequestID, o Origin, lifetime time.Duration) {
	t.sweep(now)
	expires := now.Add(min(lifetime, MaxLifetime))
	known, has := t.records[id]
	if !has && len(t.records) >= maxOrigins && t.streams[o] > 0 || len(id) > maxIDBytes {
		return
	}
	if has && now.Before(known.expires) {
		if known.origin != o {
			o.Software = ""
		}
		if known.expires.After(expires) {
			expires = known.expires
		}
	}
	if t.records == nil {
		t.records, t.streams = map[sandbarrow.RequestID]record{}, map[Origin]int{}
	}
	t.remove(id)
	t.records[id] = record{origin: o, expires: expires}
	t.streams[o]++
}

// remove removes a record, if there is one.
func (t *Table) remove(id sandbarrow.RequestID) {
	r, has := t.records[id]
	if !has {
		return
	}
	delete(t.records, id)
	if t.streams[r.origin]--; t.streams[r.origin] == 0 {
		delete(t.streams, r.origin)
	}
}

// Find returns where a stream began, or false if that is not recorded.
func (t *Table) Find(now time.Time, id sandbarrow.RequestID) (Origin, bool) {
	r, has := t.records[id]
	if !has || !now.Before(r.expires) {
		return Origin{}, false
	}
	return r.origin, true
}

// AnyOther reports whether a stream is recorded that began at the same service with other software.
func (t *Table) AnyOther(now time.Time, o Origin) bool {
	t.sweep(now)
	for other := range t.streams {
		if other.Service == o.Service && other != o {
			return true
		}
	}
	return false
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// sweep removes expired records.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < sweepInterval {
		return
	}
	t.sweptAt = now
	for id, r := range t.records {
		if !now.Before(r.expires) {
			t.remove(id)
		}
	}
}
