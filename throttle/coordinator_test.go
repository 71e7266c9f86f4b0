package throttle

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
)

const upstream sandbarrow.InstanceID = "u@1"

// named is the record of a limit that was named just now.
func named(rate Rate) Record { return Record{Instance: upstream, Rate: rate} }

func TestCoordinatorGrantsAtLimitRate(t *testing.T) {
	for _, rate := range []Rate{0, 0.2, 0.5, 1.4, 7, 50} {
		now := time.Now()
		var c Coordinator
		granted := 0
		const seconds = 100
		for range seconds * 200 {
			now = now.Add(5 * time.Millisecond)
			if c.Acquire(now, named(rate), 0).Granted {
				granted++
			}
		}
		want := rate.effective() * seconds
		assert.Assert(t, float64(granted) <= want+maxBurst && float64(granted) >= 0.95*want-1, "%v a second: %d granted in %d s", rate, granted, seconds)
	}
}

// A refusal states the time after which a send is granted.
func TestRefusedSendIsGrantedAfterWait(t *testing.T) {
	now := time.Now()
	var c Coordinator
	refused := c.Acquire(now, named(0.5), 0)
	assert.Assert(t, !refused.Granted && refused.Wait > 0)
	assert.Assert(t, !c.Acquire(now.Add(refused.Wait-time.Millisecond), named(0.5), 0).Granted)
	assert.Assert(t, c.Acquire(now.Add(refused.Wait+time.Millisecond), named(0.5), 0).Granted)
}

// A send may be granted ahead of time with a delay; the number of such sends is bounded.
func TestGrantsAheadAreBounded(t *testing.T) {
	now := time.Now()
	var c Coordinator
	first := c.Acquire(now, named(10), 150*time.Millisecond)
	assert.Assert(t, first.Granted && first.Wait == 100*time.Millisecond, "%v", first)
	assert.Assert(t, !c.Acquire(now, named(10), 150*time.Millisecond).Granted, "the next send is 200 ms away")
	ahead := 0
	for range 100 {
		if c.Acquire(now, named(10), time.Hour).Granted {
			ahead++
		}
	}
	assert.Assert(t, float64(ahead) <= maxDebt)
}

func TestUnusedSendsAreReturned(t *testing.T) {
	now := time.Now()
	var c Coordinator
	c.Acquire(now, named(0.5), 0)
	now = now.Add(2100 * time.Millisecond)
	assert.Assert(t, c.Acquire(now, named(0.5), 0).Granted)
	assert.Assert(t, !c.Acquire(now, named(0.5), 0).Granted)
	c.CountSends(now, named(0.5), -1)
	assert.Assert(t, c.Acquire(now, named(0.5), 0).Granted)
}

func TestEndedLimitGrantsAllSends(t *testing.T) {
	now := time.Now()
	var c Coordinator
	old := named(0.5)
	assert.Assert(t, !c.Acquire(now, old, 0).Granted)
	now = now.Add(time.Second)
	c.CountSends(now, Record{Ended: true, Instance: upstream}, 0)
	old.AgeMS = 1000
	for range 10 {
		assert.Assert(t, c.Acquire(now, old, 0).Granted, "the requesting process still has the old limit")
	}
	now = now.Add(time.Second)
	assert.Assert(t, !c.Acquire(now, named(0.5), 0).Granted, "the upstream names a limit again")
}

// Processes that can reach no other process grant one share of the limit each.
func TestStandaloneCoordinatorsStayWithinLimit(t *testing.T) {
	now := time.Now()
	coordinators := make([]Coordinator, 8)
	granted := 0
	for range 400 {
		now = now.Add(100 * time.Millisecond)
		for i := range coordinators {
			coordinators[i].Shares = len(coordinators)
			if coordinators[i].Acquire(now, named(1.4), 0).Granted {
				granted++
			}
		}
	}
	assert.Assert(t, granted >= 40 && granted <= 56+8, "%d granted in 40 s", granted)
}

// coldNow is the record of an upstream that is cold and accepts a request rate.
func coldNow(rate Rate) Record {
	return Record{AgeMS: limitRetention.Milliseconds(), ColdMS: 3000, ColdRate: rate, Ended: true, Instance: upstream}
}

// coordinatorSim simulates processes that request sends from two coordinators of one upstream's
// limit. A coordinator may lose its state, or be unreachable for some of the processes for a while.
// Each grant is reported to the other coordinator if that is reachable.
type coordinatorSim struct {
	coordinators [2]Coordinator
	// reaches says which process reaches which coordinator.
	reaches [][2]bool
	// record returns the record of the upstream's limit.
	record func(Rate) Record
	sends  []time.Time
}

// request requests a send from the preferred reachable coordinator, and reports a grant to the
// other.
func (s *coordinatorSim) request(now time.Time, process int, rate Rate) {
	for i := range s.coordinators {
		if !s.reaches[process][i] {
			continue
		}
		if s.coordinators[i].Acquire(now, s.record(rate), 0).Granted {
			s.sends = append(s.sends, now)
			if s.reaches[process][1-i] {
				s.coordinators[1-i].CountSends(now, s.record(rate), 1)
			}
		}
		return
	}
}

// cut makes one coordinator reachable for some processes only, and the other one for all.
func (s *coordinatorSim) cut(r *rand.Rand, coordinator int) {
	for i := range s.reaches {
		s.reaches[i] = [2]bool{true, true}
		s.reaches[i][coordinator] = r.IntN(2) == 0
	}
}

func TestTwoCoordinatorsStayNearLimit(t *testing.T) {
	checkTwoCoordinators(t, named, 4*time.Second)
}

// The number of requests that a cold upstream gets is bounded within each second.
func TestTwoCoordinatorsStayNearRateOfColdUpstream(t *testing.T) {
	checkTwoCoordinators(t, coldNow, time.Second)
}

// checkTwoCoordinators checks that two coordinators stay near a limit within each window of the given
// length, while they lose their state or are unreachable for some processes.
func checkTwoCoordinators(t *testing.T, record func(Rate) Record, window time.Duration) {
	t.Helper()
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		rate := []Rate{0.3, 0.5, 1.4, 5, 20}[r.IntN(5)]
		s := coordinatorSim{reaches: make([][2]bool, 2+r.IntN(12)), record: record}
		for i := range s.reaches {
			s.reaches[i] = [2]bool{true, true}
		}
		began := time.Now()
		const length = 60 * time.Second
		for now := began; now.Before(began.Add(length)); now = now.Add(10 * time.Millisecond) {
			if r.IntN(150) == 0 {
				s.cut(r, r.IntN(2))
			}
			if r.IntN(800) == 0 {
				s.coordinators[r.IntN(2)] = Coordinator{}
			}
			s.request(now, r.IntN(len(s.reaches)), rate)
		}
		busiest := 0
		for i, from := range s.sends {
			n := 0
			for _, at := range s.sends[i:] {
				if at.Before(from.Add(window)) {
					n++
				}
			}
			busiest = max(busiest, n)
		}
		allowed := 1.5*float64(rate)*window.Seconds() + 5
		assert.Assert(t, float64(busiest) <= allowed, "seed %d, %v a second: %d in %v, %v allowed", seed, rate, busiest, window, allowed)
		assert.Assert(t, float64(len(s.sends)) >= 0.7*float64(rate)*length.Seconds(), "seed %d, %v a second: %d in %v", seed, rate, len(s.sends), length)
	}
}
