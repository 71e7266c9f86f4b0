package quota

import (
	"time"

	"sandbarrow.example/sandbarrow"
)

// Takeover is what the leader of a new term knows about the terms before it.
type Takeover struct {
	// Announced is the newest term of the shard that a gateway has named; 0 if none has.
	Announced Term
	// Found is the revision of the shard's key if this process found the key before its own first
	// attempt to write it, with its box as the owner, and took it over unchanged. Otherwise it is
	// 0. Later keys of this box may be held-up writes.
	Found Term
	// LeaseTTL is the TTL of the leases on the shard's key.
	LeaseTTL time.Duration
	// ProcessStart is when this process started. Earlier processes on its box had ended by then.
	ProcessStart time.Time
	// Term is the new term, TermStart the time of its start.
	Term      Term
	TermStart time.Time
}

// RefillStart returns a time after which certainly nobody granted units of the shard in an earlier
// term. Accounts of the new term may count as refilled since then. It handles a store that is down
// while leaders are restarted: their successors would otherwise begin with nothing.
//
// An earlier process of the box that announced the found term had written the key before it ended,
// and nobody else has led since. If no gateway names that term, the write may have been held up
// until another leader had released the key. It needs the lease that the earlier process was
// granted, so it fails once that lease has expired.
func RefillStart(t *Takeover) time.Time {
	restored := sandbarrow.StoreRevision(t.Found).Era() != sandbarrow.StoreRevision(t.Term).Era()
	if t.Found == 0 || restored || t.Announced > t.Found {
		return t.TermStart
	}
	since := t.ProcessStart
	if t.Announced < t.Found {
		since = since.Add(t.LeaseTTL)
	}
	if since.After(t.TermStart) {
		return t.TermStart
	}
	return since
}

// SetRefillStart lets the accounts count as refilled since a time before the term, after which
// nobody granted units of the shard. They count as fully overdrawn at that time: the earlier
// leader may have granted the overdraft. The function must be called before the first Acquire.
func (g *Granter) SetRefillStart(since time.Time) {
	g.refillStart = since
}

// refillBeforeTerm adds what a new account has been refilled with before the start of the term.
func (g *Granter) refillBeforeTerm(a *account) {
	if g.refillStart.IsZero() {
		return
	}
	earlier := account{level: -a.plan.Depth * overdraftShare, plan: a.plan, refilledAt: g.refillStart}
	earlier.refill(g.startedAt)
	a.level = max(a.level, earlier.level)
}
