package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"sandbarrow.example/sandbarrow"
)

const (
	// listInterval is the mean interval between two reads of the list of boxes.
	listInterval = 500 * time.Millisecond
	// redialDelay is the mean delay after a failed dial.
	redialDelay = 300 * time.Millisecond
)

// maintainedPeer is an agent to which connections are maintained.
type maintainedPeer struct {
	address string
	cancel  context.CancelFunc
}

// peerLoop maintains connections to each agent in the list of boxes. If the list can't be read,
// the last one stays in use.
func (e *Entry) peerLoop(ctx context.Context) error {
	maintained := map[sandbarrow.BoxID]maintainedPeer{}
	defer func() {
		for _, m := range maintained {
			m.cancel()
		}
	}()
	for ctx.Err() == nil {
		boxes, err := e.list.Boxes(ctx)
		if err == nil {
			e.applyBoxes(ctx, boxes, maintained)
		} else if ctx.Err() == nil {
			e.logger.Warn("list of boxes not read; using the last one", "error", err.Error())
		}
		pause(ctx, listInterval)
	}
	return nil
}

// applyBoxes opens and closes connections according to a new list of boxes. The connections to
// a box that is no longer listed stay open until they are lost, because the list may be
// outdated.
func (e *Entry) applyBoxes(ctx context.Context, boxes []sandbarrow.Box, maintained map[sandbarrow.BoxID]maintainedPeer) {
	listed := map[sandbarrow.BoxID]bool{}
	draining := map[sandbarrow.BoxID]bool{}
	for _, b := range boxes {
		if b.Role != sandbarrow.RoleAgent {
			continue
		}
		listed[b.ID] = true
		draining[b.ID] = b.State == sandbarrow.BoxDraining
	}
	e.mu.Lock()
	e.draining = draining
	for id, p := range e.peers {
		if draining[id] {
			e.fleet.SetAvailable(p.index, false)
		}
	}
	e.mu.Unlock()
	for _, b := range boxes {
		if b.Role == sandbarrow.RoleAgent && !draining[b.ID] {
			e.maintain(ctx, b, maintained)
		}
	}
	for id, m := range maintained {
		if !listed[id] && e.peer(id) == nil {
			m.cancel()
			delete(maintained, id)
		}
	}
}

// maintain starts to maintain connections to a box. If the box's address has changed, it dials
// the new address, but not while the old connections are open.
func (e *Entry) maintain(ctx context.Context, b sandbarrow.Box, maintained map[sandbarrow.BoxID]maintainedPeer) {
	old, ok := maintained[b.ID]
	if ok && (old.address == b.Address || e.peer(b.ID) != nil) {
		return
	}
	if ok {
		old.cancel()
	}
	peerCtx, cancel := context.WithCancel(ctx)
	maintained[b.ID] = maintainedPeer{address: b.Address, cancel: cancel}
	go e.maintainPeer(peerCtx, b)
}

// maintainPeer connects to an agent and dials it again whenever a connection is lost.
func (e *Entry) maintainPeer(ctx context.Context, box sandbarrow.Box) {
	for ctx.Err() == nil {
		p, err := e.dial(ctx, box)
		if err != nil {
			e.logger.Debug("connection to agent failed; dialing again", "agent", string(box.ID), "error", err.Error())
			pause(ctx, redialDelay)
			continue
		}
		e.setPeer(box.ID, p)
		e.logger.Info("agent connected", "agent", string(box.ID), "incarnation", string(p.hello.Incarnation))
		p.run(ctx)
		if e.removePeer(box.ID, p) {
			e.fleet.SetAvailable(p.index, false)
		}
		e.logger.Warn("agent disconnected", "agent", string(box.ID))
	}
}

func (e *Entry) setPeer(id sandbarrow.BoxID, p *peer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers[id] = p
}

// removePeer removes a disconnected peer, unless a newer one has replaced it. It reports whether
// the peer was removed.
func (e *Entry) removePeer(id sandbarrow.BoxID, p *peer) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.peers[id] != p {
		return false
	}
	delete(e.peers, id)
	return true
}

func (e *Entry) peer(id sandbarrow.BoxID) *peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers[id]
}

// peerAt returns the peer with the given upstream index.
func (e *Entry) peerAt(index int) *peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.peers {
		if p.index == index {
			return p
		}
	}
	return nil
}

// Connected returns the number of agents with a live connection.
func (e *Entry) Connected() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.peers)
}

func (e *Entry) isDraining(id sandbarrow.BoxID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.draining[id]
}

// sendWatermarks immediately sends the watermark of a new configuration to all agents.
func (e *Entry) sendWatermarks() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.peers {
		go p.sendWatermark()
	}
}

// pause sleeps for a jittered duration of d on average, or until ctx is canceled.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d/2 + rand.N(d)):
	case <-ctx.Done():
	}
}
