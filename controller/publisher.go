package controller

import (
	"context"
	"encoding/json"
	"reflect"
	"slices"
	"time"

	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/internal/pause"
)

const (
	// publishPause is the shortest time between two statuses. Estimate with the first
	// version: short against a load (270 ms).
	publishPause = 50 * time.Millisecond
	// publishShare is what each linked gateway adds to that time beyond ten gateways,
	// so that the statuses that a controller sends in a second are bounded (commit
	// e9f05418: 30,000 messages a second before at 30 gateways and 55 controllers).
	publishShare = 5 * time.Millisecond
)

// publisher keeps the status in the forms in which all links send it. It is
// guarded by the controller's mu.
type publisher struct {
	at time.Time
	// brief leaves out what the engine holds; links that have it get this one.
	brief json.RawMessage
	// changed holds one signal that the status may differ from the last.
	changed chan struct{}
	// full is nil until a link needs it.
	full json.RawMessage
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
	if p.holds > 0 && now.Sub(p.at) < enginelink.Heartbeat-publishPause && reflect.DeepEqual(s, p.last) {
		return false
	}
	if p.holds == 0 || !slices.Equal(s.Slots, p.last.Slots) || !slices.Equal(s.Models, p.last.Models) || s.Speed != p.last.Speed {
		p.holds++
	}
	p.at, p.last = now, s
	p.brief, p.full = encodeStatus(s.Brief()), nil
	return true
}

// message returns the status for a link that has so many changes of what the
// engine holds, and the number that it has with it; nil before the first status.
func (p *publisher) message(sent uint64) (json.RawMessage, uint64) {
	if sent == p.holds {
		return p.brief, sent
	}
	if p.full == nil {
		s := p.last
		s.Slots = slices.Clone(s.Slots)
		s.Compact()
		p.full = encodeStatus(s)
	}
	return p.full, p.holds
}

// encodeStatus encodes a status, which holds nothing that can't be encoded.
func encodeStatus(s enginelink.Status) json.RawMessage {
	text, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return text
}

// publishEvery is the shortest time between two statuses for so many gateways.
func publishEvery(gateways int) time.Duration {
	return max(publishPause, time.Duration(gateways)*publishShare)
}

// publishLoop encodes the status when it may have changed, and at each
// heartbeat, so that gateways see that this process lives.
func (c *Controller) publishLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, c.publishNow())
		select {
		case <-c.published.changed:
		case <-time.After(enginelink.Heartbeat - publishPause):
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
		c.metrics.published(&status)
		for l := range c.links {
			l.notifyStatus()
		}
	}
	return publishEvery(len(c.links))
}
