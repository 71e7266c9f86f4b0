package availability

import (
	"net/http"
	"time"

	"sandbarrow.example/sandbarrow"
)

const (
	// noticeRetention is how long a notice is kept after its last use, for example if its upstream
	// is no longer listed. An upstream that returns to the list after an outage of the store is
	// still draining.
	noticeRetention = 10 * time.Minute
	// expiryInterval is the minimum time between two scans for expired notices.
	expiryInterval = time.Second
	// maxNotices bounds the stored notices, at about 100 bytes each. The least recently used one is
	// evicted.
	maxNotices = 2048
)

// Notice is the state that an upstream has reported about itself in its responses, at one moment.
type Notice struct {
	// Backoff is the time that is left of the upstream's backoff.
	Backoff time.Duration
	// Draining says that the upstream accepts no more requests.
	Draining bool
	// DrainingFor is the time since the upstream first reported that it drains.
	DrainingFor time.Duration
}

// noticeState is what an upstream has reported about itself.
type noticeState struct {
	// backoffUntil and drainingSince are zero if the upstream has reported neither.
	backoffUntil, drainingSince time.Time
	// listed says that the list has shown the upstream as draining too.
	listed bool
}

// noticeEntry is the notice of one instance.
type noticeEntry struct {
	noticeState
	// exited says that a connection to its address was refused after its last notice. An upstream
	// that responds there under the same id is the next instance, which the list may not show yet.
	exited bool
	// next is what the next instance has reported.
	next noticeState
	// lastUsed is when the notice was last updated or read.
	lastUsed time.Time
}

// Change says what a response has changed.
type Change struct {
	// Backoff says that a backoff of the upstream has begun.
	Backoff bool
	// Draining says that the upstream has reported for the first time that it drains.
	Draining bool
}

// Notices stores the notices that upstreams put into their responses, by instance: a restarted
// upstream begins without one. The zero Notices is empty.
type Notices struct {
	byInstance map[sandbarrow.InstanceID]*noticeEntry
	// exited has the last instance of each upstream that is known to have exited.
	exited    map[sandbarrow.ListedID]sandbarrow.InstanceID
	expiredAt time.Time
}

// Apply applies the notice in a response of an upstream.
//
// Inputs: the instance that the request was sent to, the status of the response and the notice in
// it. A notice is ignored if the response is from another instance, which has taken over the
// address.
func (n *Notices) Apply(now time.Time, id sandbarrow.InstanceID, status int, notice sandbarrow.UpstreamNotice) Change {
	n.expire(now)
	if status == http.StatusMisdirectedRequest || !notice.Draining && notice.Backoff <= 0 {
		return Change{}
	}
	e := n.entry(id)
	e.lastUsed = now
	state := &e.noticeState
	if e.exited {
		state = &e.next
	}
	change := Change{Backoff: notice.Backoff > 0 && !now.Before(state.backoffUntil), Draining: notice.Draining && state.drainingSince.IsZero()}
	if change.Draining {
		state.drainingSince = now
	}
	if until := now.Add(notice.Backoff); until.After(state.backoffUntil) {
		state.backoffUntil = until
	}
	return change
}

// Exited records that connections to the address of an instance are refused. Notices in later
// responses from the address belong to the next instance, and earlier notices do not apply to it. If
// an upstream does not report its start time, all its instances share one id. In this case the
// stored notice is dropped.
func (n *Notices) Exited(now time.Time, id sandbarrow.InstanceID) {
	if id == sandbarrow.InstanceID(id.Listed()) {
		n.drop(id)
		return
	}
	e := n.entry(id)
	e.exited, e.lastUsed = true, now
	if n.exited == nil {
		n.exited = map[sandbarrow.ListedID]sandbarrow.InstanceID{}
	}
	n.exited[id.Listed()] = id
}

// Check returns the current notice of an upstream.
func (n *Notices) Check(now time.Time, id sandbarrow.InstanceID) Notice {
	e := n.find(id)
	if e == nil {
		return Notice{}
	}
	e.lastUsed = now
	until, since := e.backoffUntil, e.drainingSince
	if e.next.backoffUntil.After(until) {
		until = e.next.backoffUntil
	}
	if since.IsZero() {
		since = e.next.drainingSince
	}
	notice := Notice{Backoff: max(0, until.Sub(now)), Draining: !since.IsZero()}
	if notice.Draining {
		notice.DrainingFor = now.Sub(since)
	}
	return notice
}

// drains reports whether an upstream drains, by its entry in the list or by its own notice. The
// list may lag, or never show the drain. If the list has shown it and then shows the upstream as
// ready, the entry is for another instance, even if the ids contain no start time.
func (n *Notices) drains(now time.Time, in *sandbarrow.Instance) bool {
	if !n.Check(now, in.ID).Draining {
		return in.Draining
	}
	e := n.byInstance[in.ID]
	if e.listed && !in.Draining {
		n.drop(in.ID)
		return false
	}
	e.listed = in.Draining
	return true
}

// Count counts the upstreams that have reported that they drain, and those that are in backoff.
func (n *Notices) Count(now time.Time) (draining, backoff int) {
	for _, e := range n.byInstance {
		if !e.drainingSince.IsZero() || !e.next.drainingSince.IsZero() {
			draining++
		}
		if now.Before(e.backoffUntil) || now.Before(e.next.backoffUntil) {
			backoff++
		}
	}
	return draining, backoff
}

// Forget drops the notice of an instance whose process has exited.
func (n *Notices) Forget(id sandbarrow.InstanceID) {
	n.drop(id)
}

// find returns the notice of an instance, or nil. An instance without a notice of its own gets the
// notice that arrived after its predecessor had exited.
func (n *Notices) find(id sandbarrow.InstanceID) *noticeEntry {
	if e := n.byInstance[id]; e != nil || len(n.exited) == 0 {
		return e
	}
	predecessor, exited := n.exited[id.Listed()]
	if !exited {
		return nil
	}
	next := &noticeEntry{noticeState: n.byInstance[predecessor].next}
	n.drop(predecessor)
	n.byInstance[id] = next
	return next
}

// entry returns the notice of an instance, and creates it if there is none.
func (n *Notices) entry(id sandbarrow.InstanceID) *noticeEntry {
	if e := n.find(id); e != nil {
		return e
	}
	if n.byInstance == nil {
		n.byInstance = map[sandbarrow.InstanceID]*noticeEntry{}
	}
	if len(n.byInstance) >= maxNotices {
		n.dropOldest()
	}
	e := &noticeEntry{}
	n.byInstance[id] = e
	return e
}

// drop drops the notice of an instance.
func (n *Notices) drop(id sandbarrow.InstanceID) {
	if n.exited[id.Listed()] == id {
		delete(n.exited, id.Listed())
	}
	delete(n.byInstance, id)
}

// expire drops notices that have not been used for noticeRetention, and backoffs that are over.
func (n *Notices) expire(now time.Time) {
	if now.Sub(n.expiredAt) < expiryInterval {
		return
	}
	n.expiredAt = now
	for id, e := range n.byInstance {
		expired := e.drainingSince.IsZero() && !e.exited && !now.Before(e.backoffUntil)
		if expired || now.Sub(e.lastUsed) > noticeRetention {
			n.drop(id)
		}
	}
}

// dropOldest drops the least recently used notice.
func (n *Notices) dropOldest() {
	var oldest sandbarrow.InstanceID
	var oldestEntry *noticeEntry
	for id, e := range n.byInstance {
		if oldestEntry == nil || e.lastUsed.Before(oldestEntry.lastUsed) {
			oldest, oldestEntry = id, e
		}
	}
	n.drop(oldest)
}
