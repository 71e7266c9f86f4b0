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
	// publishPause is the shortest time between two statuses: short against
	// a load (270 ms).
	publishPause = 50 * time.Millisecond
	// publishShare is what each linked gateway adds to that time beyond ten gateways,
	// so that the statuses that a controller sends in a second are bounded.
	publishShare = 5 * time.Millisecond
)

// publisher keeps the status in the forms in which all links send it. It is
// guarded by the controller's mu.
type publisher struct {
	at time.Time
	// before is the last status with another number of holds.
	before enginelink.Status
	// brief leaves out what the engine holds; links that have it get this one.
	brief wire.Notification
	// changed holds one signal that the status may differ from the last.
	changed chan struct{}
	// full and since are nil until a link needs them; since is what has changed after before.
	full, since wire.Notification
	// holds counts the changes of what the engine holds, from 1.
	holds uint64
	last  enginelink.Status
}

func newPublisher() *publisher {
	return &publisher{changed: make(chan struct{}, 1)}
}

// announce makes the controller publish its status soon.
func (p *publisher) announce() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// apply replaces the status and reports whether the links are to send it: because it
// differs from the last, or because a heartbeat is due.
func (p *publisher) apply(now time.Time, s enginelink.Status) bool {
	if p.holds > 0 && now.Sub(p.at) < enginelink.HeartbeatInterval-publishPause && reflect.DeepEqual(s, p.last) {
		return false
	}
	if p.holds == 0 || !slices.Equal(s.Slots, p.last.Slots) || !s.SameModels(&p.last) || s.Speed != p.last.Speed || s.Loads != p.last.Loads {
		p.holds++
		p.before = p.last
	}
	p.at, p.last = now, s
	p.brief, p.full, p.since = encodeStatus(s.Brief()), nil, nil
	return true
}

// message returns the status for a link that has so many changes of what the engine
// holds, and the number that it has with it; nil before the first status. readsChanges
// says that its gateway can put changes together with its last status: an engine under
// load changes its slots with almost each status
// (TestPublisherSendsChanges).
func (p *publisher) message(sent uint64, readsChanges bool) (wire.Notification, uint64) {
	switch {
	case sent == p.holds:
		return p.brief, sent
	case sent > 0 && sent+1 == p.holds && readsChanges && p.encodeChanges():
		return p.since, p.holds
	case p.full == nil:
		p.full = encodeStatus(p.last.Full())
	}
	return p.full, p.holds
}

// encodeChanges encodes what has changed since the status before, and reports whether
// that is enough.
func (p *publisher) encodeChanges() bool {
	if p.since != nil {
		return true
	}
	s, ok := p.last.Since(&p.before)
	if ok {
		p.since = encodeStatus(s)
	}
	return ok
}

// encodeStatus encodes a status, which holds nothing that can't be encoded.
func encodeStatus(s enginelink.Status) wire.Notification {
	text, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return wire.NewNotification(enginelink.MethodStatus, text)
}

// publishEvery is the shortest time between two statuses for so many gateways. However
// many there are, a heartbeat comes in time: at 300 gateways statuses that are spread
// without a bound would come as late as a link counts as lost.
func publishEvery(gateways int) time.Duration {
	return min(enginelink.HeartbeatInterval, max(publishPause, time.Duration(gateways)*publishShare))
}

// publishLoop encodes the status when it may have changed, and at each
// heartbeat, so that gateways see that this process lives.
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

// publishNow gives the links a status that is due, and returns how long no
// other is to follow.
func (c *Controller) publishNow() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	status := c.status()
	if c.published.apply(c.now(), status) {
		c.metrics.published(&status, c.slots.toRead.window.size())
		for l := range c.links {
			l.notifyStatus()
		}
	}
	return publishEvery(len(c.links))
}
