package crash

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
)

// simulation models, in discrete time steps, gateways with a Log each, upstreams that crash by
// themselves, callers that retry failed requests, and fatal requests that crash each upstream
// that starts to run them.
type simulation struct {
	rand *rand.Rand
	now  time.Time

	// crashRate is how often an upstream crashes by itself, per second.
	crashRate float64
	fatal     int
	gateways  []*Log
	upstreams []*simulatedUpstream
	// running are the requests that run now, on any upstream.
	running []*simulatedRun

	unrelated, unrelatedRefused, unrelatedServed int
	// concurrent counts the refused unrelated requests that had run at the same time as
	// a fatal one.
	concurrent int
	// fatalCrashes are the instances that a fatal request crashed.
	fatalCrashes              map[sandbarrow.InstanceID]bool
	attempts, crashedAttempts int
	// crashesByFatal counts the crashes by each fatal request. sentAfter counts its sends later
	// than propagationBound after the third crash.
	crashesByFatal, sentAfter []int
	thirdCrash                []time.Time
}

const (
	simulationStep   = 10 * time.Millisecond
	restartDuration  = 1500 * time.Millisecond
	propagationBound = 3 * time.Second
	// maxAttempts is how often a caller sends a request that fails.
	maxAttempts = 6
)

type simulatedUpstream struct {
	starts      int
	restartedAt time.Time
}

type simulatedRun struct {
	// fatal is the number of a fatal request, or -1.
	fatal   int
	gateway *Log
	// print is the fingerprint of the request.
	print    Fingerprint
	sends    int
	finishAt time.Time
	upstream int
}

func newSimulation(seed uint64, gateways, upstreams, fatal int, crashRate float64) *simulation {
	s := &simulation{rand: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), crashRate: crashRate, fatal: fatal, fatalCrashes: map[sandbarrow.InstanceID]bool{}}
	for range gateways {
		s.gateways = append(s.gateways, NewLog(func() time.Time { return s.now }))
	}
	for range upstreams {
		s.upstreams = append(s.upstreams, &simulatedUpstream{})
	}
	s.crashesByFatal, s.sentAfter, s.thirdCrash = make([]int, fatal), make([]int, fatal), make([]time.Time, fatal)
	return s
}

func (s *simulation) run(steps int, perSecond float64, maxDuration time.Duration) {
	busy := make([]bool, s.fatal)
	for range steps {
		s.now = s.now.Add(simulationStep)
		for n := s.rand.Float64() + perSecond*simulationStep.Seconds(); n >= 1; n-- {
			s.unrelated++
			s.send(&simulatedRun{fatal: -1, print: NewFingerprint([]byte(strconv.Itoa(s.unrelated)))}, maxDuration)
		}
		for i := range busy {
			busy[i] = false
		}
		for _, r := range s.running {
			if r.fatal >= 0 {
				busy[r.fatal] = true
			}
		}
		for i := range busy {
			if !busy[i] && s.rand.IntN(5) == 0 {
				s.send(&simulatedRun{fatal: i, print: NewFingerprint([]byte("fatal"), []byte(strconv.Itoa(i)))}, maxDuration)
			}
		}
		s.finish(maxDuration)
		for u := range s.upstreams {
			if s.isUp(u) && s.rand.Float64() < s.crashRate*simulationStep.Seconds() {
				s.crashUpstream(u, maxDuration)
			}
		}
		s.mergeLogs()
	}
}

func (s *simulation) instance(u int) sandbarrow.InstanceID {
	return sandbarrow.InstanceID(fmt.Sprintf("u%d-%d", u, s.upstreams[u].starts))
}

func (s *simulation) isUp(u int) bool { return !s.now.Before(s.upstreams[u].restartedAt) }

// send sends a request through any gateway to any upstream that is up.
func (s *simulation) send(r *simulatedRun, maxDuration time.Duration) {
	r.sends++
	r.gateway = s.gateways[s.rand.IntN(len(s.gateways))]
	if !r.gateway.Empty() && r.gateway.Decide(r.print, len(s.upstreams)).Refused {
		if r.fatal < 0 {
			s.unrelatedRefused++
			for _, c := range r.gateway.entries[r.print].uncleared() {
				if s.fatalCrashes[c.Upstream] {
					s.concurrent++
					break
				}
			}
		}
		return
	}
	first := s.rand.IntN(len(s.upstreams))
	for i := range s.upstreams {
		u := (first + i) % len(s.upstreams)
		if !s.isUp(u) {
			continue
		}
		r.upstream = u
		r.finishAt = s.now.Add(simulationStep + time.Duration(s.rand.Int64N(int64(maxDuration))))
		if r.fatal >= 0 {
			r.finishAt = s.now.Add(5 * simulationStep)
			if !s.thirdCrash[r.fatal].IsZero() && s.now.After(s.thirdCrash[r.fatal].Add(propagationBound)) {
				s.sentAfter[r.fatal]++
			}
		} else {
			s.attempts++
		}
		s.running = append(s.running, r)
		return
	}
}

// finish completes the runs that are due. An unrelated request is served. A fatal one crashes
// its upstream.
func (s *simulation) finish(maxDuration time.Duration) {
	for {
		due := -1
		for i, r := range s.running {
			if !s.now.Before(r.finishAt) {
				due = i
				break
			}
		}
		if due < 0 {
			return
		}
		r := s.running[due]
		if r.fatal >= 0 {
			s.crashesByFatal[r.fatal]++
			if s.crashesByFatal[r.fatal] == 3 {
				s.thirdCrash[r.fatal] = s.now
			}
			s.fatalCrashes[s.instance(r.upstream)] = true
			s.crashUpstream(r.upstream, maxDuration)
			continue
		}
		s.running = append(s.running[:due], s.running[due+1:]...)
		r.gateway.CountAttempt()
		r.gateway.Clear(r.print)
		s.unrelatedServed++
	}
}

// crashUpstream crashes an upstream. Callers retry the requests that ran there.
func (s *simulation) crashUpstream(u int, maxDuration time.Duration) {
	id := s.instance(u)
	s.upstreams[u].starts++
	s.upstreams[u].restartedAt = s.now.Add(restartDuration)
	broken := map[*Log][]Fingerprint{}
	var retries []*simulatedRun
	remaining := s.running[:0]
	for _, r := range s.running {
		if r.upstream != u {
			remaining = append(remaining, r)
			continue
		}
		broken[r.gateway] = append(broken[r.gateway], r.print)
		r.gateway.CountAttempt()
		if r.fatal < 0 {
			s.crashedAttempts++
		}
		if r.fatal < 0 && r.sends < maxAttempts {
			retries = append(retries, r)
		}
	}
	s.running = remaining
	for _, g := range s.gateways { // in a fixed order
		if len(broken[g]) > 0 {
			g.AddCrash(id, s.now, broken[g]...)
		}
	}
	s.mergeLogs()
	for _, r := range retries {
		s.send(r, maxDuration)
	}
}

// mergeLogs merges each log into all others.
func (s *simulation) mergeLogs() {
	for _, a := range s.gateways {
		records, _ := a.Since(0, nil)
		if len(records) == 0 {
			continue
		}
		for _, b := range s.gateways {
			if a != b {
				b.Merge(a, records)
			}
		}
	}
}

// minRequestsPerFalseRefusal: in a burst in which each upstream crashes by itself every 3.3 s,
// at most one unrelated request in this many may be refused, as maxCoincidenceChance says. At
// lower crash rates none may be refused.
const minRequestsPerFalseRefusal = 10_000

func TestUnrelatedRequestsAreNotRefused(t *testing.T) {
	seeds := uint64(3)
	if text := os.Getenv("SANDBARROW_STORMS"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		assert.NilError(t, err)
		seeds = n
	}
	burstAll, burstRefused := 0, 0
	for _, upstreams := range []int{3, 6, 20} {
		for _, fatal := range []int{0, 1, 2} {
			for _, rate := range []float64{0, 0.05, 0.3} {
				name := fmt.Sprintf("%d upstreams, %d fatal, %.2f crashes a second each", upstreams, fatal, rate)
				refused, concurrent, served, all, maxCrashes, maxAfter, attempts, crashedAttempts := 0, 0, 0, 0, 0, 0, 0, 0
				for seed := range seeds {
					s := newSimulation(seed, 4, upstreams, fatal, rate)
					s.run(1500, 8*float64(upstreams), 800*time.Millisecond)
					refused, served, all = refused+s.unrelatedRefused, served+s.unrelatedServed, all+s.unrelated
					concurrent += s.concurrent
					attempts, crashedAttempts = attempts+s.attempts, crashedAttempts+s.crashedAttempts
					for i := range fatal {
						maxCrashes, maxAfter = max(maxCrashes, s.crashesByFatal[i]), max(maxAfter, s.sentAfter[i])
					}
				}
				t.Logf("%s: %d of %d unrelated requests refused, %d of them concurrent with a fatal one, %d served, %.3f of attempts crashed; a fatal request crashedAttempts at most %d upstreams, with %d sends after the bound",
					name, refused, all, concurrent, served, float64(crashedAttempts)/float64(max(1, attempts)), maxCrashes, maxAfter)
				assert.Check(t, concurrent == 0, name)
				if rate > 0.1 {
					burstAll, burstRefused = burstAll+all, burstRefused+refused
				} else {
					assert.Check(t, refused == 0, name)
				}
				assert.Check(t, maxAfter <= 3, name)
			}
		}
	}
	assert.Check(t, burstRefused*minRequestsPerFalseRefusal <= burstAll, "%d of %d refused in bursts of crashes", burstRefused, burstAll)
}

func TestManyFatalRequestsAreEachRefused(t *testing.T) {
	for _, fatal := range []int{4, 8} {
		for seed := range uint64(3) {
			s := newSimulation(seed, 5, 9, fatal, 0)
			s.run(1500, 60, 800*time.Millisecond)
			for i, sent := range s.sentAfter {
				assert.Check(t, sent <= 3, "seed %d: request %d of %d crashed %d upstreams, with %d sends after the bound", seed, i, fatal, s.crashesByFatal[i], sent)
			}
		}
	}
}

func TestUnrelatedRequestsAreNotRefusedAmongManyFatal(t *testing.T) {
	for _, fatal := range []int{4, 8} {
		for seed := range uint64(3) {
			s := newSimulation(seed, 5, 9, fatal, 0)
			s.run(1500, 60, 800*time.Millisecond)
			assert.Check(t, s.unrelatedRefused == 0, "seed %d, %d fatal: %d of %d unrelated requests refused, crashes by fatal request: %v", seed, fatal, s.unrelatedRefused, s.unrelated, s.crashesByFatal)
		}
	}
}
