package crash

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
)

// clock is a time that tests set.
type clock struct{ at time.Time }

func newClock() *clock { return &clock{at: time.Unix(5000, 0)} }

func (c *clock) now() time.Time { return c.at }

func printOf(name string) Fingerprint { return NewFingerprint([]byte(name)) }

// ends notes ends of upstreams under one request alone.
func ends(l *Log, c *clock, f Fingerprint, upstreams ...string) {
	for _, u := range upstreams {
		c.at = c.at.Add(time.Second)
		l.AddCrash(sandbarrow.InstanceID(u), c.at, f)
	}
}

func TestFingerprint(t *testing.T) {
	a := NewFingerprint([]byte("ab"), []byte("c"))
	assert.Assert(t, a != NewFingerprint([]byte("a"), []byte("bc")), "parts are told apart")
	text, err := a.MarshalText()
	assert.NilError(t, err)
	var b Fingerprint
	assert.NilError(t, b.UnmarshalText(text))
	assert.Equal(t, a, b)
	assert.Assert(t, b.UnmarshalText([]byte("12")) != nil)
	assert.Assert(t, b.UnmarshalText([]byte(strings.Repeat("x", 32))) != nil)
}

// A request is refused from the third end on, and one that has been answered starts anew.
func TestJudge(t *testing.T) {
	c := newClock()
	l := NewLog(c.now)
	f := printOf("f")
	assert.Assert(t, l.Empty())
	ends(l, c, f, "u1", "u2", "u2")
	assert.Equal(t, l.Decide(f, 100).Crashes, 2, "the same end counts once")
	assert.Assert(t, !l.Decide(f, 100).Refused)
	ends(l, c, f, "u3")
	v := l.Decide(f, 100)
	assert.Assert(t, v.Refused)
	assert.Equal(t, v.ExpiresIn, keepFor)
	assert.Assert(t, !l.Decide(printOf("other"), 100).Refused)
	l.Clear(f)
	assert.Equal(t, l.Decide(f, 100).Crashes, 0)
	ends(l, c, f, "u3", "u4")
	assert.Equal(t, l.Decide(f, 100).Crashes, 1, "what is cleared stays so")
}

// What only ran beside a fatal request is not refused, however often.
func TestBesideIsNotRefused(t *testing.T) {
	c := newClock()
	l := NewLog(c.now)
	fatal, beside := printOf("fatal"), printOf("beside")
	for i := range 4 {
		l.AddCrash(sandbarrow.InstanceID(fmt.Sprint("u", i)), c.at, fatal, beside)
	}
	assert.Assert(t, !l.Decide(beside, 100).Refused)
	assert.Assert(t, !l.Decide(fatal, 100).Refused, "they can't be told apart")
	ends(l, c, fatal, "v1", "v2")
	assert.Assert(t, l.Decide(fatal, 100).Refused)
	assert.Assert(t, !l.Decide(beside, 100).Refused)
	ends(l, c, beside, "w1")
	assert.Assert(t, !l.Decide(beside, 100).Refused, "one end by itself is common")
}

// In a storm of crashes more ends are needed.
func TestEndsNeeded(t *testing.T) {
	for _, tc := range []struct {
		share float64
		want  int
	}{{0, leastEnds}, {0.04, leastEnds}, {0.08, 4}, {0.15, mostEnds}, {1, mostEnds}} {
		assert.Equal(t, endsNeeded(tc.share), tc.want, "share %v", tc.share)
	}
}

// Logs that tell each other, in any order and repeatedly, come to know the same.
func TestMergeInAnyOrder(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		c := newClock()
		logs := []*Log{NewLog(c.now), NewLog(c.now), NewLog(c.now)}
		told := map[[2]int]uint64{}
		tell := func(a, b int) {
			records, next := logs[a].Since(told[[2]int{a, b}], logs[b])
			logs[b].Merge(logs[a], records)
			told[[2]int{a, b}] = next
		}
		for range 60 {
			c.at = c.at.Add(time.Duration(random.IntN(900)) * time.Millisecond)
			i, f := random.IntN(len(logs)), printOf(fmt.Sprint(random.IntN(4)))
			switch random.IntN(4) {
			case 0:
				logs[i].Clear(f)
			case 1:
				tell(i, (i+1+random.IntN(2))%len(logs))
			default:
				logs[i].AddCrash(sandbarrow.InstanceID(fmt.Sprint("u", random.IntN(9))), c.at, f)
			}
		}
		for range len(logs) {
			for i := range logs {
				tell(i, (i+1)%len(logs))
				tell(i, (i+2)%len(logs))
			}
		}
		for n := range 4 {
			f := printOf(fmt.Sprint(n))
			want := logs[0].Decide(f, 100)
			for i := range logs {
				assert.Equal(t, logs[i].Decide(f, 100).Crashes, want.Crashes, "seed %d, log %d", seed, i)
			}
		}
		for i := range logs { // and then have nothing more to tell
			tell(i, (i+1)%len(logs))
			records, _ := logs[i].Since(told[[2]int{i, (i + 1) % len(logs)}], nil)
			assert.Equal(t, len(records), 0)
		}
	}
}

func TestLogIsBounded(t *testing.T) {
	c := newClock()
	l := NewLog(c.now)
	fatal := printOf("fatal")
	ends(l, c, fatal, "u1", "u2", "u3")
	for i := range 3 * mostEntries {
		l.AddCrash(sandbarrow.InstanceID(fmt.Sprint("v", i)), c.at, printOf(fmt.Sprint(i)))
	}
	records, _ := l.Since(0, nil)
	assert.Equal(t, len(records), mostEntries)
	assert.Equal(t, l.Decide(fatal, 100).Crashes, 3)
	for i := range 3 * mostCrashes {
		ends(l, c, fatal, fmt.Sprint("w", i))
	}
	assert.Equal(t, l.Decide(fatal, 100).Crashes, mostCrashes)
	text, err := json.Marshal(records)
	assert.NilError(t, err)
	assert.Assert(t, len(text) < 150*mostEntries, "%d bytes", len(text))
}

// It forgets, also what a process tells that has not forgotten yet.
func TestLogForgets(t *testing.T) {
	c := newClock()
	l := NewLog(c.now)
	f := printOf("f")
	ends(l, c, f, "u1", "u2", "u3")
	records, _ := l.Since(0, nil)
	c.at = c.at.Add(keepFor - time.Second)
	assert.Assert(t, l.Decide(f, 100).Refused)
	c.at = c.at.Add(2 * time.Second)
	assert.Assert(t, !l.Decide(f, 100).Refused)
	assert.Assert(t, l.Empty())
	assert.Assert(t, !l.Merge(nil, []Record{records[0].Aged((keepFor + time.Second).Milliseconds())}))
	assert.Assert(t, !l.Merge(nil, []Record{{Fingerprint: f, Crashes: []RecordedCrash{{AgeMS: -5, Upstream: "u"}, {AgeMS: 5}}}}), "malformed")
	assert.Assert(t, l.Empty())
}
