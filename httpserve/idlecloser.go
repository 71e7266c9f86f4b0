package httpserve

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

// IdleCloser closes callers' connections that are idle for longer than the operators allow, and those
// that have been idle for longest where there are too many. It reads the bound whenever a connection
// becomes idle, because operators may change it at any time. It is safe for concurrent use.
type IdleCloser struct {
	bound func() time.Duration

	mu sync.Mutex
	// idle holds the idle connections, longest idle first, and elements their places in it.
	idle     *list.List
	elements map[net.Conn]*list.Element
}

// idleConn is an idle connection; timer is nil while there is no bound.
type idleConn struct {
	conn  net.Conn
	timer *time.Timer
}

// NewIdleCloser returns a closer that follows no connection yet. bound returns how long a connection
// may be idle; with 0, the server's own timeout applies.
func NewIdleCloser(bound func() time.Duration) *IdleCloser {
	return &IdleCloser{bound: bound, elements: map[net.Conn]*list.Element{}, idle: list.New()}
}

// CloseLongest closes the connection that has been idle for longest. It reports whether one was idle.
func (i *IdleCloser) CloseLongest() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	longest := i.idle.Front()
	if longest == nil {
		return false
	}
	c := longest.Value.(idleConn).conn
	i.forget(c)
	closeConn(c, ClosedForRoom)
	return true
}

// TrackState follows the state of a connection. It is the ConnState of an http.Server.
func (i *IdleCloser) TrackState(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if own, ok := c.(*Conn); ok {
		own.setState(s)
	}
	i.forget(c)
	if s != http.StateIdle {
		return
	}
	entry := idleConn{conn: c}
	if bound := i.bound(); bound > 0 {
		entry.timer = time.AfterFunc(bound, func() { i.close(c) })
	}
	i.elements[c] = i.idle.PushBack(entry)
}

// close closes a connection that is still idle.
func (i *IdleCloser) close(c net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.elements[c] == nil {
		return
	}
	i.forget(c)
	closeConn(c, ClosedIdle)
}

// closeConn closes a connection for a cause.
func closeConn(c net.Conn, cause CloseCause) {
	if own, ok := c.(*Conn); ok {
		own.closeFor(cause)
		return
	}
	_ = c.Close() // the caller may have closed it already
}

// forget stops following a connection. The caller holds mu.
func (i *IdleCloser) forget(c net.Conn) {
	element := i.elements[c]
	if element == nil {
		return
	}
	if timer := element.Value.(idleConn).timer; timer != nil {
		timer.Stop()
	}
	i.idle.Remove(element)
	delete(i.elements, c)
}
