package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleCloser closes callers' connections that are idle for longer than the operators allow. It
// reads the bound whenever a connection becomes idle, because operators may change it at any time.
type idleCloser struct {
	// bound returns how long a connection may be idle; with 0, the server's own timeout applies.
	bound func() time.Duration

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleCloser(bound func() time.Duration) *idleCloser {
	return &idleCloser{bound: bound, timers: map[net.Conn]*time.Timer{}}
}

// trackState follows the state of a connection; it is an http.Server's ConnState.
func (i *idleCloser) trackState(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if timer := i.timers[c]; timer != nil {
		timer.Stop()
		delete(i.timers, c)
	}
	if s != http.StateIdle {
		return
	}
	if bound := i.bound(); bound > 0 {
		i.timers[c] = time.AfterFunc(bound, func() { i.close(c) })
	}
}

// close closes a connection that is still idle.
func (i *idleCloser) close(c net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.timers[c] == nil {
		return
	}
	delete(i.timers, c)
	_ = c.Close() // the caller may have closed it already
}
