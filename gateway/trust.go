package gateway

import (
	"context"
	"log/slog"
	"time"

	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/internal/pause"
)

// This file decides how long this gateway may serve callers by their keys under its current
// configuration. A key may have been revoked in a version that it can't read.

const (
	// trustShare is the fraction of the operators' bound for which a configuration is trusted after
	// it was confirmed to be the newest. The rest allows for clocks that run at slightly different
	// speeds.
	trustShare = 0.85
	// confirmPause is the pause between two checks for a due confirmation. It is short compared
	// with confirmAfter.
	confirmPause = 100 * time.Millisecond
	// confirmAfter is the age at which a new confirmation is requested from the controller that
	// keeps one for all gateways. Several attempts fit into the bound.
	confirmAfter = 700 * time.Millisecond
	// confirmFromStoreAfter is the age at which this gateway queries the store itself, because that
	// controller does not reply or has no confirmation.
	confirmFromStoreAfter = 1600 * time.Millisecond
	// confirmTimeout bounds one query.
	confirmTimeout = 500 * time.Millisecond
)

// isTrusted decides whether a configuration may be trusted whose last confirmation has the given
// age. With a bound of 0, the last known configuration is always trusted.
func isTrusted(age, bound time.Duration) bool {
	return bound <= 0 || age < time.Duration(trustShare*float64(bound))
}

// trusts reports whether callers may be served by their keys now.
func (g *Gateway) trusts(now time.Time) bool {
	if !g.needsTrust() {
		return true
	}
	confirmed, _ := g.estate.Confirmed()
	return isTrusted(now.Sub(confirmed), g.config.RevokeBound)
}

// needsTrust reports whether the configuration has keys that may be revoked.
func (g *Gateway) needsTrust() bool {
	if g.config.RevokeBound <= 0 {
		return false
	}
	view := g.estate.View()
	return view != nil && view.Table.Keys != nil
}

// trustAttributes returns the log attribute of the time since the configuration was confirmed.
// There is none if that time decides nothing.
func (g *Gateway) trustAttributes() []slog.Attr {
	if !g.needsTrust() {
		return nil
	}
	confirmed, _ := g.estate.Confirmed()
	return []slog.Attr{slog.Int64("confirmed_ms", boottime.Since(confirmed).Milliseconds())}
}

// stateAttributes returns log attributes of the age of the operators' state under which a request
// had no route: the revision up to which it is complete, and the time since the store last
// responded.
func (g *Gateway) stateAttributes() []slog.Attr {
	complete, _ := g.estate.Watermark()
	return []slog.Attr{
		slog.Any("complete_to", complete.Revision), slog.Int64("store_answered_ms", sinceMS(g.estate.LastStoreResponse())),
	}
}

// answeredSeconds returns the time in seconds since the store last responded to a read of the
// operators' state; -1 if it never did.
func (g *Gateway) answeredSeconds() float64 {
	answered := g.estate.LastStoreResponse()
	if answered.IsZero() {
		return -1
	}
	return time.Since(answered).Seconds()
}

// sinceMS returns the time since t in milliseconds; -1 for the zero time.
func sinceMS(t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return time.Since(t).Milliseconds()
}

// revisionInForce returns the store's revision of the configuration in force, 0 before the first.
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

// confirmedSeconds returns the time in seconds since the configuration was confirmed to be the
// newest; -1 if it never was.
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

// confirm checks whether the configuration is the newest, if a check is due.
func (g *Gateway) confirm(ctx context.Context) {
	confirmed, _ := g.estate.Confirmed()
	age := boottime.Since(confirmed)
	if age < confirmAfter {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if age < confirmFromStoreAfter {
		if rpc := g.leaders.confirmer(); rpc != nil {
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
