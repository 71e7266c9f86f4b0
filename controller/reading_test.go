package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/readspeed"
)

func TestReadingCountsWhatWaits(t *testing.T) {
	now := time.Unix(0, 0)
	var r reading
	chat, brief := &pin{unread: 500}, &pin{priority: 1, unread: 9000}
	r.granted(now, chat)
	r.granted(now, brief)
	assert.Equal(t, r.waiting(), enginelink.Waiting{500, 9000})
	r.begun(now.Add(30*time.Millisecond), chat)
	r.begun(now.Add(40*time.Millisecond), chat)
	assert.Equal(t, r.waiting(), enginelink.Waiting{0, 9000})
	assert.Check(t, r.forget(brief))
	assert.Check(t, !r.forget(brief))
	assert.Equal(t, r.waiting(), enginelink.Waiting{})
}

func TestReadingLearnsTheSpeed(t *testing.T) {
	engine := readspeed.Speed{Base: 10 * time.Millisecond, PerToken: 20 * time.Microsecond}
	for name, every := range map[string]time.Duration{"idle": time.Second, "busy": 110 * time.Millisecond} {
		var r reading
		now := time.Unix(0, 0)
		free := now
		type read struct {
			at  time.Time
			pin *pin
		}
		var under []read
		for i := range 300 {
			now = now.Add(every)
			for len(under) > 0 && !under[0].at.After(now) {
				r.begun(under[0].at, under[0].pin)
				under = under[1:]
			}
			p := &pin{unread: []int{800, 9000, 3000, 6000}[i%4]}
			r.granted(now, p)
			if free.Before(now) {
				free = now
			}
			free = free.Add(engine.TimeToFirstEvent(p.unread))
			under = append(under, read{free, p})
		}
		got := r.speed.Speed()
		assert.Check(t, got.TimeToFirstEvent(6000) > engine.TimeToFirstEvent(6000)*7/10 && got.TimeToFirstEvent(6000) < engine.TimeToFirstEvent(6000)*13/10, "%s: %v", name, got)
	}
}
