package directory

import (
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

func TestIsLapse(t *testing.T) {
	for name, tc := range map[string]struct {
		left, all   int
		sinceOutage time.Duration
		want        bool
	}{
		"no outage":             {10, 10, -1, false},
		"all, after an outage":  {10, 10, time.Second, true},
		"a third":               {4, 12, 0, true},
		"less than a third":     {3, 12, 0, false},
		"one of two":            {1, 2, 0, false},
		"long after the outage": {10, 10, lapseWindow, false},
	} {
		assert.Equal(t, isLapse(tc.left, tc.all, tc.sinceOutage), tc.want, name)
	}
}

func TestGraceAtAPeerEndsHereToo(t *testing.T) {
	peer := newDirectory()
	peer.confirmedAt = boottime.Now().Add(-2 * outageAfter)
	peer.Update([]sandbarrow.KeyItem{gone("a", 6), gone("b", 7), gone("c", 8)}, 8)
	starting := New(list{}, slog.New(slog.DiscardHandler))
	assert.Assert(t, starting.ApplyPeerList(peer.Items()))
	assert.Equal(t, ids(starting, "s"), "a b c d")
	starting.ApplyPeerChange(Change{Items: []sandbarrow.KeyItem{item("b", 9, "s 2")}, Since: 8, Watermark: 9})
	deadline := time.Now().Add(3 * lapseGrace)
	for ids(starting, "s") != "b d" && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, ids(starting, "s"), "b d")
}

func TestLateHeartbeatDoesNotEndTheGrace(t *testing.T) {
	d := newDirectory()
	d.confirmedAt = boottime.Now().Add(-2 * outageAfter)
	d.Update([]sandbarrow.KeyItem{gone("a", 7), gone("b", 8), gone("c", 9)}, 9)
	d.Update([]sandbarrow.KeyItem{item("a", 6, "s 1")}, 6)
	d.mu.Lock()
	defer d.mu.Unlock()
	assert.Equal(t, len(d.lapsed), 3)
}

// The end of one grace does not cut short a later one of the same upstream.
func TestGraceEndsItselfAlone(t *testing.T) {
	d := newDirectory()
	d.confirmedAt = boottime.Now().Add(-2 * outageAfter)
	d.Update([]sandbarrow.KeyItem{gone("a", 6), gone("b", 7), gone("c", 8)}, 8)
	d.Update([]sandbarrow.KeyItem{item("a", 9, "s 1"), item("b", 10, "s 2")}, 10)
	d.Update([]sandbarrow.KeyItem{gone("a", 11), gone("b", 12)}, 12)
	d.expire("a", 6)
	assert.Equal(t, ids(d, "s"), "a b c d")
	d.expire("a", 11)
	assert.Equal(t, ids(d, "s"), "b c d")
}

// A late answer says nothing of now.
func TestLateAnswerConfirmsNothing(t *testing.T) {
	d := newDirectory()
	d.confirmedAt = boottime.Now().Add(-time.Second)
	d.Update(nil, 4)
	assert.Assert(t, d.Age() >= time.Second)
	d.Update(nil, 5)
	assert.Assert(t, d.Age() < time.Second)
}
