// Package fairqueue orders waiting work of several flows by deficit round robin.
//
// Each flow, for example a workspace, gets the same share of the service while it has work waiting,
// so a flow with much work waits behind itself. The order is work-conserving: what a flow does not
// use goes to the others. The package owns the waiting items and the flows' deficits. It uses no
// clock, goroutine or lock, and depends on its caller for the costs, in any unit of service.
package fairqueue

import "slices"

// maxDebt bounds the deficit that corrections leave behind, in quanta. A flow with an exceptionally
// expensive item is then served again after a bounded number of rounds.
const maxDebt = 64

// item is one waiting item with its expected cost.
type item[T any] struct {
	cost  float64
	value T
}

// flow is the waiting work of one flow. It exists while any work waits.
type flow[K comparable, T any] struct {
	deficit float64
	// inTurn is set if the flow got its quantum for the current turn.
	inTurn bool
	items  []item[T]
	key    K
}

// Queue holds waiting items. The zero value is not usable; see New.
type Queue[K comparable, T any] struct {
	flows map[K]*flow[K, T]
	// ring holds the flows with waiting items in the order of their turns.
	ring    []*flow[K, T]
	quantum float64
	size    int
}

// New returns an empty queue. quantum is the service that a flow gets in one turn, in the unit of the
// costs. It should be about the cost of a typical item.
func New[K comparable, T any](quantum float64) *Queue[K, T] {
	return &Queue[K, T]{flows: map[K]*flow[K, T]{}, quantum: quantum}
}

// Len returns the number of waiting items.
func (q *Queue[K, T]) Len() int { return q.size }

// Push adds an item with its expected cost at the end of its flow.
func (q *Queue[K, T]) Push(key K, cost float64, value T) {
	f := q.flows[key]
	if f == nil {
		f = &flow[K, T]{key: key}
		q.flows[key] = f
		q.ring = append(q.ring, f)
	}
	f.items = append(f.items, item[T]{cost: cost, value: value})
	q.size++
}

// Pop removes and returns the item whose turn it is. ok is false if none waits.
func (q *Queue[K, T]) Pop() (value T, ok bool) {
	if q.size == 0 {
		return value, false
	}
	q.ring = nextTurn(q.ring, q.quantum)
	f := q.ring[0]
	first := f.items[0]
	f.items = f.items[1:]
	f.deficit -= first.cost
	q.size--
	if len(f.items) == 0 {
		q.remove(f)
	}
	return first.value, true
}

// nextTurn rotates the ring until its first flow may be served.
func nextTurn[K comparable, T any](ring []*flow[K, T], quantum float64) []*flow[K, T] {
	for {
		f := ring[0]
		if !f.inTurn {
			f.inTurn = true
			f.deficit += quantum
		}
		if f.deficit >= f.items[0].cost {
			return ring
		}
		f.inTurn = false
		ring = append(ring[1:], f)
	}
}

// remove forgets a flow without waiting items.
func (q *Queue[K, T]) remove(f *flow[K, T]) {
	delete(q.flows, f.key)
	q.ring = slices.DeleteFunc(q.ring, func(other *flow[K, T]) bool { return other == f })
}

// Charge corrects the service that a flow has used by the difference between the actual and the
// expected cost of an item that was popped. A flow without waiting items is not charged.
func (q *Queue[K, T]) Charge(key K, difference float64) {
	if f := q.flows[key]; f != nil {
		f.deficit = max(f.deficit-difference, -maxDebt*q.quantum)
		f.deficit = min(f.deficit, maxDebt*q.quantum)
	}
}

// Order returns all waiting items in the order in which Pop would return them now.
func (q *Queue[K, T]) Order() []T {
	ring := make([]*flow[K, T], len(q.ring))
	for i, f := range q.ring {
		simulated := *f
		ring[i] = &simulated
	}
	order := make([]T, 0, q.size)
	for len(ring) > 0 {
		ring = nextTurn(ring, q.quantum)
		f := ring[0]
		order = append(order, f.items[0].value)
		f.deficit -= f.items[0].cost
		if f.items = f.items[1:]; len(f.items) == 0 {
			ring = ring[1:]
		}
	}
	return order
}

// Each calls visit for all waiting items, in no particular order.
func (q *Queue[K, T]) Each(visit func(T)) {
	for _, f := range q.ring {
		for _, i := range f.items {
			visit(i.value)
		}
	}
}

// RemoveFunc removes all waiting items that match.
func (q *Queue[K, T]) RemoveFunc(match func(T) bool) {
	for _, f := range slices.Clone(q.ring) {
		before := len(f.items)
		// The slice is copied, because Order shares its array with copies of the flow.
		f.items = slices.DeleteFunc(slices.Clone(f.items), func(i item[T]) bool { return match(i.value) })
		q.size -= before - len(f.items)
		if len(f.items) == 0 {
			q.remove(f)
		}
	}
}
