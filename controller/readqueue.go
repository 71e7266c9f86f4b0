package controller

import (
	"slices"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/queueorder"
)

// readQueue holds the requests whose adapter is pinned and whose prompt the engine may
// not read yet, in the order in which they came. It decides which prompt the engine reads
// next, and when: a window bounds how many tokens it has to read at once, since the
// streams that run there pause while it reads. It is not safe for concurrent use: the
// controller's mu guards it.
type readQueue struct {
	window  readWindow
	waiting []queuedReading
}

// queuedReading is one request of a readQueue.
type queuedReading struct {
	arrived time.Time
	request *pendingRequest
	version sandbarrow.AdapterVersion
}

// readOrder is the order of prompts that can be read in time: each lower priority goes as much
// behind, a part of the objectives seen (0.6 to 1 s), so that the least urgent ones are late before
// others and are served all the same.
var readOrder = queueorder.Aged{Step: 300 * time.Millisecond}

// add queues a request for a version of its adapter.
func (q *readQueue) add(now time.Time, w *pendingRequest, v sandbarrow.AdapterVersion) {
	q.waiting = append(q.waiting, queuedReading{arrived: now, request: w, version: v})
}

// before reports whether a request is to be read before another one: one that can still
// be in time goes before one that can't.
func (r *queuedReading) before(now time.Time, other *queuedReading) bool {
	if late := r.late(now); late != other.late(now) {
		return !late
	}
	return readOrder.Less(now, r.place(), other.place())
}

// late reports whether the answer can't be in time any more.
func (r *queuedReading) late(now time.Time) bool {
	return now.After(r.request.usefulUntil)
}

// place is what the order turns on.
func (r *queuedReading) place() sandbarrow.Waiting {
	return sandbarrow.Waiting{Arrived: r.arrived, Priority: r.request.priority}
}

// count adds the prompts that wait.
func (q *readQueue) count(sum *enginelink.Waiting) {
	for _, r := range q.waiting {
		sum.Add(r.request.pin.priority, r.request.pin.unread)
	}
}

// next takes the request whose prompt the engine is to read next out of the queue. It
// returns nil while none may be read beside the tokens that the engine has yet to read. A
// prompt longer than the window is read alone.
func (q *readQueue) next(now time.Time, unread int) (*pendingRequest, sandbarrow.AdapterVersion) {
	if len(q.waiting) == 0 {
		return nil, 0
	}
	first := 0
	for i := range q.waiting {
		if q.waiting[i].before(now, &q.waiting[first]) {
			first = i
		}
	}
	r := q.waiting[first]
	if unread > 0 && !q.window.admits(unread+r.request.pin.unread) {
		return nil, 0
	}
	q.waiting = slices.Delete(q.waiting, first, first+1)
	return r.request, r.version
}

// remove takes a request out of the queue, and reports whether it was there.
func (q *readQueue) remove(w *pendingRequest) bool {
	before := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(r queuedReading) bool { return r.request == w })
	return len(q.waiting) < before
}

// removeAll takes all requests out of the queue.
func (q *readQueue) removeAll() []*pendingRequest {
	var all []*pendingRequest
	for _, r := range q.waiting {
		all = append(all, r.request)
	}
	q.waiting = nil
	return all
}
