package controller

import (
	"slices"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/engineload"
	"sandbarrow.example/sandbarrow/queueorder"
)

// prefillQueue holds the requests whose adapter is pinned and whose prefill may not start
// yet, in order of arrival. It decides which prompt the engine prefills next; mayPrefill decides
// when, because the engine's running streams pause during prefill. It is not safe for concurrent use; the controller's mu
// guards it.
type prefillQueue struct {
	window  engineload.PauseWindow
	waiting []queuedPrefill
}

// queuedPrefill is one request of a prefillQueue.
type queuedPrefill struct {
	request *pendingRequest
	version sandbarrow.AdapterVersion
}

// prefillOrder orders the prompts, whatever time their callers have left.
var prefillOrder queueorder.Accumulating

// add queues a request for a version of its adapter.
func (q *prefillQueue) add(w *pendingRequest, v sandbarrow.AdapterVersion) {
	q.waiting = append(q.waiting, queuedPrefill{request: w, version: v})
}

// before reports whether a request is prefilled before another one.
func (r *queuedPrefill) before(now time.Time, other *queuedPrefill) bool {
	return prefillOrder.Less(now, r.request.waiting(), other.request.waiting())
}

// count adds the waiting prompts to sum.
func (q *prefillQueue) count(sum *enginelink.Waiting) {
	for _, r := range q.waiting {
		sum.Add(r.request.pin.priority, r.request.pin.toPrefill)
	}
}

// next removes and returns the request whose prompt the engine prefills next. It returns
// nil if the engine may not prefill that prompt yet.
func (q *prefillQueue) next(now time.Time, mayPrefill func(time.Time, *pendingRequest) bool) (*pendingRequest, sandbarrow.AdapterVersion) {
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
	if !mayPrefill(now, r.request) {
		return nil, 0
	}
	q.waiting = slices.Delete(q.waiting, first, first+1)
	return r.request, r.version
}

// remove removes a request from the queue, and reports whether it was there.
func (q *prefillQueue) remove(w *pendingRequest) bool {
	before := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(r queuedPrefill) bool { return r.request == w })
	return len(q.waiting) < before
}

// removeAll removes all requests from the queue and returns them.
func (q *prefillQueue) removeAll() []*pendingRequest {
	var all []*pendingRequest
	for _, r := range q.waiting {
		all = append(all, r.request)
	}
	q.waiting = nil
	return all
}
