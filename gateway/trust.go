package gateway

import (
	"context"
	"log/slog"
	"time"

	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/internal/pause"
)

// This file answers until when this gateway may serve callers by their keys under the
// configuration that it has: a key may have been withdrawn where it can't see it.

const (
	// trustShare is the share of the operators' bound for which a configuration is trusted after it
	// was known to be the newest; the rest is for clocks that run at slightly other speeds.
	trustShare = 0.85
	// confirmPause is the pause between two looks whether a confirmation is due: short against
	// confirmAfter.
	confirmPause = 100 * time.Millisecond
	// confirmAfter is the age at which a confirmation is asked for anew, of the controller that
	// keeps one for all: several tries fit into the bound.
	confirmAfter = 700 * time.Millisecond
	// confirmAlone is the age at which this gateway asks the store itself, since that controller
	// does not answer or has none.
	confirmAlone = 1600 * time.Millisecond
	// confirmTimeout bounds one question.
	confirmTimeout = 500 * time.Millisecond
)

// mayTrust decides whether a configuration may be trusted that was known to be the newest
// so long ago. A bound of 0 trusts the last one known for ever.
func mayTrust(age, bound time.Duration) bool {
	return bound <= 0 || age < time.Duration(trustShare*float64(bound))
}

// trusts reports whether callers may be served by their keys now.
func (g *Gateway) trusts(now time.Time) bool {
	if !g.needsTrust() {
		return true
	}
	confirmed, _ := g.estate.Confirmed()
	return mayTrust(now.Sub(confirmed), g.config.RevokeBound)
}

// needsTrust reports whether the configuration has keys that may be withdrawn.
func (g *Gateway) needsTrust() bool {
	if g.config.RevokeBound <= 0 {
		return false
	}
	view := g.estate.View()
	return view != nil && view.Table.Keys != nil
}

// trustAttributes describe for how long the configuration has not been known as the
// newest; none where that decides nothing.
func (g *Gateway) trustAttributes() []slog.Attr {
	if !g.needsTrust() {
		return nil
	}
	confirmed, _ := g.estate.Confirmed()
	return []slog.Attr{slog.Int64("confirmed_ms", boottime.Since(confirmed).Milliseconds())}
}

// stateAttributes describe how new the operators' state is by which a request had no route:
// up to which revision it is complete, and for how long the store has answered nothing.
func (g *Gateway) stateAttributes() []slog.Attr {
	complete, _ := g.estate.Watermark()
	return []slog.Attr{
		slog.Any("complete_to", complete.Revision), slog.Int64("store_answered_ms", sinceMS(g.estate.LastStoreResponse())),
	}
}

// answeredSeconds is how long ago the store last answered about the operators' state, in
// seconds; -1 where it never did.
func (g *Gateway) answeredSeconds() float64 {
	answered := g.estate.LastStoreResponse()
	if answered.IsZero() {
		return -1
	}
	return time.Since(answered).Seconds()
}

// sinceMS is how long ago a time was, in milliseconds; -1 for the zero time.
func sinceMS(t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return time.Since(t).Milliseconds()
}

// revisionInForce is the store's revision of the configuration in force, 0 before the first.
func (g *Gateway) revisionInForce() float64 {
	view := g.estate.View()
	if view == nil {
		return 0
	}
	return float64(view.Revision.Number())
}

// storeEra returns the store's era when the list of upstreams was read.
func (g *Gateway) storeEra() float64 {
	return float64(g.directory.Watermark().Era())
}

// confirmedSeconds is how long ago the configuration was known to be the newest, in
// seconds; -1 where it never was.
func (g *Gateway) confirmedSeconds() float64 {
	confirmed, _ := g.estate.Confirmed()
	if confirmed.IsZero() {
		return -1
	}
	return boottime.Since(confirmed).Seconds()
}

// confirmLoop keeps the configuration confirmed until ctx ends.
func (g *Gateway) confirmLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		if g.needsTrust() {
			g.confirm(ctx)
		}
		pause.For(ctx, jitter(confirmPause))
	}
	return nil
}

// confirm asks whether the configuration is the newest, where that is due.
func (g *Gateway) confirm(ctx context.Context) {
	confirmed, _ := g.estate.Confirmed()
	age := boottime.Since(confirmed)
	if age < confirmAfter {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if age < confirmAlone {
		if rpc := g.leads.confirmer(); rpc != nil {
			if err := enginelink.Fetch(ctx, rpc, g.estate); err != nil {
				g.logger.Debug("configuration not confirmed by a controller", "error", err.Error())
			}
		}
		return
	}
	if err := g.estate.ConfirmFrom(ctx, g.config.TableStore); err != nil {
		g.logger.Debug("configuration not confirmed by the store", "error", err.Error())
	}
}
