package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"sandbarrow.example/sandbarrow"
)

const (
	// listPause is the mean pause between looks at the list of boxes.
	listPause = 500 * time.Millisecond
	// redialPause is the mean pause after a failed dial.
	redialPause = 300 * time.Millisecond
)

// kept is an agent to which a connection is kept.
type kept struct {
	address string
	cancel  context.CancelFunc
}

// peerLoop keeps a connection to each agent in the list of boxes. While the
// list does not answer, the last view holds.
func (e *Entry) peerLoop(ctx context.Context) error {
	running := map[sandbarrow.BoxID]kept{}
	defer func() {
		for _, k := range running {
			k.cancel()
		}
	}()
	for ctx.Err() == nil {
		boxes, err := e.list.Boxes(ctx)
		if err == nil {
			e.takeBoxes(ctx, boxes, running)
		} else if ctx.Err() == nil {
			e.logger.Warn("list of boxes not read, the last view holds", "error", err.Error())
		}
		pause(ctx, listPause)
	}
	return nil
}

// takeBoxes starts and ends connections by a new view of the list. A box that
// is no longer listed keeps its connection while that lives: the list lags.
func (e *Entry) takeBoxes(ctx context.Context, boxes []sandbarrow.Box, running map[sandbarrow.BoxID]kept) {
	listed := map[sandbarrow.BoxID]bool{}
	leaving := map[sandbarrow.BoxID]bool{}
	for _, b := range boxes {
		if b.Role != sandbarrow.RoleAgent {
			continue
		}
		listed[b.ID] = true
		leaving[b.ID] = b.State == sandbarrow.BoxDraining
	}
	e.mu.Lock()
	e.leaving = leaving
	for id, p := range e.peers {
		if leaving[id] {
			e.fleet.SetAvailable(p.index, false)
		}
	}
	e.mu.Unlock()
	for _, b := range boxes {
		if b.Role == sandbarrow.RoleAgent && !leaving[b.ID] {
			e.keep(ctx, b, running)
		}
	}
	for id, k := range running {
		if !listed[id] && e.peer(id) == nil {
			k.cancel()
			delete(running, id)
		}
	}
}

// keep starts to keep a connection, anew for a box that has moved. A connection
// that lives is not cut for it.
func (e *Entry) keep(ctx context.Context, b sandbarrow.Box, running map[sandbarrow.BoxID]kept) {
	old, ok := running[b.ID]
	if ok && (old.address == b.Address || e.peer(b.ID) != nil) {
		return
	}
	if ok {
		old.cancel()
	}
	peerCtx, cancel := context.WithCancel(ctx)
	running[b.ID] = kept{address: b.Address, cancel: cancel}
	go e.keepPeer(peerCtx, b)
}

// keepPeer dials an agent again whenever its connection ends.
func (e *Entry) keepPeer(ctx context.Context, box sandbarrow.Box) {
	for ctx.Err() == nil {
		p, err := e.dial(ctx, box)
		if err != nil {
			e.logger.Debug("agent not reached", "agent", string(box.ID), "error", err.Error())
			pause(ctx, redialPause)
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

// removePeer forgets a peer whose connection ended, unless a newer one took its
// place, and reports whether it did so.
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

// peerAt returns the peer of an upstream's index.
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
	return e.leaving[id]
}

// sendMarks tells all agents of a new configuration at once.
func (e *Entry) sendMarks() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.peers {
		go p.sendMark()
	}
}

// pause sleeps about d, jittered, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d/2 + rand.N(d)):
	case <-ctx.Done():
	}
}
