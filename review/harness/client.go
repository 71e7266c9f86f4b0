//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const host = "a.example"

// answer is what a client saw of one request.
type answer struct {
	id          string
	sent, ended time.Time
	status      int // 0 if the connection ended without a complete answer
	stamp       string
	body        string
}

// clients send unsafe requests to gateways at a steady rate, and keep what they saw.
type clients struct {
	next atomic.Int64

	mu      sync.Mutex
	answers map[string]answer
}

// load sends requests to a gateway at a rate per second until ctx ends.
func (c *clients) load(ctx context.Context, front, path string, rate int, deadline time.Duration, wait *sync.WaitGroup) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		wait.Go(func() { c.send(client, front, path, deadline) })
	}
}

func (c *clients) send(client *http.Client, front, path string, deadline time.Duration) {
	a := answer{id: fmt.Sprintf("%016x", c.next.Add(1))}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+path, strings.NewReader("pay "+a.id))
	check(err)
	q.Host = host
	q.GetBody = nil // the transport must not send it again
	q.Header.Set("X-Sandbarrow-Request-Id", a.id)
	q.Header.Set("X-Sandbarrow-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	a.sent = time.Now()
	r, err := client.Do(q)
	if err == nil {
		body, readErr := io.ReadAll(r.Body)
		_ = r.Body.Close()
		if readErr == nil {
			a.status, a.stamp, a.body = r.StatusCode, r.Header.Get("X-Sandbarrow-Server-Stamp"), string(body)
		}
	}
	a.ended = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[a.id] = a
}
