//go:build review

package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// proxy passes connections on. Those that are open can go silent for good: their bytes, and their end,
// are lost in both directions, while new connections work.
type proxy struct {
	target string

	mu     sync.Mutex
	silent *atomic.Bool
}

func newProxy(listen, target string) *proxy {
	p := &proxy{target: target, silent: &atomic.Bool{}}
	listener, err := net.Listen("tcp", listen)
	must(err)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			silent := p.silent
			p.mu.Unlock()
			go p.serve(conn, silent)
		}
	}()
	return p
}

// silence makes the open connections go silent.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent.Store(true)
	p.silent = &atomic.Bool{}
}

func (p *proxy) serve(near net.Conn, silent *atomic.Bool) {
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = near.Close()
		return
	}
	pass := func(to, from net.Conn) {
		buffer := make([]byte, 16<<10)
		for {
			n, err := from.Read(buffer)
			if silent.Load() {
				_, _ = io.Copy(io.Discard, from)
				return // the other side hears of no end
			}
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					_ = from.Close()
					return
				}
			}
			if err != nil {
				_ = to.Close()
				return
			}
		}
	}
	go pass(near, far)
	pass(far, near)
}
