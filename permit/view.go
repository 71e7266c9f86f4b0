package permit

import (
	"time"

	"sandbarrow.example/sandbarrow"
)

const (
	// viewTime is how long an upstream counts as contended at a gateway after the last sign or reply.
	viewTime = 10 * time.Second
	// signTime is how long a gateway passes on a sign with its requests, in case the report of the sign
	// was lost.
	signTime = time.Second
	// slowFactor, times the learned service time, is the response time that is a sign of queueing.
	slowFactor = 2
	// minExcess is the least excess over the learned service time that is a sign. Less is within the
	// scheduling noise of a busy machine.
	minExcess = 10 * time.Millisecond
	// minSamples is the number of responses from which the learned service time counts.
	minSamples = 8
	// fallWeight and riseWeight are the weights of samples below and above the learned service time.
	// It then stays near the time without a queue, and still follows a lasting change.
	fallWeight, riseWeight = 0.1, 0.02
	// maxLearned bounds the learned service times, maxViewed the upstreams in the view.
	maxLearned, maxViewed = 4096, 1024
)

// kind identifies requests that take a similar time.
type kind struct {
	instance sandbarrow.InstanceID
	route    string
}

// learned is the service time of one kind of requests without a queue.
type learned struct {
	samples int
	time    float64
}

// contention is what a gateway knows about one contended upstream.
type contention struct {
	// confirmed is when a sign or reply last said that it is contended.
	confirmed time.Time
	// sign is when this gateway last saw a sign itself.
	sign time.Time
	// startsAt is when a new request would start there, by the last reply.
	startsAt time.Time
}

// View is what one gateway knows about the contention of upstreams: which of them need permits, from
// the signs that it sees and from coordinators' replies. Its zero value knows none.
type View struct {
	contended map[sandbarrow.InstanceID]*contention
	learned   map[kind]*learned
}

// Contended reports whether a send to an upstream needs a permit, and whether this gateway has recently
// seen a sign for that itself.
func (v *View) Contended(now time.Time, id sandbarrow.InstanceID) (contended, sign bool) {
	c := v.contended[id]
	if c == nil {
		return false, false
	}
	if now.Sub(c.confirmed) >= viewTime {
		delete(v.contended, id)
		return false, false
	}
	return true, !c.sign.IsZero() && now.Sub(c.sign) < signTime
}

// Count returns the number of contended upstreams.
func (v *View) Count(now time.Time) int {
	n := 0
	for id := range v.contended {
		if contended, _ := v.Contended(now, id); contended {
			n++
		}
	}
	return n
}

// Delay returns when a new request would start at an upstream, as far as known.
func (v *View) Delay(now time.Time, id sandbarrow.InstanceID) time.Duration {
	if c := v.contended[id]; c != nil {
		return max(0, c.startsAt.Sub(now))
	}
	return 0
}

// Service returns the learned service time of a route at an upstream, or 0.
func (v *View) Service(id sandbarrow.InstanceID, route string) time.Duration {
	if l := v.learned[kind{id, route}]; l != nil {
		return time.Duration(l.time)
	}
	return 0
}

// Responded applies the time of a complete response. It reports whether it is the first sign that the
// upstream is contended.
func (v *View) Responded(now time.Time, id sandbarrow.InstanceID, route string, took time.Duration) (first bool) {
	l := v.learned[kind{id, route}]
	if l == nil {
		if len(v.learned) >= maxLearned || v.learned == nil {
			v.learned = map[kind]*learned{} // learned again within a few responses
		}
		l = &learned{time: float64(took)}
		v.learned[kind{id, route}] = l
	}
	excess := float64(took) - l.time
	slow := l.samples >= minSamples && excess > (slowFactor-1)*l.time && excess > float64(minExcess)
	l.samples++
	weight := fallWeight
	if excess > 0 {
		weight, excess = riseWeight, min(excess, (maxSampleFactor-1)*l.time)
	}
	l.time += weight * excess
	return slow && v.Sign(now, id)
}

// Sign applies a sign of contention that this gateway has seen. It reports whether the upstream did not
// count as contended.
func (v *View) Sign(now time.Time, id sandbarrow.InstanceID) (first bool) {
	first = v.Begin(now, id)
	if c := v.contended[id]; c != nil {
		c.sign = now
	}
	return first
}

// Begin applies another process's notice that an upstream is contended. It reports whether it did not
// count as contended.
func (v *View) Begin(now time.Time, id sandbarrow.InstanceID) (first bool) {
	if contended, _ := v.Contended(now, id); contended {
		v.contended[id].confirmed = now
		return false
	}
	if v.contended == nil {
		v.contended = map[sandbarrow.InstanceID]*contention{}
	}
	if len(v.contended) >= maxViewed {
		v.Count(now) // forgets those that are over
	}
	if len(v.contended) >= maxViewed {
		return false
	}
	v.contended[id] = &contention{confirmed: now}
	return true
}

// Replied applies the reply of an upstream's coordinator.
func (v *View) Replied(now time.Time, id sandbarrow.InstanceID, d *Decision) {
	if !d.Contended {
		delete(v.contended, id)
		return
	}
	v.Begin(now, id)
	if c := v.contended[id]; c != nil {
		c.startsAt = now.Add(d.Wait)
	}
}
