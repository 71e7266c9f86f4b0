package gateway

import (
	"context"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/readspeed"
)

func TestStallTimeout(t *testing.T) {
	speed := readspeed.Speed{Base: time.Second, PerToken: 52 * time.Microsecond}
	assert.Equal(t, stallTimeout(false, 0, speed, false), firstEventTimeout)
	assert.Equal(t, stallTimeout(false, 100_000, speed, false), firstEventTimeout+5200*time.Millisecond, "the prompts ahead are prefilled first")
	assert.Equal(t, stallTimeout(true, 100_000, speed, false), nextEventTimeout, "its own prompt has been prefilled")
	assert.Equal(t, stallTimeout(false, 100_000, speed, true), unreachableTimeout)
	assert.Equal(t, stallTimeout(true, 0, speed, true), unreachableTimeout)
}

// The cause of a stalled attempt is the stall, not the error of its closed connection.
func TestStalledAttemptIsLoggedAsStalled(t *testing.T) {
	c := &call{}
	ctx, cancel := context.WithCancelCause(t.Context())
	assert.Equal(t, c.failAttempt(ctx, resultBroken, io.ErrUnexpectedEOF), resultBroken)
	assert.Equal(t, c.cause, io.ErrUnexpectedEOF)
	cancel(errStalled)
	assert.Equal(t, c.failAttempt(ctx, resultBroken, io.ErrUnexpectedEOF), resultBroken)
	assert.Equal(t, c.cause, error(errStalled))
}

func TestStandstillOfThisProcessIsNoStall(t *testing.T) {
	const timeout = nextEventTimeout
	onTime := progressCheckInterval + 5*time.Millisecond
	assert.Assert(t, isStalled(timeout+1, timeout, onTime, false))
	assert.Assert(t, !isStalled(timeout, timeout, onTime, false))
	assert.Assert(t, !isStalled(2*timeout, timeout, onTime, true), "bytes wait to be read")
	assert.Assert(t, !isStalled(2*timeout, timeout, timeout, false), "this process stood still")
}
