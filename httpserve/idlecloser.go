package httpserve

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

// recheckInterval is the time after which a connection that was not idle after all is looked at again.
const recheckInterval = 500 * time.Millisecond

// IdleCloser closes callers' connections that are idle for longer than the operators allow, those
// that have been idle for longest where there are too many, and all idle ones of a process that stops.
// It reads the bound whenever a connection becomes idle, because operators may change it at any time.
// It is safe for concurrent use.
//
// A connection is not idle from the first byte of its next request on, whatever the server has noticed
// of it: the request may have been read, and would be passed on without a way back for its response.
type IdleCloser struct {
	bound func() time.Duration

	mu sync.Mutex
	// waiting holds the connections whose server waits for a request, the longest waiting first, and
	// elements their places in it.
	waiting  *list.List
	elements map[*Conn]*list.Element
}

// waitingConn is a connection whose server waits for a request; timer is nil while there is no bound.
type waitingConn struct {
	conn *Conn
	// fresh is set before the first request.
	fresh bool
	timer *time.Timer
}

// NewIdleCloser returns a closer that follows no connection yet. bound returns how long a connection
// may be idle; with 0 there is no bound.
func NewIdleCloser(bound func() time.Duration) *IdleCloser {
	return &IdleCloser{bound: bound, elements: map[*Conn]*list.Element{}, waiting: list.New()}
}

// CloseAll closes all idle connections. One that has not carried a request yet counts as idle after
// headerTimeout.
func (i *IdleCloser) CloseAll(cause CloseCause) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for element := i.waiting.Front(); element != nil; {
		w, next := element.Value.(waitingConn), element.Next()
		if (!w.fresh || w.conn.waited() > headerTimeout) && w.conn.closeIfIdle(cause) {
			i.forget(w.conn)
		}
		element = next
	}
}

// CloseLongest closes the connection that has been idle for longest. It reports whether one was idle.
func (i *IdleCloser) CloseLongest() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	for element := i.waiting.Front(); element != nil; element = element.Next() {
		w := element.Value.(waitingConn)
		if !w.fresh && w.conn.closeIfIdle(ClosedForRoom) {
			i.forget(w.conn)
			return true
		}
	}
	return false
}

// TrackState follows the state of a connection, which must be a *Conn. It is the ConnState of an
// http.Server.
func (i *IdleCloser) TrackState(conn net.Conn, s http.ConnState) {
	c := conn.(*Conn)
	c.setState(s)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.forget(c)
	if s != http.StateNew && s != http.StateIdle {
		return
	}
	w := waitingConn{conn: c, fresh: s == http.StateNew}
	if bound := i.bound(); bound > 0 && !w.fresh {
		w.timer = time.AfterFunc(bound, func() { i.close(c) })
	}
	i.elements[c] = i.waiting.PushBack(w)
}

// close closes a connection whose server still waits for a request, or looks at it again later.
func (i *IdleCloser) close(c *Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	element := i.elements[c]
	if element == nil {
		return
	}
	if c.closeIfIdle(ClosedIdle) {
		i.forget(c)
		return
	}
	element.Value.(waitingConn).timer.Reset(recheckInterval)
}

// forget stops following a connection. The caller holds mu.
func (i *IdleCloser) forget(c *Conn) {
	element := i.elements[c]
	if element == nil {
		return
	}
	if timer := element.Value.(waitingConn).timer; timer != nil {
		timer.Stop()
	}
	i.waiting.Remove(element)
	delete(i.elements, c)
}
