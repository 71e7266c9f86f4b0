package throttle

import (
	"time"

	"sandbarrow.example/sandbarrow"
)

// Grant is the reply to a request for one send.
type Grant struct {
	// Granted says that the request may be sent after Wait.
	Granted bool
	// Wait is the delay until the send may take place. If it is not granted, it is the delay until
	// one can be granted.
	Wait time.Duration
}

// Coordinator grants sends to limited upstreams, and stores the limits that are reported to it. The
// zero Coordinator has no limits.
type Coordinator struct {
	Table
	// Shares is the number of equal shares that each limit is split into. This coordinator grants
	// one of them. 0 means 1.
	Shares  int
	buckets map[sandbarrow.InstanceID]*bucket
}

// Acquire decides whether one request may be sent to an upstream within a time.
//
// Inputs: the record of the limit that the requesting process has, which is as old as the last
// response that named the limit; the limits that others have reported; and the sends that were
// granted here or reported by others. All requests are granted if the limit has ended, according to
// a newer response to any process.
func (c *Coordinator) Acquire(now time.Time, reported Record, within time.Duration) Grant {
	c.Merge(now, reported)
	limit, limited := c.InForce(now, reported.Instance)
	if !limited {
		delete(c.buckets, reported.Instance)
		return Grant{Granted: true}
	}
	granted, wait := c.bucket(now, reported.Instance).acquire(now, c.granted(limit.Rate), within)
	return Grant{Granted: granted, Wait: wait}
}

// CountSends counts sends that another coordinator has granted. If sends is negative, it returns
// granted sends that were not used.
func (c *Coordinator) CountSends(now time.Time, reported Record, sends int) {
	c.Merge(now, reported)
	if limit, limited := c.InForce(now, reported.Instance); limited && sends != 0 {
		c.bucket(now, reported.Instance).spend(now, c.granted(limit.Rate), sends)
	}
}

// granted is the rate at which this coordinator grants sends: its share of a limit, in requests a
// second.
func (c *Coordinator) granted(r Rate) float64 {
	return r.effective() / float64(max(1, c.Shares))
}

// bucket returns the bucket of an upstream that names a limit.
func (c *Coordinator) bucket(now time.Time, id sandbarrow.InstanceID) *bucket {
	b := c.buckets[id]
	if b != nil {
		return b
	}
	if c.buckets == nil {
		c.buckets = map[sandbarrow.InstanceID]*bucket{}
	}
	for other := range c.buckets {
		if c.limits[other] == nil {
			delete(c.buckets, other) // its limit has expired
		}
	}
	b = &bucket{refilledAt: now}
	c.buckets[id] = b
	return b
}
