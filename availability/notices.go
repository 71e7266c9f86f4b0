package availability

import (
	"net/http"
	"time"

	"sandbarrow.example/sandbarrow"
)

const (
	// keepFor is how long a notice is kept that nobody looks at, as of an upstream that is
	// listed no more. One that is back in the list after an outage of the store still drains.
	keepFor = 10 * time.Minute
	// forgetPause is the pause between two looks for notices to be forgotten.
	forgetPause = time.Second
	// maxNotices bounds the notices that are kept, at some 100 bytes each; those give way that
	// were looked at least recently.
	maxNotices = 2048
)

// Notice is what an upstream has announced to this process, as it stands at one moment.
type Notice struct {
	// Backoff is for how long the upstream still wants no requests.
	Backoff time.Duration
	// Draining says that the upstream accepts no requests any more.
	Draining bool
	// DrainingFor is how long ago it has announced that.
	DrainingFor time.Duration
}

// word is what an upstream has announced.
type word struct {
	// backoffUntil and drainingSince are zero where it has announced neither.
	backoffUntil, drainingSince time.Time
	// listed says that the list has shown that it drains too.
	listed bool
}

// notice is what one start of an upstream has announced.
type notice struct {
	word
	// ended says that nothing listened at its address since then: what answers there under its
	// id is its next start, which the list may not show yet.
	ended bool
	// next is what that start has announced.
	next word
	// used is when the notice was last announced or looked at.
	used time.Time
}

// Change says what is new with an answer.
type Change struct {
	// Backoff says that the upstream has begun to want no requests for a time.
	Backoff bool
	// Draining says that the upstream has announced that it drains.
	Draining bool
}

// Notices keeps what upstreams announce of themselves in their answers, by their starts: one
// that has started again has announced nothing. The zero Notices is empty.
type Notices struct {
	byStart map[sandbarrow.InstanceID]*notice
	// ended has the starts that have ended.
	ended    map[sandbarrow.ListedID]sandbarrow.InstanceID
	forgotAt time.Time
}

// Apply notes what an answer of an upstream announces.
//
// Inputs: the start that was asked, the status of its answer and what the answer announces. The
// answer of another instance, which has the address by now, says nothing.
func (n *Notices) Apply(now time.Time, id sandbarrow.InstanceID, status int, a sandbarrow.Announcement) Change {
	n.forget(now)
	if status == http.StatusMisdirectedRequest || !a.Draining && a.Backoff <= 0 {
		return Change{}
	}
	e := n.entry(id)
	e.used = now
	w := &e.word
	if e.ended {
		w = &e.next
	}
	change := Change{Backoff: a.Backoff > 0 && !now.Before(w.backoffUntil), Draining: a.Draining && w.drainingSince.IsZero()}
	if change.Draining {
		w.drainingSince = now
	}
	if until := now.Add(a.Backoff); until.After(w.backoffUntil) {
		w.backoffUntil = until
	}
	return change
}

// Exited notes that nothing listened at the address of a start: what it has announced is not said of
// what answers there later, and the reverse. Of an upstream that does not say when it started, all
// starts have one id, and the next one has announced nothing.
func (n *Notices) Exited(now time.Time, id sandbarrow.InstanceID) {
	if id == sandbarrow.InstanceID(id.Listed()) {
		n.drop(id)
		return
	}
	e := n.entry(id)
	e.ended, e.used = true, now
	if n.ended == nil {
		n.ended = map[sandbarrow.ListedID]sandbarrow.InstanceID{}
	}
	n.ended[id.Listed()] = id
}

// Check returns what an upstream has announced.
func (n *Notices) Check(now time.Time, id sandbarrow.InstanceID) Notice {
	e := n.find(id)
	if e == nil {
		return Notice{}
	}
	e.used = now
	until, since := e.backoffUntil, e.drainingSince
	if e.next.backoffUntil.After(until) {
		until = e.next.backoffUntil
	}
	if since.IsZero() {
		since = e.next.drainingSince
	}
	l := Notice{Backoff: max(0, until.Sub(now)), Draining: !since.IsZero()}
	if l.Draining {
		l.DrainingFor = now.Sub(since)
	}
	return l
}

// drains reports whether an upstream drains, by its entry in the list or by its own word. The list
// may lag, or never show it; once it has, an entry that is ready again is that of another start,
// also where neither says when it started.
func (n *Notices) drains(now time.Time, in *sandbarrow.Instance) bool {
	if !n.Check(now, in.ID).Draining {
		return in.Draining
	}
	e := n.byStart[in.ID]
	if e.listed && !in.Draining {
		n.drop(in.ID)
		return false
	}
	e.listed = in.Draining
	return true
}

// Count counts the upstreams that have announced that they drain, and those that want no
// requests now.
func (n *Notices) Count(now time.Time) (draining, backoff int) {
	for _, e := range n.byStart {
		if !e.drainingSince.IsZero() || !e.next.drainingSince.IsZero() {
			draining++
		}
		if now.Before(e.backoffUntil) || now.Before(e.next.backoffUntil) {
			backoff++
		}
	}
	return draining, backoff
}

// Forget drops what a start has announced, as its process has ended.
func (n *Notices) Forget(id sandbarrow.InstanceID) {
	n.drop(id)
}

// find returns the notice of a start, or nil. A start of which nothing is known yet has announced
// what was announced after the end of the one before it.
func (n *Notices) find(id sandbarrow.InstanceID) *notice {
	if e := n.byStart[id]; e != nil || len(n.ended) == 0 {
		return e
	}
	before, ended := n.ended[id.Listed()]
	if !ended {
		return nil
	}
	next := &notice{word: n.byStart[before].next}
	n.drop(before)
	n.byStart[id] = next
	return next
}

// entry returns the notice of a start, a new one where there is none.
func (n *Notices) entry(id sandbarrow.InstanceID) *notice {
	if e := n.find(id); e != nil {
		return e
	}
	if n.byStart == nil {
		n.byStart = map[sandbarrow.InstanceID]*notice{}
	}
	if len(n.byStart) >= maxNotices {
		n.dropOldest()
	}
	e := &notice{}
	n.byStart[id] = e
	return e
}

// drop drops the notice of a start.
func (n *Notices) drop(id sandbarrow.InstanceID) {
	if n.ended[id.Listed()] == id {
		delete(n.ended, id.Listed())
	}
	delete(n.byStart, id)
}

// forget drops what nobody looks at any more, and backoffs that are over.
func (n *Notices) forget(now time.Time) {
	if now.Sub(n.forgotAt) < forgetPause {
		return
	}
	n.forgotAt = now
	for id, e := range n.byStart {
		over := e.drainingSince.IsZero() && !e.ended && !now.Before(e.backoffUntil)
		if over || now.Sub(e.used) > keepFor {
			n.drop(id)
		}
	}
}

// dropOldest drops the notice that was looked at least recently.
func (n *Notices) dropOldest() {
	var oldest sandbarrow.InstanceID
	var least *notice
	for id, e := range n.byStart {
		if least == nil || e.used.Before(least.used) {
			oldest, least = id, e
		}
	}
	n.drop(oldest)
}
