//go:build review

package main

import (
	"io"
	"net"
	"sync"
)

// proxy passes connections on to an address. While it is cut, no byte passes, and new connections get no
// answer, as behind a cut.
type proxy struct {
	address, to string

	mu    sync.Mutex
	cut   chan struct{} // not nil while cut, closed at its end
	conns map[net.Conn]bool
}

func startProxy(to string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	p := &proxy{address: l.Addr().String(), to: to, conns: map[net.Conn]bool{}}
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(near)
		}
	}()
	return p
}

func (p *proxy) serve(near net.Conn) {
	defer near.Close()
	p.await()
	far, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer far.Close()
	go func() {
		p.pass(far, near)
		_ = far.Close()
	}()
	p.pass(near, far)
}

// await returns once the proxy is not cut.
func (p *proxy) await() {
	for {
		p.mu.Lock()
		cut := p.cut
		p.mu.Unlock()
		if cut == nil {
			return
		}
		<-cut
	}
}

func (p *proxy) pass(to io.Writer, from io.Reader) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.await()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) setCut(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case on && p.cut == nil:
		p.cut = make(chan struct{})
	case !on && p.cut != nil:
		close(p.cut)
		p.cut = nil
	}
}
