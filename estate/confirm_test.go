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

// reader is a store of one key.
type reader struct {
	err  error
	item sandbarrow.Item
}

func (r *reader) Get(context.Context, string) (sandbarrow.Item, error) { return r.item, r.err }

func TestConfirmFrom(t *testing.T) {
	e := newEstate()
	r := &reader{item: sandbarrow.Item{Revision: 3, Value: []byte("7")}}
	before := boottime.Now()
	assert.NilError(t, e.ConfirmFrom(t.Context(), r))
	confirmed, table := e.Confirmed()
	assert.Assert(t, !confirmed.Before(before) && !confirmed.After(boottime.Now()))
	assert.Equal(t, table, sandbarrow.StoreRevision(3))
	assert.Equal(t, e.View().Table.Version, uint64(7), "what is read is put in force")
	r.err = errors.New("down")
	assert.Assert(t, e.ConfirmFrom(t.Context(), r) != nil)
	again, _ := e.Confirmed()
	assert.Equal(t, again, confirmed)
}

func TestMalformedTableIsNotConfirmed(t *testing.T) {
	e := newEstate()
	e.Update([]sandbarrow.KeyItem{table(1, "4")}, 1)
	assert.NilError(t, e.ConfirmFrom(t.Context(), &reader{item: sandbarrow.Item{Revision: 2, Value: []byte("rubbish")}}))
	confirmed, _ := e.Confirmed()
	assert.Assert(t, confirmed.IsZero())
}

// The rules that a confirmation rests on; each is broken in turn.
type broken string

const (
	nothingBroken broken = ""
	fromAnswer    broken = "counted from the answer"
	anyTable      broken = "whatever table is in force"
)

// answer is a message on its way: what a store or a process knew when it answered.
type answer struct {
	asked, confirmed time.Time
	at               time.Time
	fresh            bool
	table            sandbarrow.StoreRevision
	to               int
	// withItem says that the table itself comes with the answer.
	withItem bool
}

// trustWorld is some processes that ask the store and each other, whose answers are held
// up, lost and reordered, and an operator who writes tables.
type trustWorld struct {
	answers   []answer
	now       time.Time
	processes [4]*Estate
	rule      broken
	// written holds when each table was written, by revision from 1.
	written []time.Time
}

const trustBound = 5 * time.Second

func (w *trustWorld) newest() sandbarrow.StoreRevision {
	return sandbarrow.StoreRevision(len(w.written))
}

func (w *trustWorld) askStore(from int, withItem bool) {
	w.answers = append(w.answers, answer{asked: w.now, confirmed: w.now, at: w.now, fresh: true, table: w.newest(), to: from, withItem: withItem})
}

func (w *trustWorld) askPeer(from, to int, withItem bool) {
	confirmed, table := w.processes[to].Confirmed()
	w.answers = append(w.answers, answer{asked: w.now, confirmed: confirmed, at: w.now, fresh: !confirmed.IsZero(), table: table, to: from, withItem: withItem})
}

func (w *trustWorld) deliver(i int) {
	a := w.answers[i]
	w.answers = append(w.answers[:i], w.answers[i+1:]...)
	e := w.processes[a.to]
	if a.withItem && a.table > 0 {
		e.Update([]sandbarrow.KeyItem{table(a.table, strconv.Itoa(int(a.table)))}, 0)
	}
	if !a.fresh {
		return
	}
	age := a.at.Sub(a.confirmed)
	from := a.asked
	if w.rule == fromAnswer {
		from = w.now
	}
	if w.rule == anyTable {
		a.table = 0
	}
	e.Confirm(from.Add(-age), a.table)
}

// violation finds a process that trusts a table which was replaced longer ago than the
// bound allows.
func (w *trustWorld) violation() string {
	for i, e := range w.processes {
		confirmed, table := e.Confirmed()
		if confirmed.IsZero() || w.now.Sub(confirmed) >= trustBound || int(table) >= len(w.written) {
			continue
		}
		if replaced := w.written[table]; w.now.Sub(replaced) > trustBound {
			return fmt.Sprintf("process %d trusts table %d, replaced %v ago", i, table, w.now.Sub(replaced))
		}
	}
	return ""
}

func runTrust(rule broken, seed uint64) (violation string, trusted int) {
	r := rand.New(rand.NewPCG(seed, 1))
	w := &trustWorld{now: time.Unix(1000, 0), rule: rule}
	for i := range w.processes {
		w.processes[i] = newEstate()
	}
	slow := r.Float64()
	for range 400 {
		w.now = w.now.Add(time.Duration(r.IntN(400)) * time.Millisecond)
		switch p := r.IntN(len(w.processes)); r.IntN(10) {
		case 0:
			w.written = append(w.written, w.now)
		case 1:
			if r.Float64() < 0.1 {
				w.processes[p] = newEstate() // killed and started again
			}
		case 2, 3:
			w.askStore(p, r.Float64() < 0.7)
		default:
			w.askPeer(p, r.IntN(len(w.processes)), r.Float64() < 0.7)
		}
		for i := 0; i < len(w.answers); {
			switch {
			case r.Float64() > slow:
				w.deliver(i)
			case r.Float64() < 0.05:
				w.answers = append(w.answers[:i], w.answers[i+1:]...)
			default:
				i++
			}
		}
		for _, e := range w.processes {
			if confirmed, _ := e.Confirmed(); w.now.Sub(confirmed) < trustBound {
				trusted++
			}
		}
		if v := w.violation(); v != "" {
			return v, trusted
		}
	}
	return "", trusted
}

func TestNoTableIsTrustedAfterItsBound(t *testing.T) {
	trusted := 0
	for seed := range uint64(500) {
		v, n := runTrust(nothingBroken, seed)
		assert.Equal(t, v, "", "seed %d", seed)
		trusted += n
	}
	assert.Assert(t, trusted > 100_000, "%d: what is never trusted shows nothing", trusted)
}

// Each rule that is left out is found.
func TestEachTrustRuleIsNeeded(t *testing.T) {
	for _, rule := range []broken{fromAnswer, anyTable} {
		found := 0
		for seed := range uint64(500) {
			if v, _ := runTrust(rule, seed); v != "" {
				found++
			}
		}
		t.Logf("%s: found in %d of 500 runs", rule, found)
		assert.Assert(t, found > 0, "%s: not found", rule)
	}
}
