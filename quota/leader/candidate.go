package leader

import (
	"context"
	"strconv"
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
	// keyPrefix is the prefix of the shards' keys in the platform's store.
	keyPrefix = "sandbarrow/quota/"
	// ttl is the life of a shard's lease. A leader grants for three quarters of it in an
	// outage of the store: as long as callers with keys are served there at all. A leader
	// that is lost is missed for as long, but for the same box, which takes over at once;
	// the other part of each limit goes on meanwhile. With 1 s, 105 of 676 requests were
	// refused in the first two seconds of an outage.
	ttl = 4 * time.Second
	// renewPause is the pause between two renewals: several may fail within the three quarters of
	// ttl.
	renewPause = 600 * time.Millisecond
	// tryPause is the pause between two tries of a candidate: short against ttl.
	tryPause = 120 * time.Millisecond
	// callTimeout bounds one step at the store: a slow store (60 times 4 ms) answers within it.
	callTimeout = 400 * time.Millisecond
	// nominationLife is how long a candidate tries after its last nomination. Gateways
	// nominate several times a second while there is no leader.
	nominationLife = 700 * time.Millisecond
	// confirmPause is the pause between two confirmations: several within the time for
	// which gateways may trust a table (5 s seen). Each is a call to the store.
	confirmPause = 600 * time.Millisecond
)

// term is one time of leading a shard.
type term struct {
	granter *quota.Granter
	holder  *lease.Holder
	number  quota.Term
}

// holds reports whether the term's lease is still held.
func (t *term) holds() bool {
	g := t.holder.Check()
	return g.State == lease.Held && g.Token == t.number
}

// candidate competes for one shard, leads it, and gives up when nobody nominates it.
type candidate struct {
	holder *lease.Holder
	leader *Leader
	shard  quota.Shard
	// term is the running one, or nil; the loop's own.
	term *term
	// confirmedAt is when the table was confirmed last; the loop's own.
	confirmedAt time.Time

	mu        sync.Mutex
	nominated time.Time
}

func newCandidate(l *Leader, s quota.Shard) *candidate {
	holder := lease.NewHolder(l.config.Store, key(s), ttl, l.config.Logger, lease.WithOwner(string(l.config.Box)))
	return &candidate{holder: holder, leader: l, shard: s}
}

func key(s quota.Shard) string { return keyPrefix + strconv.Itoa(int(s)) }

// nominate keeps the candidate trying; lastTerm is the newest term known to the nominating gateway.
func (c *candidate) nominate(lastTerm quota.Term) {
	c.holder.ObserveToken(lastTerm)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nominated = boottime.Now()
}

func (c *candidate) wanted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return boottime.Since(c.nominated) < nominationLife
}

// run competes for the shard while it is nominated, and leads it while it holds the lease.
func (c *candidate) run(ctx context.Context) {
	defer c.holder.Release()
	defer c.leader.end(c.shard, "released")
	for ctx.Err() == nil {
		renewed := c.step(ctx)
		c.follow()
		switch {
		case c.term != nil && renewed:
			c.confirm(ctx)
			pause.For(ctx, renewPause)
		case c.term != nil:
			pause.For(ctx, tryPause)
		case c.wanted():
			pause.For(ctx, tryPause)
		default:
			return
		}
	}
}

// step renews the lease, or takes it where nobody has it, and reports whether it did.
func (c *candidate) step(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if c.term == nil {
		item, err := c.leader.config.Store.Get(ctx, key(c.shard))
		if !errors.Is(err, sandbarrow.ErrStoreNotFound) && (err != nil || !lease.IsOwnedBy(item.Value, string(c.leader.config.Box))) {
			return false // held, or not known: one call in place of the four of a vain try
		}
	}
	if err := c.holder.Step(ctx); err != nil {
		c.leader.config.Logger.Info("quota lease not renewed", "shard", int(c.shard), "error", err.Error())
		return false
	}
	return true
}

// follow begins and ends terms as the lease is held. A lease that lapses here for a moment,
// as its renewal is late, and is then renewed after all, is the same term: nobody else
// had it.
func (c *candidate) follow() {
	held := c.holder.Check()
	if c.term != nil && (held.Token != c.term.number || !c.holder.Leased()) {
		c.leader.end(c.shard, "lease lost")
		c.term = nil
	}
	if c.term == nil && held.State == lease.Held {
		c.term = &term{granter: quota.NewGranter(c.leader.config.Bound, boottime.Now()), holder: c.holder, number: held.Token}
		c.leader.begin(c.shard, c.term)
	}
}

// confirm asks the store which table is the newest one, if this shard's leader does that
// for all.
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
