package leader

import (
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/lease"
	"sandbarrow.example/sandbarrow/quota"
)

// recordFound records the revision of the shard's key that the candidate is about to take over; 0
// if it is absent. A process that has already tried to write the key can't tell its own held-up
// writes from those of an earlier process, so only the first key found counts later.
func (c *candidate) recordFound(item *sandbarrow.Item) {
	c.found = 0
	if lease.IsOwnedBy(item.Value, string(c.leader.config.Box)) {
		c.found = quota.Term(item.Revision)
	}
	l := c.leader
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.firstFound[c.shard]; !ok {
		l.firstFound[c.shard] = c.found
	}
}

// newTerm returns the term that begins with a lease.
func (c *candidate) newTerm(number quota.Term) *term {
	now := boottime.Now()
	t := &term{granter: quota.NewGranter(c.leader.config.Bound, now), holder: c.holder, number: number}
	since := quota.RefillStart(c.takeover(number, now))
	t.granter.SetRefillStart(since)
	t.refilled = now.Sub(since)
	return t
}

// takeover returns what this process knows about the terms before one that begins now.
func (c *candidate) takeover(number quota.Term, now time.Time) *quota.Takeover {
	c.mu.Lock()
	announced := c.announced
	c.mu.Unlock()
	l := c.leader
	l.mu.Lock()
	defer l.mu.Unlock()
	t := &quota.Takeover{Announced: announced, LeaseTTL: ttl, ProcessStart: l.startedAt, Term: number, TermStart: now}
	if c.found == l.firstFound[c.shard] {
		t.Found = c.found
	}
	return t
}
