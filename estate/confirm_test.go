package estate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

// fakeReader is a store with one key.
type fakeReader struct {
	err  error
	item sandbarrow.Item
}

func (r *fakeReader) Get(context.Context, string) (sandbarrow.Item, error) { return r.item, r.err }

func TestConfirmFrom(t *testing.T) {
	e := newEstate()
	r := &fakeReader{item: sandbarrow.Item{Revision: 3, Value: []byte("7")}}
	before := boottime.Now()
	assert.NilError(t, e.ConfirmFrom(t.Context(), r))
	confirmed, table := e.Confirmed()
	assert.Assert(t, !confirmed.Before(before) && !confirmed.After(boottime.Now()))
	assert.Equal(t, table, sandbarrow.StoreRevision(3))
	assert.Equal(t, e.View().Table.Version, uint64(7), "the table that was read is not in force")
	r.err = errors.New("down")
	assert.Assert(t, e.ConfirmFrom(t.Context(), r) != nil)
	again, _ := e.Confirmed()
	assert.Equal(t, again, confirmed)
}

func TestMalformedTableIsNotConfirmed(t *testing.T) {
	e := newEstate()
	e.Update([]sandbarrow.KeyItem{table(1, "4")}, 1)
	assert.NilError(t, e.ConfirmFrom(t.Context(), &fakeReader{item: sandbarrow.Item{Revision: 2, Value: []byte("rubbish")}}))
	confirmed, _ := e.Confirmed()
	assert.Assert(t, confirmed.IsZero())
}

// The rules that make confirmations safe. Tests break one at a time to check that the simulation detects it.
type brokenRule string

const (
	noRuleBroken    brokenRule = ""
	ageFromReceipt  brokenRule = "age counted from the receipt of the response"
	ignoresRevision brokenRule = "revision of the confirmed table ignored"
)

// response is a message in flight: the state of the store or of a peer when it responded.
type response struct {
	requestedAt, confirmed time.Time
	sentAt                 time.Time
	hasConfirmation        bool
	table                  sandbarrow.StoreRevision
	to                     int
	// withItem says that the response carries the table.
	withItem bool
}

// trustSimulation simulates an operator who writes tables, and processes that query the store and each other.
// Responses are delayed, lost and reordered.
type trustSimulation struct {
	responses []response
	now       time.Time
	processes [4]*Estate
	rule      brokenRule
	// written holds the time at which each table was written; revision 1 is at index 0.
	written []time.Time
}

const trustBound = 5 * time.Second

func (s *trustSimulation) newest() sandbarrow.StoreRevision {
	return sandbarrow.StoreRevision(len(s.written))
}

func (s *trustSimulation) queryStore(from int, withItem bool) {
	s.responses = append(s.responses, response{requestedAt: s.now, confirmed: s.now, sentAt: s.now, hasConfirmation: true, table: s.newest(), to: from, withItem: withItem})
}

func (s *trustSimulation) queryPeer(from, to int, withItem bool) {
	confirmed, table := s.processes[to].Confirmed()
	s.responses = append(s.responses, response{requestedAt: s.now, confirmed: confirmed, sentAt: s.now, hasConfirmation: !confirmed.IsZero(), table: table, to: from, withItem: withItem})
}

func (s *trustSimulation) deliver(i int) {
	a := s.responses[i]
	s.responses = append(s.responses[:i], s.responses[i+1:]...)
	e := s.processes[a.to]
	if a.withItem && a.table > 0 {
		e.Update([]sandbarrow.KeyItem{table(a.table, strconv.Itoa(int(a.table)))}, 0)
	}
	if !a.hasConfirmation {
		return
	}
	age := a.sentAt.Sub(a.confirmed)
	from := a.requestedAt
	if s.rule == ageFromReceipt {
		from = s.now
	}
	if s.rule == ignoresRevision {
		a.table = 0
	}
	e.Confirm(from.Add(-age), a.table)
}

// violation describes a process that still trusts a table replaced more than trustBound ago.
func (s *trustSimulation) violation() string {
	for i, e := range s.processes {
		confirmed, table := e.Confirmed()
		if confirmed.IsZero() || s.now.Sub(confirmed) >= trustBound || int(table) >= len(s.written) {
			continue
		}
		if replaced := s.written[table]; s.now.Sub(replaced) > trustBound {
			return fmt.Sprintf("process %d trusts table %d, replaced %v ago", i, table, s.now.Sub(replaced))
		}
	}
	return ""
}

func simulateTrust(rule brokenRule, seed uint64) (violation string, trusted int) {
	r := rand.New(rand.NewPCG(seed, 1))
	s := &trustSimulation{now: time.Unix(1000, 0), rule: rule}
	for i := range s.processes {
		s.processes[i] = newEstate()
	}
	slow := r.Float64()
	for range 400 {
		s.now = s.now.Add(time.Duration(r.IntN(400)) * time.Millisecond)
		switch p := r.IntN(len(s.processes)); r.IntN(10) {
		case 0:
			s.written = append(s.written, s.now)
		case 1:
			if r.Float64() < 0.1 {
				s.processes[p] = newEstate() // the process is killed and restarted
			}
		case 2, 3:
			s.queryStore(p, r.Float64() < 0.7)
		default:
			s.queryPeer(p, r.IntN(len(s.processes)), r.Float64() < 0.7)
		}
		for i := 0; i < len(s.responses); {
			switch {
			case r.Float64() > slow:
				s.deliver(i)
			case r.Float64() < 0.05:
				s.responses = append(s.responses[:i], s.responses[i+1:]...)
			default:
				i++
			}
		}
		for _, e := range s.processes {
			if confirmed, _ := e.Confirmed(); s.now.Sub(confirmed) < trustBound {
				trusted++
			}
		}
		if v := s.violation(); v != "" {
			return v, trusted
		}
	}
	return "", trusted
}

func TestReplacedTableIsNotTrustedPastBound(t *testing.T) {
	trusted := 0
	for seed := range uint64(500) {
		v, n := simulateTrust(noRuleBroken, seed)
		assert.Equal(t, v, "", "seed %d", seed)
		trusted += n
	}
	assert.Assert(t, trusted > 100_000, "trusted only %d times; too few for the test to prove anything", trusted)
}

// Without any one of the rules the simulation must find a violation.
func TestEachConfirmationRuleIsNeeded(t *testing.T) {
	for _, rule := range []brokenRule{ageFromReceipt, ignoresRevision} {
		found := 0
		for seed := range uint64(500) {
			if v, _ := simulateTrust(rule, seed); v != "" {
				found++
			}
		}
		t.Logf("%s: violation found in %d of 500 runs", rule, found)
		assert.Assert(t, found > 0, "%s: no violation found", rule)
	}
}
