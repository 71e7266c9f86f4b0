package leader

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/internal/pause"
	"sandbarrow.example/sandbarrow/lease"
	"sandbarrow.example/sandbarrow/quota"
)

const (
	// ttl is the TTL of a shard's lease.
	ttl = quota.LeaseTTL
	// renewPause is the pause between two renewals. Several renewals may fail within the three
	// quarters of ttl.
	renewPause = 600 * time.Millisecond
	// retryPause is the pause between two attempts of a candidate to get the lease. It is short
	// compared with ttl.
	retryPause = 120 * time.Millisecond
	// callTimeout bounds one exchange with the store. A slow store (60 times 4 ms) responds
	// within it.
	callTimeout = 400 * time.Millisecond
	// nominationTTL is how long a candidate competes after its last nomination. Gateways
	// nominate several times a second while there is no leader.
	nominationTTL = 700 * time.Millisecond
	// confirmPause is the pause between two confirmations. Several of them fit into the time for
	// which gateways may trust a table (5 s in known setups). Each is a call to the store.
	confirmPause = 600 * time.Millisecond
)

// term is one period in which this process leads a shard.
type term struct {
	granter *quota.Granter
	holder  *lease.Holder
	number  quota.Term
	// refilled is how long before its start the accounts count as refilled.
	refilled time.Duration
}

// isLeased reports whether the term's lease is still held.
func (t *term) isLeased() bool {
	g := t.holder.Check()
	return g.State == lease.Held && g.Token == t.number
}

// candidate competes for one shard and leads it. It stops when no gateway nominates it any
// more.
type candidate struct {
	holder *lease.Holder
	leader *Leader
	shard  quota.Shard
	// term is the current term, or nil. Only the goroutine of run uses it.
	term *term
	// confirmedAt is when the table was last confirmed. Only the goroutine of run uses it.
	confirmedAt time.Time
	// found is the key found before the last attempt to acquire the lease; see recordFound. Only
	// the goroutine of run uses it.
	found quota.Term

	mu sync.Mutex
	// announced is the newest term that a gateway has named.
	announced   quota.Term
	nominatedAt time.Time
}

func newCandidate(l *Leader, s quota.Shard) *candidate {
	holder := lease.NewHolder(l.config.Store, s.Key(), ttl, l.config.Logger, lease.WithOwner(string(l.config.Box)))
	return &candidate{holder: holder, leader: l, shard: s}
}

// nominate lets the candidate compete for another nominationTTL. lastTerm is the newest term
// known to the nominating gateway.
func (c *candidate) nominate(lastTerm quota.Term) {
	c.holder.ObserveToken(lastTerm)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.announced = max(c.announced, lastTerm)
	c.nominatedAt = boottime.Now()
}

func (c *candidate) isNominated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return boottime.Since(c.nominatedAt) < nominationTTL
}

// run competes for the shard while it is nominated, and leads it while it holds the lease.
func (c *candidate) run(ctx context.Context) {
	defer c.holder.Release()
	defer c.leader.endTerm(c.shard, "released")
	for ctx.Err() == nil {
		renewed := c.renew(ctx)
		c.updateTerm()
		switch {
		case c.term != nil && renewed:
			c.confirm(ctx)
			pause.For(ctx, renewPause)
		case c.term != nil:
			pause.For(ctx, retryPause)
		case c.isNominated():
			pause.For(ctx, retryPause)
		default:
			return
		}
	}
}

// renew renews the lease, or acquires it if nobody holds it. It reports whether that succeeded.
func (c *candidate) renew(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if c.term == nil {
		item, err := c.leader.config.Store.Get(ctx, c.shard.Key())
		if !errors.Is(err, sandbarrow.ErrStoreNotFound) && (err != nil || !lease.IsOwnedBy(item.Value, string(c.leader.config.Box))) {
			return false // held or unknown; a failed attempt costs four calls in place of this one
		}
		c.recordFound(&item)
	}
	if err := c.holder.Step(ctx); err != nil {
		c.leader.config.Logger.Info("quota lease not renewed", "shard", int(c.shard), "error", err.Error())
		return false
	}
	return true
}

// updateTerm starts and ends terms with the lease. A late renewal may let the lease lapse for a
// moment by this process's clock. If the renewal then succeeds, the term continues, because
// nobody else held the lease.
func (c *candidate) updateTerm() {
	held := c.holder.Check()
	if c.term != nil && (held.Token != c.term.number || !c.holder.Leased()) {
		c.leader.endTerm(c.shard, "lease lost")
		c.term = nil
	}
	if c.term == nil && held.State == lease.Held {
		c.term = c.newTerm(held.Token)
		c.leader.beginTerm(c.shard, c.term)
	}
}

// confirm queries the store for the newest table, if this is the shard whose leader does that
// for all processes.
func (c *candidate) confirm(ctx context.Context) {
	if c.shard != quota.ConfirmShard || boottime.Since(c.confirmedAt) < confirmPause {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.confirmedAt = boottime.Now()
	if err := c.leader.config.Estate.ConfirmFrom(ctx, c.leader.config.Store); err != nil {
		c.leader.config.Logger.Info("configuration not confirmed", "error", err.Error())
	}
}
