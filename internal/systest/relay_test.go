package systest

import (
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// relay forwards TCP connections to an agent and can close, freeze or delay them.
type relay struct {
	listener net.Listener

	mu        sync.Mutex
	conns     map[net.Conn]bool
	cut       bool
	delay     time.Duration
	entryGate chan struct{} // closed unless data to the entry is frozen
	target    string
	agentGate chan struct{} // closed unless data to the agent is frozen
}

func startRelay(t testing.TB) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &relay{conns: map[net.Conn]bool{}, listener: l, entryGate: openGate(), agentGate: openGate()}
	t.Cleanup(func() {
		_ = l.Close()
		r.setCut(true)
	})
	go r.accept()
	return r
}

func openGate() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

func (r *relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		target, cut := r.target, r.cut
		r.mu.Unlock()
		out, err := net.Dial("tcp", target)
		if err != nil || cut {
			_ = in.Close()
			continue
		}
		r.mu.Lock()
		r.conns[in], r.conns[out] = true, true
		r.mu.Unlock()
		go r.forward(out, in, func() chan struct{} { return r.agentGate })
		go r.forward(in, out, func() chan struct{} { return r.entryGate })
	}
}

func (r *relay) forward(to, from net.Conn, currentGate func() chan struct{}) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		r.mu.Lock()
		gate, delay := currentGate(), r.delay
		r.mu.Unlock()
		<-gate
		time.Sleep(delay)
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

func (r *relay) address() string { return r.listener.Addr().String() }

// setCut closes all connections and refuses new ones, or accepts new ones again.
func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	for c := range r.conns {
		if cut {
			_ = c.Close()
			delete(r.conns, c)
		}
	}
	if cut {
		r.entryGate, r.agentGate = openGate(), openGate()
	}
}

func (r *relay) setDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// freezeToEntry blocks the data from the agent until the next cut.
func (r *relay) freezeToEntry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entryGate = make(chan struct{})
}

// freezeToAgent blocks the data from the entry until the next cut.
func (r *relay) freezeToAgent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.agentGate = make(chan struct{})
}

func (r *relay) setTarget(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = address
}
