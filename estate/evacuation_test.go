package estate

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sandbarrow.example/sandbarrow"
)

// evacuation returns the item that evacuates domain "d".
func evacuation(revision sandbarrow.StoreRevision) sandbarrow.KeyItem {
	return sandbarrow.KeyItem{Key: "evacuate/d", Revision: revision, Value: []byte("{}")}
}

// evacuationEnd returns the item that ends the evacuation of domain "d".
func evacuationEnd(revision sandbarrow.StoreRevision) sandbarrow.KeyItem {
	return sandbarrow.KeyItem{Deleted: true, Key: "evacuate/d", Revision: revision}
}

func TestEvacuationBeginsAndEnds(t *testing.T) {
	e := newEstate()
	var none *View
	assert.Assert(t, !none.Evacuated("d"))
	e.Update([]sandbarrow.KeyItem{evacuation(1)}, 1)
	e.Update([]sandbarrow.KeyItem{table(2, "1")}, 2)
	assert.Assert(t, e.View().Evacuated("d") && !e.View().Evacuated("other"), "named before the first table")
	assert.DeepEqual(t, e.View().EvacuatedDomains(), []sandbarrow.FailureDomain{"d"})
	e.Update([]sandbarrow.KeyItem{evacuationEnd(3)}, 3)
	assert.Assert(t, !e.View().Evacuated("d"))
	e.Update([]sandbarrow.KeyItem{evacuation(1)}, 1)
	assert.Assert(t, !e.View().Evacuated("d"), "a late response revived an ended evacuation")
	e.Update([]sandbarrow.KeyItem{evacuation(4)}, 4)
	assert.Assert(t, e.View().Evacuated("d"), "evacuated again")
}

func TestCompleteReadEndsMissingEvacuation(t *testing.T) {
	e := newEstate()
	e.Update([]sandbarrow.KeyItem{table(1, "1"), evacuation(2)}, 2)
	e.Replace([]sandbarrow.KeyItem{table(1, "1"), evacuation(2)}, 5)
	assert.Assert(t, e.View().Evacuated("d"))
	e.Update([]sandbarrow.KeyItem{evacuation(9)}, 9)
	e.Replace([]sandbarrow.KeyItem{table(1, "1")}, 8)
	assert.Assert(t, e.View().Evacuated("d"), "a read from before the evacuation ended it")
	e.Replace([]sandbarrow.KeyItem{table(1, "1")}, 12)
	assert.Assert(t, !e.View().Evacuated("d"))
	peer := newEstate()
	peer.Update([]sandbarrow.KeyItem{table(1, "1"), evacuation(9)}, 10)
	peer.ApplyPeerChange(e.Since(Watermark{Revision: 10}))
	assert.Assert(t, !peer.View().Evacuated("d"), "the end did not reach a peer")
}

func TestEvacuationSurvivesStoreRestore(t *testing.T) {
	start := []sandbarrow.KeyItem{table(rev(1, 1), "1")}
	lost := newEstate()
	lost.Update(append(start, evacuation(rev(1, 60))), rev(1, 60))
	lost.Replace([]sandbarrow.KeyItem{table(rev(2, 1), "1")}, rev(2, 50))
	assert.Assert(t, lost.View().Evacuated("d"), "the copy lacks an evacuation that was acknowledged")
	joined := newEstate()
	joined.Replace([]sandbarrow.KeyItem{table(rev(2, 1), "1")}, rev(2, 50))
	joined.ApplyPeerChange(lost.Since(Watermark{Revision: rev(2, 50)}))
	assert.Assert(t, joined.View().Evacuated("d"), "a process that started after the restore does not learn it from peers")
	lost.Update([]sandbarrow.KeyItem{evacuationEnd(rev(2, 55))}, rev(2, 55))
	assert.Assert(t, !lost.View().Evacuated("d"), "ended after the restore")

	revived := newEstate()
	revived.Update(append(start, evacuation(rev(1, 40))), rev(1, 40))
	revived.Update([]sandbarrow.KeyItem{evacuationEnd(rev(1, 60))}, rev(1, 60))
	revived.Replace([]sandbarrow.KeyItem{table(rev(2, 1), "1"), evacuation(rev(2, 40))}, rev(2, 50))
	assert.Assert(t, revived.View().Evacuated("d"), "the copy has an evacuation again")
}

// TestPeersAgreeOnEvacuations guards against processes that disagree after they have seen all changes.
func TestPeersAgreeOnEvacuations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := []sandbarrow.KeyItem{table(1, "1")}
		for i := range rapid.IntRange(1, 12).Draw(t, "changes") {
			revision := sandbarrow.StoreRevision(i + 2)
			if rapid.Bool().Draw(t, "evacuated") {
				history = append(history, evacuation(revision))
			} else {
				history = append(history, evacuationEnd(revision))
			}
		}
		last := history[len(history)-1]
		processes := []*Estate{newEstate(), newEstate(), newEstate()}
		for step := 0; step < len(history); {
			e := rapid.SampledFrom(processes).Draw(t, "process")
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0: // the store's next changes, up to the present
				from, _ := e.Watermark()
				e.Update(history[min(int(from.Revision), step):step], sandbarrow.StoreRevision(step))
			case 1: // a complete read
				items := []sandbarrow.KeyItem{table(1, "1")}
				if step > 1 && !history[step-1].Deleted {
					items = append(items, history[step-1])
				}
				if step > 0 {
					e.Replace(items, sandbarrow.StoreRevision(step))
				}
			case 2: // a peer
				from, _ := e.Watermark()
				e.ApplyPeerChange(rapid.SampledFrom(processes).Draw(t, "peer").Since(from))
			case 3:
				step++
			}
		}
		for i, e := range processes {
			from, _ := e.Watermark()
			e.Update(history[from.Revision:], sandbarrow.StoreRevision(len(history)))
			if e.View().Evacuated("d") != !last.Deleted && last.Key != "table" {
				t.Fatalf("process %d: evacuated %t after %v", i, e.View().Evacuated("d"), last)
			}
		}
	})
}
