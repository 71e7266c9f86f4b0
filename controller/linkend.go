package controller

import (
	"context"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
)

// This file decides when the link of a gateway has ended, and what becomes of its pins. A connection may
// go silent for good without being closed. Its pins would then keep their adapters loaded forever, and
// its gateway would count twice once it has linked again.

const (
	// linkCheckInterval is the interval between two checks for silent links.
	linkCheckInterval = time.Second
	// maxQuietChecks is how many checks in a row may find no message of a gateway. A box may be frozen
	// for some eight seconds, after a pause of up to 1.5 intervals of the heartbeats. What it runs must
	// keep its adapters meanwhile.
	maxQuietChecks = 10
)

// linkEnd is why a link was closed by the controller.
type linkEnd string

// The reasons to close a link.
const (
	linkSilent     linkEnd = "silent"
	linkSuperseded linkEnd = "superseded"
)

// closeLink removes a link and detaches its pins. It does nothing if the link was closed before. The
// caller holds mu.
func (c *Controller) closeLink(l *link) {
	if l.closed {
		return
	}
	delete(c.links, l)
	l.closed = true
	for id, p := range l.pins {
		c.detachPin(id, p)
	}
	clear(l.pins)
	c.published.markChanged()
	c.wakeEngineLoop()
}

// endLink closes a link whose connection is still open, after so many of its pins were released. The
// caller holds mu.
func (c *Controller) endLink(l *link, why linkEnd, released int) {
	c.logger.Warn("gateway link closed", "incarnation", string(l.incarnation), "link", uint64(l.number), "cause", string(why), "pins", len(l.pins), "released", released)
	c.metrics.linkEnds.WithLabelValues(string(why)).Inc()
	c.closeLink(l)
	l.cancel()
}

// supersedeLinks ends the older links of the process that has opened a link. The new link reports all
// pins that the process still has, so the others are released at once. A link whose first message
// arrives after that of a newer one ends itself. The caller holds mu.
func (c *Controller) supersedeLinks(l *link, h *enginelink.Hello) {
	l.incarnation, l.number = h.Incarnation, h.Link
	if h.Incarnation == "" {
		return
	}
	reported := make(map[sandbarrow.RequestID]bool, len(h.Pins))
	for _, id := range h.Pins {
		reported[id] = true
	}
	for other := range c.links {
		switch {
		case other == l || other.incarnation != h.Incarnation:
		case other.number > h.Link:
			c.endLink(l, linkSuperseded, 0)
			return
		default:
			c.endLink(other, linkSuperseded, c.releaseUnreported(other, reported))
		}
	}
}

// releaseUnreported releases the pins of a link that its gateway no longer has, and returns their number.
// The caller holds mu.
func (c *Controller) releaseUnreported(l *link, reported map[sandbarrow.RequestID]bool) int {
	released := 0
	for id, p := range l.pins {
		if !reported[id] {
			delete(l.pins, id)
			c.slots.unpin(c.now(), p)
			released++
		}
	}
	return released
}

// isSilent decides whether a gateway is gone, by the number of checks in a row without a message. A
// gateway of a former build sends no heartbeats and may have nothing to send for any time, but its first
// message comes at once.
func (l *link) isSilent(quietChecks int) bool {
	neverHeard := l.stream.Received() == 0
	return quietChecks >= maxQuietChecks && (l.incarnation != "" || neverHeard)
}

// checkLinks releases expired pins and ends the links of gateways that send nothing any more.
func (c *Controller) checkLinks() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for l := range c.links {
		c.expirePins(l)
		if l.isSilent(l.quiet.Check(l.stream.Received())) {
			c.endLink(l, linkSilent, 0)
		}
	}
}

// linkLoop checks the links until ctx is done.
func (c *Controller) linkLoop(ctx context.Context) error {
	ticker := time.NewTicker(linkCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.checkLinks()
		case <-ctx.Done():
			return nil
		}
	}
}
