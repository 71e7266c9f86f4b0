package controller

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPendingLoadValue(t *testing.T) {
	now := time.Now()
	request := func(priority int, useful time.Duration) *pendingRequest {
		return &pendingRequest{priority: priority, usefulUntil: now.Add(useful)}
	}
	for name, tc := range map[string]struct {
		requests []*pendingRequest
		want     float64
	}{
		"urgent":              {[]*pendingRequest{request(0, time.Second)}, 1},
		"late":                {[]*pendingRequest{request(0, -1)}, lateWeight},
		"less urgent":         {[]*pendingRequest{request(1, time.Second)}, 1 / 1.4},
		"sum of two requests": {[]*pendingRequest{request(0, time.Second), request(0, -1)}, 1 + lateWeight},
	} {
		w := pendingLoad{requests: tc.requests}
		assert.Assert(t, math.Abs(w.value(now)-tc.want) < 1e-9, name)
	}
}
