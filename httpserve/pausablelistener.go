package httpserve

import (
	"net"
	"sync"

	"github.com/juju/errors"
)

// PauseCause is why a listener is paused.
type PauseCause string

// PausableListener is a TCP listener that can stop listening for a time. While it is paused, new
// connections are refused at once, so that callers try another process without a request of theirs
// having been read. It is safe for concurrent use.
type PausableListener struct {
	address net.Addr

	mu     sync.Mutex
	causes map[PauseCause]bool
	closed bool
	// current is nil while the listener is paused. changed is closed with the next change of current.
	current net.Listener
	changed chan struct{}
}

// NewPausableListener returns a listener that accepts the connections of l until it is paused, and
// those of a new listener at the same address once it is resumed.
func NewPausableListener(l net.Listener) *PausableListener {
	return &PausableListener{address: l.Addr(), causes: map[PauseCause]bool{}, changed: make(chan struct{}), current: l}
}

// Accept returns the next connection. It waits while the listener is paused.
func (l *PausableListener) Accept() (net.Conn, error) {
	for {
		l.mu.Lock()
		current, changed, closed := l.current, l.changed, l.closed
		l.mu.Unlock()
		if closed {
			return nil, net.ErrClosed
		}
		if current == nil {
			<-changed
			continue
		}
		conn, err := current.Accept()
		if err == nil || !errors.Is(err, net.ErrClosed) {
			return conn, err
		}
	}
}

// Addr returns the address, also while the listener is paused.
func (l *PausableListener) Addr() net.Addr { return l.address }

// Close closes the listener for good.
func (l *PausableListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return net.ErrClosed
	}
	l.closed = true
	return l.replace(nil)
}

// Pause pauses the listener for a cause, besides those for which it is paused already.
func (l *PausableListener) Pause(cause PauseCause) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.causes[cause] {
		return nil
	}
	l.causes[cause] = true
	return l.replace(nil)
}

// Resume ends a pause for a cause. The listener listens again once it is paused for none. If that
// fails, the cause remains and Resume may be called again.
func (l *PausableListener) Resume(cause PauseCause) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || !l.causes[cause] {
		return nil
	}
	if len(l.causes) > 1 {
		delete(l.causes, cause)
		return nil
	}
	next, err := net.Listen(l.address.Network(), l.address.String())
	if err != nil {
		return errors.Annotatef(err, "listen again at %s", l.address)
	}
	delete(l.causes, cause)
	return l.replace(next)
}

// replace replaces the current listener and wakes Accept. The caller holds mu.
func (l *PausableListener) replace(next net.Listener) error {
	last := l.current
	l.current = next
	close(l.changed)
	l.changed = make(chan struct{})
	if last == nil {
		return nil
	}
	return errors.Trace(last.Close())
}
