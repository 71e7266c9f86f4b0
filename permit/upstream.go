package permit

import (
	"time"

	"sandbarrow.example/sandbarrow"
)

const (
	// queueDivisor bounds the queue at the upstream: a part of its slots. It keeps slots busy between a
	// return and the next request. Longer waits belong here, where the order is fair.
	queueDivisor = 3
	// queueObjectiveDivisor bounds it by the objective: waiting there takes at most this part.
	queueObjectiveDivisor = 4
	// usefulDivisor is the part of the difference by which a request with little time lowers useful.
	usefulDivisor = 16
	// marginDivisor bounds the margin of a request that enters: a part of its objective.
	marginDivisor = 8
	// maxSpread bounds how much later than the end of the queue callers are told to retry.
	maxSpread = 400 * time.Millisecond
	// retrySteps / retryStepsDivisor, times the time in which the upstream serves one request, is the time
	// between two retries. It leaves a third of the capacity to first attempts, which go before them.
	retrySteps, retryStepsDivisor = 3, 2
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
	class   class
	expires time.Time
	// own is set for a permit that this coordinator granted.
	own bool
	// perSlot is how many permits were outstanding per slot once this one was granted.
	perSlot   float64
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
	// retryAt is when the next caller that is refused may retry.
	retryAt time.Time
	// changedQueue is when queueLimit last changed or the upstream last was full.
	changedQueue time.Time
	// prior is the expected service time of the last request. useful follows what recent requests name:
	// upwards at once, downwards slowly, since some have used up their time elsewhere.
	prior, useful time.Duration
	service       serviceTime
	slots         int
	waiting       queues
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

// observe applies what a request names.
func (u *upstream) observe(r *Request) {
	u.prior = r.Service
	u.useful = max(r.Useful, u.useful-(u.useful-max(r.Useful, 0))/usefulDivisor)
}

// limit returns how many permits may be outstanding.
func (u *upstream) limit() int {
	service := u.service.estimate(u.prior)
	allowed := int(time.Duration(u.slots) * (u.useful / queueObjectiveDivisor) / service)
	return max(1, u.slots+min(u.queueLimit, allowed))
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
	u.waiting.push(&waiting{Request: *r, deadline: now.Add(r.Useful)})
	return append(u.dispatch(now), u.refuseLate(now, r.ID)...)
}

// dispatch grants permits while any is free.
func (u *upstream) dispatch(now time.Time) []Decision {
	var decisions []Decision
	for len(u.outstanding) < u.limit() {
		w := u.waiting.pop()
		if w == nil {
			break
		}
		u.hold(now, w.ID, held{class: classOf(&w.Request), expires: now.Add(min(w.TTL, maxTTL)), own: true, workspace: w.Workspace})
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

// startBy returns when a waiting request must start at the latest: early enough to be complete within its
// objective. Where the service time takes most of the objective, a request may still wait for half of it.
func (u *upstream) startBy(w *waiting) time.Time {
	service := min(u.service.estimate(u.prior), w.Useful/2)
	return w.deadline.Add(-service)
}

// refuseLate refuses waiting requests that can't start in time, given their place in the order. A request
// that enters must be early by a margin, since the estimate varies and more urgent requests may follow.
// entered is the request that was just added; empty if there is none.
func (u *upstream) refuseLate(now time.Time, entered ID) []Decision {
	if u.waiting.len() == 0 {
		return nil
	}
	service := u.service.estimate(u.prior)
	var late []ID
	refused := map[ID]bool{}
	ahead := len(u.outstanding)
	for _, w := range u.waiting.order() {
		start := now.Add(u.startAfter(ahead))
		if w.ID == entered {
			start = start.Add(min(service, w.Useful/marginDivisor))
		}
		startBy := u.startBy(w)
		if start.After(startBy) || !now.Before(startBy) || ahead >= len(u.outstanding)+maxWaiting {
			refused[w.ID] = true
			late = append(late, w.ID)
			continue
		}
		ahead++
	}
	if len(late) == 0 {
		return nil
	}
	u.waiting.removeFunc(func(w *waiting) bool { return refused[w.ID] })
	var decisions []Decision
	for _, id := range late {
		decisions = append(decisions, Decision{ID: id, Contended: true, Wait: u.retryWait(now)})
	}
	return decisions
}

// retryWait returns when the queue has drained, including the callers that were told to retry before. Each
// is told a later time, so that they don't retry all at once. Beyond maxSpread this begins again.
func (u *upstream) retryWait(now time.Time) time.Duration {
	step := retrySteps * u.service.estimate(u.prior) / time.Duration(retryStepsDivisor*u.slots)
	drained := now.Add(max(u.newWait(), step))
	if u.retryAt.Before(drained) || u.retryAt.Sub(drained) > maxSpread {
		u.retryAt = drained
	}
	wait := u.retryAt.Sub(now)
	u.retryAt = u.retryAt.Add(step)
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
		u.waiting.charge(h.class, h.workspace, float64(sample)/float64(expected)-1)
	}
}

// lower grants fewer permits after the upstream has rejected a request because it was full.
func (u *upstream) lower(now time.Time) {
	if now.Sub(u.changedQueue) >= fullPause {
		u.queueLimit = max(u.queueLimit-1, -u.slots/fullDivisor)
	}
	u.changedQueue = now
}

// advance applies the passage of time: permits expire, requests become late, and the contended mode
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
	decisions := append(u.dispatch(now), u.refuseLate(now, "")...)
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
		c.queue.Each(func(w *waiting) { earlier(u.startBy(w)) })
	}
	return next
}
