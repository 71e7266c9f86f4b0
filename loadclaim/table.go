package loadclaim

import (
	"time"

	"sandbarrow.example/sandbarrow"
)

// maxDecisions bounds the decisions of a table. A fleet decides some hundred adapters in Lifetime
// after a loss of all power.
const maxDecisions = 4096

// Table holds a coordinator's decisions. The zero value is ready to use. It is not safe for
// concurrent use.
type Table struct {
	decisions map[load]decision
}

// load identifies the load of an adapter that so many engines have already.
type load struct {
	copies int
	key    sandbarrow.AdapterKey
}

// decision is the engine that loads a version of an adapter.
type decision struct {
	at      time.Time
	engine  sandbarrow.InstanceID
	version sandbarrow.AdapterVersion
}

// Decide returns the engine that loads an adapter. The first claim decides. A later one is told
// that engine, unless the decision has expired, is for an older version, or names the engine that
// the claim calls unusable. A claim that another coordinator has decided is passed in as well.
func (t *Table) Decide(now time.Time, c Claim) sandbarrow.InstanceID {
	l := load{copies: c.Copies, key: c.Key}
	d, known := t.decisions[l]
	if known && now.Sub(d.at) < Lifetime && d.version >= c.Version && (c.Unusable == "" || !d.engine.Matches(c.Unusable)) {
		return d.engine
	}
	if !known && !t.makeRoom(now) {
		return c.Proposed
	}
	if t.decisions == nil {
		t.decisions = map[load]decision{}
	}
	t.decisions[l] = decision{at: now, engine: c.Proposed, version: c.Version}
	return c.Proposed
}

// makeRoom drops the expired decisions of a full table and reports whether there is room for one.
func (t *Table) makeRoom(now time.Time) bool {
	if len(t.decisions) < maxDecisions {
		return true
	}
	for key, d := range t.decisions {
		if now.Sub(d.at) >= Lifetime {
			delete(t.decisions, key)
		}
	}
	return len(t.decisions) < maxDecisions
}
