package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/readspeed"
)

func TestPrefillsCountWaitingTokens(t *testing.T) {
	now := time.Unix(0, 0)
	var r prefills
	chat, batch := &pin{toPrefill: 500}, &pin{priority: 1, toPrefill: 9000}
	r.add(now, chat)
	r.add(now, batch)
	assert.Equal(t, r.waiting(), enginelink.Waiting{500, 9000})
	r.responseStarted(now.Add(30*time.Millisecond), chat)
	r.responseStarted(now.Add(40*time.Millisecond), chat)
	assert.Equal(t, r.waiting(), enginelink.Waiting{0, 9000})
	assert.Check(t, r.remove(batch))
	assert.Check(t, !r.remove(batch))
	assert.Equal(t, r.waiting(), enginelink.Waiting{})
}

func TestPrefillsEstimateSpeed(t *testing.T) {
	engine := readspeed.Speed{Base: 10 * time.Millisecond, PerToken: 20 * time.Microsecond}
	for name, every := range map[string]time.Duration{"idle": time.Second, "busy": 110 * time.Millisecond} {
		var r prefills
		now := time.Unix(0, 0)
		free := now
		type run struct {
			at  time.Time
			pin *pin
		}
		var running []run
		for i := range 300 {
			now = now.Add(every)
			for len(running) > 0 && !running[0].at.After(now) {
				r.responseStarted(running[0].at, running[0].pin)
				running = running[1:]
			}
			p := &pin{toPrefill: []int{800, 9000, 3000, 6000}[i%4]}
			r.add(now, p)
			if free.Before(now) {
				free = now
			}
			free = free.Add(engine.TimeToFirstEvent(p.toPrefill))
			running = append(running, run{free, p})
		}
		got := r.speed.Speed()
		assert.Check(t, got.TimeToFirstEvent(6000) > engine.TimeToFirstEvent(6000)*7/10 && got.TimeToFirstEvent(6000) < engine.TimeToFirstEvent(6000)*13/10, "%s: %v", name, got)
	}
}
