package permit

import (
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/retry"
)

const (
	// queueDivisor bounds the queue at the upstream: a part of its slots. It keeps slots busy between a
	// return and the next request. Longer waits belong here, where the order is fair.
	queueDivisor = 3
	// enterDeviations is by how many mean deviations longer than the mean a request that enters may take.
	// One in twelve takes longer, of durations that spread exponentially.
	enterDeviations = 2
	// fullDivisor bounds how far rejections lower the permits below the slots.
	fullDivisor = 2
	// fullPause is the least time between two reductions. Rejections within it have the same cause.
	fullPause = 100 * time.Millisecond
	// raiseInterval is the time without a rejection after which one more permit is tried.
	raiseInterval = 5 * time.Second
	// quietTime is how long outstanding permits stay below half of the slots until an upstream is no
	// longer contended.
	quietTime = 2 * time.Second
	// maxWaiting bounds the requests that wait for one upstream.
	maxWaiting = 512
	// maxOutstanding bounds the permits that are known for one upstream.
	maxOutstanding = 4096
	// maxSlots bounds the slots of an upstream. More permits than these are never outstanding, and sums and
	// products of more could overflow.
	maxSlots = 2 * maxOutstanding
	// maxTTL bounds the time for which a permit that is not returned counts, whatever its request names.
	maxTTL = time.Minute
)

// held is one outstanding permit.
type held struct {
	expires time.Time
	// own is set for a permit that this coordinator granted.
	own bool
	// perSlot is how many permits were outstanding per slot once this one was granted.
	perSlot   float64
	priority  int
	workspace sandbarrow.WorkspaceID
}

// upstream is the state of one upstream.
type upstream struct {
	contended bool
	// busyAt is when outstanding permits last were at least half of the slots.
	busyAt   time.Time
	lastUsed time.Time
	// outstanding holds the permits that this coordinator granted or was told of.
	outstanding map[ID]held
	// queueLimit is how many permits beyond the slots are granted; negative after rejections.
	queueLimit int
	// changedQueue is when queueLimit last changed or the upstream last was full.
	changedQueue time.Time
	demand       demand
	// prior is the expected service time of the last request.
	prior time.Duration
	// returns are the refused callers that were told when to come back.
	returns retry.Returns
	service serviceTime
	slots   int
	waiting queues
}

func newUpstream(slots int) *upstream {
	slots = min(slots, maxSlots)
	return &upstream{outstanding: map[ID]held{}, queueLimit: maxQueue(slots), slots: slots}
}

// maxQueue is the longest queue at an upstream.
func maxQueue(slots int) int { return (slots + queueDivisor - 1) / queueDivisor }

// setSlots applies the number of slots that a gateway reads in the list.
func (u *upstream) setSlots(slots int) {
	slots = min(slots, maxSlots)
	if slots > 0 && slots != u.slots {
		u.slots, u.queueLimit = slots, maxQueue(slots)
	}
}

// limit returns how many permits may be outstanding.
func (u *upstream) limit() int {
	return max(1, u.slots+u.queueLimit)
}

// startAfter returns how long a request that n others precede waits for its start at the upstream. The
// n others include those with a permit.
func (u *upstream) startAfter(n int) time.Duration {
	slots := min(u.slots, u.limit())
	return u.service.estimate(u.prior) * time.Duration(max(0, n+1-slots)) / time.Duration(slots)
}

// newWait returns when a new request would start.
func (u *upstream) newWait() time.Duration {
	return u.startAfter(len(u.outstanding) + u.waiting.len())
}

// begin begins the contended mode. It reports whether the upstream was not contended.
func (u *upstream) begin(now time.Time) bool {
	began := !u.contended
	if began {
		u.changedQueue = now
	}
	u.contended, u.busyAt = true, now
	return began
}

// enqueue adds a request and returns the decisions that follow.
func (u *upstream) enqueue(now time.Time, r *Request) []Decision {
	u.demand.add(now, u.service.estimate(u.prior), r.Left)
	u.waiting.push(&waiting{Request: *r, deadline: now.Add(r.Left)})
	return append(u.dispatch(now), u.refuse(now, r.ID)...)
}

// dispatch grants permits while any is free.
func (u *upstream) dispatch(now time.Time) []Decision {
	var decisions []Decision
	for len(u.outstanding) < u.limit() {
		w := u.waiting.pop()
		if w == nil {
			break
		}
		u.hold(now, w.ID, held{expires: now.Add(min(w.TTL, maxTTL)), own: true, priority: w.Priority, workspace: w.Workspace})
		decisions = append(decisions, Decision{ID: w.ID, Contended: true, Granted: true, Wait: u.newWait()})
	}
	return decisions
}

// hold records an outstanding permit.
func (u *upstream) hold(now time.Time, id ID, h held) {
	if len(u.outstanding) >= maxOutstanding {
		return
	}
	u.outstanding[id] = h
	h.perSlot = float64(len(u.outstanding)) / float64(u.slots)
	u.outstanding[id] = h
	u.noteBusy(now)
}

// noteBusy records whether at least half of the slots are in use.
func (u *upstream) noteBusy(now time.Time) {
	if len(u.outstanding)*2 >= u.slots {
		u.busyAt = now
	}
}

// latestStart returns when a waiting request must start at the latest to be complete in its time, if it
// takes so many mean deviations longer than the mean.
func (u *upstream) latestStart(w *waiting, deviations int) time.Time {
	return w.deadline.Add(-u.service.likely(u.prior, deviations))
}

// mayEnter decides whether a request that was just added waits. It does if it can start early enough to
// be complete in its time. While more is asked for than the upstream serves in the time that callers
// have, a longer queue would serve nobody more and make everybody wait: a request then waits for no longer
// than the work itself takes, which keeps the slots busy.
func (u *upstream) mayEnter(now time.Time, w *waiting, wait time.Duration) bool {
	if now.Add(wait).After(u.latestStart(w, enterDeviations)) {
		return false
	}
	return !u.demand.exceeds(now, u.slots) || wait <= u.service.estimate(u.prior)
}

// refuse refuses waiting requests that can't end in the time that their callers have, given their place
// in the order. entered is the request that was just added; empty if there is none.
func (u *upstream) refuse(now time.Time, entered ID) []Decision {
	if u.waiting.len() == 0 {
		return nil
	}
	var all []*waiting
	refused := map[ID]bool{}
	ahead := len(u.outstanding)
	for _, w := range u.waiting.order() {
		wait := u.startAfter(ahead)
		latest := u.latestStart(w, 0)
		late := now.Add(wait).After(latest) || !now.Before(latest)
		if late || w.ID == entered && !u.mayEnter(now, w, wait) || ahead >= len(u.outstanding)+maxWaiting {
			refused[w.ID] = true
			all = append(all, w)
			continue
		}
		ahead++
	}
	if len(all) == 0 {
		return nil
	}
	u.waiting.removeFunc(func(w *waiting) bool { return refused[w.ID] })
	var decisions []Decision
	for _, w := range all {
		decisions = append(decisions, Decision{ID: w.ID, Contended: true, Wait: u.returnWait(now, w)})
	}
	return decisions
}

// returnWait returns when there is room for the caller of a request that is refused: when the queue has
// drained, and after all that were refused before.
func (u *upstream) returnWait(now time.Time, w *waiting) time.Duration {
	each := u.service.estimate(u.prior) / time.Duration(u.slots)
	drained := now.Add(max(u.newWait(), each))
	wait, _ := u.returns.Add(now, drained, each, retry.Follow(w.deadline.Sub(now)))
	return wait
}

// release ends a permit or a wait.
func (u *upstream) release(now time.Time, r *Report) {
	u.noteBusy(now)
	if r.Full {
		u.lower(now)
	}
	h, known := u.outstanding[r.ID]
	if !known {
		u.waiting.removeFunc(func(w *waiting) bool { return w.ID == r.ID })
		return
	}
	delete(u.outstanding, r.ID)
	if r.Took <= 0 || r.Full {
		return
	}
	expected := u.service.estimate(u.prior)
	sample := u.service.observe(r.Took, h.perSlot)
	if h.own {
		u.waiting.charge(h.priority, h.workspace, float64(sample)/float64(expected)-1)
	}
}

// lower grants fewer permits after the upstream has rejected a request because it was full.
func (u *upstream) lower(now time.Time) {
	if now.Sub(u.changedQueue) >= fullPause {
		u.queueLimit = max(u.queueLimit-1, -u.slots/fullDivisor)
	}
	u.changedQueue = now
}

// advance applies the passage of time: permits expire, requests run out of time, and the contended mode
// ends. It returns the decisions that follow.
func (u *upstream) advance(now time.Time) []Decision {
	for id, h := range u.outstanding {
		if !now.Before(h.expires) {
			u.noteBusy(now)
			delete(u.outstanding, id)
		}
	}
	if u.queueLimit < maxQueue(u.slots) && now.Sub(u.changedQueue) >= raiseInterval {
		u.queueLimit++
		u.changedQueue = now
	}
	decisions := append(u.dispatch(now), u.refuse(now, "")...)
	u.noteBusy(now)
	if now.Sub(u.busyAt) >= quietTime {
		u.contended = false
	}
	return decisions
}

// next returns when advance is due; zero if nothing is outstanding and none waits.
func (u *upstream) next() time.Time {
	var next time.Time
	earlier := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for _, h := range u.outstanding {
		earlier(h.expires)
	}
	for _, c := range u.waiting {
		c.queue.Each(func(w *waiting) { earlier(u.latestStart(w, 0)) })
	}
	return next
}
