package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/loadtime"
	"sandbarrow.example/sandbarrow/readspeed"
)

func TestSurveyOf(t *testing.T) {
	model := loadtime.Model{BaseTime: 200 * time.Millisecond, Capacity: 8}
	for name, tc := range map[string]struct {
		copies, loading int
		copy, load      time.Duration
	}{
		"the first copy has no price":     {0, 0, 0, model.BaseTime},
		"another copy":                    {1, 0, copyDelay, model.BaseTime},
		"as many loads as are carried":    {1, 7, copyDelay, model.BaseTime},
		"contention":                      {1, 11, copyDelay * 3 / 2, model.BaseTime * 3 / 2},
		"contention raises a copy by two": {1, 71, copyDelay * mostContention, model.BaseTime * 9},
		"several copies":                  {2, 0, copyDelay, model.BaseTime},
	} {
		got := surveyOf(tc.copies, tc.loading, model)
		assert.Equal(t, got.copyDelay, tc.copy, name)
		assert.Equal(t, got.loadDelay, tc.load, name)
	}
}

// Without clock, lock or connection: the cost of one engine, part by part.
func TestAppraise(t *testing.T) {
	need := &need{key: sandbarrow.AdapterKey{Adapter: "a", Model: testModel}, tokens: 1000, untilObjective: time.Second}
	survey := &fleetSurvey{copyDelay: copyDelay, loadDelay: loadtime.NewModel().BaseTime, speed: readspeed.Prior}
	with := func(change func(*candidate)) candidate {
		e := candidate{linkView: linkView{linked: true, status: enginelink.Status{
			Free: 1, Models: []sandbarrow.BaseModelID{testModel},
		}}}
		change(&e)
		return e
	}
	held := func(e *candidate) { e.held, e.status.Slots = true, loaded("a") }
	for name, tc := range map[string]struct {
		engine candidate
		cost   time.Duration
		ok     bool
	}{
		"holds it":               {with(held), 0, true},
		"in another domain":      {with(func(e *candidate) { held(e); e.remote = true }), domainDelay, true},
		"requests run there":     {with(func(e *candidate) { held(e); e.status.Running = 4 }), 4 * runningDelay, true},
		"prompts wait there":     {with(func(e *candidate) { held(e); e.waitingTokens = 1000 }), 1000 * readspeed.Prior.PerToken, true},
		"late":                   {with(func(e *candidate) { held(e); e.waitingTokens = 24_000 }), 24_000*readspeed.Prior.PerToken + lateDelay, true},
		"loads it":               {with(func(e *candidate) { e.held, e.status.Slots = true, loadingOf("a") }), loadtime.NewModel().BaseTime / 2, true},
		"recalls it":             {with(func(e *candidate) { e.recallable = true }), recallDelay, true},
		"loads it, another copy": {with(func(*candidate) {}), loadtime.NewModel().BaseTime + copyDelay, true},
		"late for a slot":        {with(func(e *candidate) { e.status.Free = -1 }), 2*slotDelay + loadtime.NewModel().BaseTime + copyDelay + lateDelay, true},
		"reads slowly": {with(func(e *candidate) {
			held(e)
			e.waitingTokens, e.status.Speed = 1000, readspeed.Speed{Base: readspeed.Prior.Base, PerToken: 2 * readspeed.Prior.PerToken}
		}), 2700 * readspeed.Prior.PerToken, true},
		"another model":          {with(func(e *candidate) { e.status.Models = nil }), 0, false},
		"not linked, holds it":   {with(func(e *candidate) { e.linked, e.held, e.inFlight = false, true, 2 }), blindDelay + 6*runningDelay, true},
		"not linked, without it": {with(func(e *candidate) { e.linked = false }), blindDelay, false},
	} {
		e := tc.engine
		assert.Equal(t, e.appraise(need, survey), tc.ok, name)
		assert.Equal(t, e.cost, tc.cost+readspeed.Prior.TimeToFirstEvent(need.tokens), name)
	}
}

func loadingOf(adapter string) []enginelink.SlotStatus {
	return []enginelink.SlotStatus{{Adapter: sandbarrow.AdapterID(adapter), Model: testModel, State: enginelink.SlotLoading}}
}
