// Package outage decides what a gateway does with requests whose workspace has a limit while no
// leader of either share of the limit can grant it: whether a request waits for a leader or is
// refused at once, and when its caller should retry.
//
// It handles an outage of the platform's store. Each leader's lease then expires, and the requests
// of all workspaces wait for nothing, are refused, and return together. The package holds the
// decisions alone: no clock, no connection, no lock. It owns the order of the retries (Schedule).
// It relies on its caller for the time and for what is known about leaders and the store.
package outage

import "time"

// Wait is how requests wait for a leader.
type Wait string

const (
	// WaitPerRequest lets each request wait on its own.
	WaitPerRequest Wait = "request"
	// WaitShared refuses requests at once that would wait in vain by the gateway's shared view.
	WaitShared Wait = "shared"
)

// MinMissing is how long a leader must be missing before it counts as lost. One that failed to reply
// once is back sooner.
const MinMissing = 300 * time.Millisecond

const (
	// leaseUncertainty is how much earlier a lease may expire than a gateway knows. Its last renewal
	// was up to 0.6 s before the loss of its leader, and the store is read every 0.5 s.
	leaseUncertainty = time.Second
	// minStoreOutage is how long the store must have failed to reply before it counts as down. It
	// covers a lost reply and one more attempt.
	minStoreOutage = 600 * time.Millisecond
	// takeoverTime is how long it takes until a shard is led once the store replies or a lease has
	// expired. It is a few attempts of a candidate.
	takeoverTime = 500 * time.Millisecond
	// restartTime is how long the restart of a lost leader on its box may take. Its successor there
	// does not wait for the lease to expire.
	restartTime = 2 * time.Second
)

// Share is what a gateway knows about the leader of one share of a limit.
type Share struct {
	// FormerLinked says that the controller at the last leader's address is linked.
	FormerLinked bool
	// Held says that a box had a lease on the shard's key when the store was last read.
	Held bool
	// MissingSince is the time since which there is no usable leader. It is zero if there is one.
	MissingSince time.Time
}

// Snapshot is what a gateway knows about the leaders of a limit and about the store.
type Snapshot struct {
	// LeaseTTL is the TTL of a shard's lease.
	LeaseTTL time.Duration
	Now      time.Time
	Shares   []Share
	// StoreBackAt is when the store replied again after its last outage. It is zero if there was
	// none.
	StoreBackAt time.Time
	// StoreDownSince is the time since which the store has not replied. It is zero if it replies.
	StoreDownSince time.Time
}

// Forecast is when a limit is likely to have a leader again.
type Forecast struct {
	End time.Time
	// Vain says that a request should not wait for it.
	Vain bool
}

// Predict forecasts the end of a time without leaders for a request, which can spare some time until its
// work must begin. The wait is in vain if the end is later than that. Where a lease of a lost leader must
// expire first, it counts from when that may happen at the earliest.
//
// How long an outage of the store lasts, or the takeover of a share that nobody holds or whose leader's box
// is back, is not known. It is taken to last as long again as it has lasted. A request thus waits for a part
// of its time, and the rest is left for another gateway.
func Predict(s *Snapshot, spare time.Duration) Forecast {
	for i := range s.Shares {
		if since := s.Shares[i].MissingSince; since.IsZero() || s.Now.Sub(since) < MinMissing {
			return Forecast{End: s.Now}
		}
	}
	if age := s.Now.Sub(s.StoreDownSince); !s.StoreDownSince.IsZero() && age >= minStoreOutage {
		return forecastAfter(s.Now, age+takeoverTime, spare)
	}
	first := Forecast{End: s.Now}
	for i := range s.Shares {
		if f := s.Shares[i].predict(s, spare); i == 0 || f.End.Before(first.End) {
			first = f
		}
	}
	return first
}

// forecastAfter is the forecast of an end after a time.
func forecastAfter(now time.Time, after, spare time.Duration) Forecast {
	return Forecast{End: now.Add(after), Vain: after > spare}
}

// predict forecasts the end for one share while the store replies.
func (h *Share) predict(s *Snapshot, spare time.Duration) Forecast {
	missing := s.Now.Sub(h.MissingSince)
	asLong := forecastAfter(s.Now, max(takeoverTime, missing), spare)
	if !h.Held || h.FormerLinked || missing < restartTime {
		return asLong
	}
	leasedFrom := h.MissingSince
	if s.StoreBackAt.After(leasedFrom) {
		leasedFrom = s.StoreBackAt // a store that was down ends no lease before its full TTL
	}
	expires := leasedFrom.Add(s.LeaseTTL).Sub(s.Now)
	if expires <= 0 {
		return asLong
	}
	return Forecast{End: s.Now.Add(expires + takeoverTime), Vain: expires-leaseUncertainty > spare}
}
