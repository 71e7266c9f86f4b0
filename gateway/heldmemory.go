package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"sandbarrow.example/sandbarrow/heldbytes"
	"sandbarrow.example/sandbarrow/internal/pause"
)

const (
	// memoryPause is the pause between two checks for room for a response.
	memoryPause = 10 * time.Millisecond
	// memoryRetryAfter is the mean time after which a caller that was refused for want of memory may
	// retry. Most responses have been read by then.
	memoryRetryAfter = time.Second
)

// errNoMemory means that the gateway holds too much to read a body.
const errNoMemory = errors.ConstError("gateway: too much memory held")

// heldMemory is what a call has counted in the gateway's budget.
type heldMemory struct {
	budget *heldbytes.Budget
	bytes  int64
	// response is the part of bytes that the response of the current attempt holds.
	response int64
}

// newMemoryBudget returns the gateway's budget and registers its metric.
func newMemoryBudget(c *Config) *heldbytes.Budget {
	b := heldbytes.NewBudget(c.MemoryMB)
	c.Metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "sandbarrow_gateway_held_bytes", Help: "Bytes held for requests: their bodies, responses that are being read or written, and buffers.",
	}, func() float64 { return float64(b.Held()) }))
	return b
}

// acquire counts bytes that the call needs before it has been sent to an upstream.
func (m *heldMemory) acquire(bytes int64) bool {
	if !m.budget.Acquire(bytes, m.bytes, heldbytes.NewWork) {
		return false
	}
	m.bytes += bytes
	return true
}

// add counts bytes that are held already; a negative number releases some.
func (m *heldMemory) add(bytes int64) {
	m.budget.Add(bytes)
	m.bytes += bytes
}

// releaseMemory releases everything at the end of the call.
func (c *call) releaseMemory() {
	if c.memory.budget != nil {
		c.memory.add(-c.memory.bytes)
		c.memory.budget.AddRequests(-1)
	}
}

// await counts bytes of a response before they are read; a negative number releases some. It waits for
// room until ctx ends, and the upstream's response is not read meanwhile. A large response that has been
// read in part doesn't wait: such responses could wait for each other.
func (m *heldMemory) await(ctx context.Context, bytes int64) error {
	if bytes <= 0 {
		m.add(bytes)
		m.response += bytes
		return nil
	}
	use := m.budget.UseOfResponse(m.response + bytes)
	for !m.budget.Acquire(bytes, m.bytes, use) {
		if ctx.Err() != nil || m.response > 0 && use == heldbytes.LargeResponse {
			return errors.Annotatef(errNoMemory, "%d bytes of a response, of which %d were read", bytes, m.response)
		}
		pause.For(ctx, memoryPause)
	}
	m.bytes += bytes
	m.response += bytes
	return nil
}

// admitMemory refuses a request that the gateway has no memory for. It reports whether the request
// is admitted.
func (c *call) admitMemory() bool {
	c.memory.budget = c.gateway.memory
	c.memory.budget.AddRequests(1)
	if !c.memory.acquire(heldbytes.RequestBytes) {
		c.refuseForMemory()
		return false
	}
	return true
}

func (c *call) refuseForMemory() {
	c.refuseWithRetryAfter(http.StatusServiceUnavailable, reasonMemory, jitter(memoryRetryAfter))
}

// countedBody counts the bytes of a request's body as they arrive.
type countedBody struct {
	io.ReadCloser
	memory *heldMemory
}

// Read reads into p as much as the budget allows.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && !b.memory.acquire(int64(n)) {
		return 0, errNoMemory
	}
	return n, err
}
