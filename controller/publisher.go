package controller

import (
	"context"
	"encoding/json"
	"reflect"
	"slices"
	"time"

	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/pause"
	"sandbarrow.example/sandbarrow/wire"
)

const (
	// publishPause is the shortest interval between two statuses. It is short compared with
	// a load (270 ms).
	publishPause = 50 * time.Millisecond
	// publishPerGateway is the interval per linked gateway, which applies beyond ten
	// gateways. It bounds the number of statuses that a controller sends per second.
	publishPerGateway = 5 * time.Millisecond
)

// publisher holds the status in the encodings that the links send. It is guarded by the
// controller's mu.
type publisher struct {
	publishedAt time.Time
	// previous is the last status with another content version.
	previous enginelink.Status
	// brief omits the engine's contents. It is sent to links that already have them.
	brief wire.Notification
	// changed holds one signal that the status may differ from the last one.
	changed chan struct{}
	// full and changes are nil until a link needs them. changes holds the difference from
	// previous.
	full, changes wire.Notification
	// contentVersion counts the changes of the engine's contents, from 1.
	contentVersion uint64
	last           enginelink.Status
}

func newPublisher() *publisher {
	return &publisher{changed: make(chan struct{}, 1)}
}

// markChanged makes the controller publish its status soon.
func (p *publisher) markChanged() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// apply replaces the status and reports whether the links must send it. They must if it
// differs from the last one or a heartbeat is due.
func (p *publisher) apply(now time.Time, s enginelink.Status) bool {
	if p.contentVersion > 0 && now.Sub(p.publishedAt) < enginelink.HeartbeatInterval-publishPause && reflect.DeepEqual(s, p.last) {
		return false
	}
	if p.contentVersion == 0 || !slices.Equal(s.Slots, p.last.Slots) || !s.SameModels(&p.last) || s.EventTimes != p.last.EventTimes || s.Speed != p.last.Speed || s.Loads != p.last.Loads {
		p.contentVersion++
		p.previous = p.last
	}
	p.publishedAt, p.last = now, s
	p.brief, p.full, p.changes = encodeStatus(s.Brief()), nil, nil
	return true
}

// message returns the status for a link that has received the content version sent, and the
// content version that the link has after it. It returns nil before the first status.
// acceptsChanges reports that the gateway can apply changes to its last status. An engine
// under load changes its slots with almost every status, and changes are shorter than a
// full status (TestPublisherSendsChanges).
func (p *publisher) message(sent uint64, acceptsChanges bool) (wire.Notification, uint64) {
	switch {
	case sent == p.contentVersion:
		return p.brief, sent
	case sent > 0 && sent+1 == p.contentVersion && acceptsChanges && p.encodeChanges():
		return p.changes, p.contentVersion
	case p.full == nil:
		p.full = encodeStatus(p.last.Full())
	}
	return p.full, p.contentVersion
}

// encodeChanges encodes the changes since the previous status, and reports whether they can
// replace a full status.
func (p *publisher) encodeChanges() bool {
	if p.changes != nil {
		return true
	}
	s, ok := p.last.Since(&p.previous)
	if ok {
		p.changes = encodeStatus(s)
	}
	return ok
}

// encodeStatus encodes a status, which always has a valid JSON encoding.
func encodeStatus(s enginelink.Status) wire.Notification {
	text, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return wire.NewNotification(enginelink.MethodStatus, text)
}

// publishInterval returns the shortest interval between two statuses for a number of
// gateways. It never exceeds the heartbeat interval. Without that bound, the interval for
// 300 gateways would be as long as the timeout after which a link counts as lost.
func publishInterval(gateways int) time.Duration {
	return min(enginelink.HeartbeatInterval, max(publishPause, time.Duration(gateways)*publishPerGateway))
}

// publishLoop publishes the status when it may have changed and at each heartbeat, which
// shows gateways that this process is running.
func (c *Controller) publishLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, c.publishNow())
		select {
		case <-c.published.changed:
		case <-time.After(enginelink.HeartbeatInterval - publishPause):
		case <-ctx.Done():
		}
	}
	return nil
}

// publishNow makes the links send the status if one is due, and returns the pause before
// the next one.
func (c *Controller) publishNow() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	status := c.status()
	if c.published.apply(c.now(), status) {
		c.metrics.published(&status, c.slots.awaitingPrefill.window.Size())
		for l := range c.links {
			l.notifyStatus()
		}
	}
	return publishInterval(len(c.links))
}
