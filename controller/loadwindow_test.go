package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/evict"
)

func TestLoadWindow(t *testing.T) {
	w := newLoadWindow()
	assert.Equal(t, w.size(), 1)
	for range 20 {
		w.took(250 * time.Millisecond)
	}
	assert.Equal(t, w.size(), maxLoading)
	for range 20 {
		w.took(700 * time.Millisecond)
	}
	assert.Equal(t, w.size(), 1)
	w.took(260 * time.Millisecond)
	w.took(260 * time.Millisecond)
	assert.Equal(t, w.size(), 2)
}

// A crowd at the weight store holds up neither the adapter that most requests
// wait for nor one that the engine's own memory still holds.
func TestCrowdedLoadsComeByValue(t *testing.T) {
	s := newSlots(evict.NewCost())
	s.capacity = 6
	now := time.Now()
	s.reconcile(now, []sandbarrow.LoadedModel{{Model: testModel, Adapters: []sandbarrow.LoadedAdapter{{Adapter: "known", Version: 1}}}}, nil)
	s.reconcile(now, []sandbarrow.LoadedModel{{Model: testModel}}, nil) // known left its slot
	want := func(adapter string, requests int) {
		for range requests {
			s.acquire(now, &enginelink.Acquire{UsefulMS: 1000}, &pin{key: key(adapter)})
		}
	}
	order := func() sandbarrow.AdapterID {
		o, ok := s.nextOrder(now, true)
		if !ok {
			return ""
		}
		s.applyOrder(now, &o, false)
		return o.Adapter
	}
	want("rare", 1)
	want("busy", 5)
	assert.Equal(t, order(), sandbarrow.AdapterID("busy"))
	assert.Equal(t, order(), sandbarrow.AdapterID(""), "one load at a time until loads are known to be fast")
	want("known", 1)
	assert.Equal(t, order(), sandbarrow.AdapterID("known"), "the engine's own memory is no part of the crowd")
}
