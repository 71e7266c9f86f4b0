package permit

import (
	"cmp"
	"slices"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/fairqueue"
)

// waiting is one request that waits for its permit.
type waiting struct {
	Request
	// deadline is when the response must be complete.
	deadline time.Time
}

// priorityQueue holds the waiting requests of one priority. Workspaces take turns in units of the
// expected service time.
type priorityQueue struct {
	priority int
	queue    *fairqueue.Queue[sandbarrow.WorkspaceID, *waiting]
}

// queues holds the waiting requests, the most urgent priority first. A queue exists while any request
// of its priority waits.
type queues []priorityQueue

func (q queues) len() int {
	n := 0
	for _, c := range q {
		n += c.queue.Len()
	}
	return n
}

// push adds a request.
func (q *queues) push(w *waiting) {
	at, found := slices.BinarySearchFunc(*q, w.Priority, func(c priorityQueue, want int) int { return cmp.Compare(c.priority, want) })
	if !found {
		*q = slices.Insert(*q, at, priorityQueue{priority: w.Priority, queue: fairqueue.New[sandbarrow.WorkspaceID, *waiting](1)})
	}
	(*q)[at].queue.Push(w.Workspace, 1, w)
}

// pop removes the request that is next, or returns nil.
func (q *queues) pop() *waiting {
	if len(*q) == 0 {
		return nil
	}
	w, _ := (*q)[0].queue.Pop()
	q.dropEmpty()
	return w
}

// charge corrects the service that a workspace has used, in units of the expected service time.
func (q queues) charge(priority int, w sandbarrow.WorkspaceID, difference float64) {
	for _, other := range q {
		if other.priority == priority {
			other.queue.Charge(w, difference)
		}
	}
}

// order returns the waiting requests in the order of their grants, if none is added.
func (q queues) order() []*waiting {
	var all []*waiting
	for _, c := range q {
		all = append(all, c.queue.Order()...)
	}
	return all
}

// removeFunc removes the requests that match.
func (q *queues) removeFunc(match func(*waiting) bool) {
	for _, c := range *q {
		c.queue.RemoveFunc(match)
	}
	q.dropEmpty()
}

func (q *queues) dropEmpty() {
	*q = slices.DeleteFunc(*q, func(c priorityQueue) bool { return c.queue.Len() == 0 })
}
