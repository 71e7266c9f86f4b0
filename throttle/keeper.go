package throttle

import (
	"time"

	"sandbarrow.example/sandbarrow"
)

// Grant answers the question for one send.
type Grant struct {
	// Granted says that the request may be sent after Wait.
	Granted bool
	// Wait is after how long the send may come; where it is not granted, after how long one
	// may be.
	Wait time.Duration
}

// Coordinator grants sends to limited upstreams, and keeps what it was told of their limits. The
// zero Coordinator knows none.
type Coordinator struct {
	Table
	// Shares is into how many parts the limits are split, of which this keeper grants one; 0 is
	// one.
	Shares   int
	buckets map[sandbarrow.InstanceID]*bucket
}

// Acquire decides whether one request may be sent to an upstream within a time.
//
// Inputs: what the asking process knows of the upstream's limit, as old as the last answer
// that named it; what this keeper was told by others; the sends that it has granted, and those
// that were reported to it. An upstream whose limit has ended, as any other process was
// answered later, takes all.
func (k *Coordinator) Acquire(now time.Time, asked Record, within time.Duration) Grant {
	k.Merge(now, asked)
	limit, limited := k.InForce(now, asked.Instance)
	if !limited {
		delete(k.buckets, asked.Instance)
		return Grant{Granted: true}
	}
	granted, wait := k.bucket(now, asked.Instance).take(now, k.granted(limit.Rate), within)
	return Grant{Granted: granted, Wait: wait}
}

// CountSends counts sends that another keeper granted, or gives back some that did not come about
// where sends is negative.
func (k *Coordinator) CountSends(now time.Time, told Record, sends int) {
	k.Merge(now, told)
	if limit, limited := k.InForce(now, told.Instance); limited && sends != 0 {
		k.bucket(now, told.Instance).spend(now, k.granted(limit.Rate), sends)
	}
}

// granted is the rate of this keeper's part of a limit, in requests a second.
func (k *Coordinator) granted(r Rate) float64 {
	return r.held() / float64(max(1, k.Shares))
}

// bucket returns the bucket of an upstream that names a limit.
func (k *Coordinator) bucket(now time.Time, id sandbarrow.InstanceID) *bucket {
	b := k.buckets[id]
	if b != nil {
		return b
	}
	if k.buckets == nil {
		k.buckets = map[sandbarrow.InstanceID]*bucket{}
	}
	for other := range k.buckets {
		if k.limits[other] == nil {
			delete(k.buckets, other) // its limit is forgotten
		}
	}
	b = &bucket{at: now}
	k.buckets[id] = b
	return b
}
