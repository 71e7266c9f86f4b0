package estate

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

func rev(era sandbarrow.StoreEra, number uint64) sandbarrow.StoreRevision {
	return sandbarrow.NewStoreRevision(era, number)
}

func TestNewerTableStaysAfterStoreRestore(t *testing.T) {
	e := newEstate()
	e.Update([]sandbarrow.KeyItem{table(rev(1, 150), "87")}, rev(1, 150))
	for _, step := range []struct {
		what    string
		item    sandbarrow.KeyItem
		version uint64
		at      sandbarrow.StoreRevision
	}{
		{"restored copy", table(rev(2, 90), "85"), 87, rev(1, 150)},
		{"older table rewritten", table(rev(2, 101), "86"), 87, rev(1, 150)},
		{"same table rewritten", table(rev(2, 102), "87"), 87, rev(2, 102)},
		{"late answer of the earlier era", table(rev(1, 150), "87"), 87, rev(2, 102)},
		{"next change, with a lower revision number", table(rev(2, 104), "90"), 90, rev(2, 104)},
	} {
		e.Update([]sandbarrow.KeyItem{step.item}, step.item.Revision)
		assert.Equal(t, e.View().Table.Version, step.version, step.what)
		assert.Equal(t, e.View().Revision, step.at, step.what)
	}
}

func TestNewerAdapterVersionStaysAfterStoreRestore(t *testing.T) {
	e := newEstate()
	key := sandbarrow.AdapterKey{Adapter: "a1"}
	named := func(at sandbarrow.StoreRevision, text string) []sandbarrow.KeyItem {
		return []sandbarrow.KeyItem{{Key: "a1", Revision: at, Value: []byte(text)}}
	}
	e.Update([]sandbarrow.KeyItem{table(rev(1, 1), "1")}, rev(1, 1))
	e.Update(named(rev(1, 60), "7"), rev(1, 60))
	e.Update(named(rev(2, 40), "6"), rev(2, 50))
	assert.Equal(t, e.View().Version(key), sandbarrow.AdapterVersion(7))
	peer := newEstate()
	peer.Update(append(named(rev(2, 40), "6"), table(rev(2, 1), "1")), rev(2, 50))
	items, mark := e.Since(Watermark{Revision: rev(2, 50)})
	peer.ApplyPeerChange(items, mark)
	assert.Equal(t, peer.View().Version(key), sandbarrow.AdapterVersion(7), "not learned from a peer that knew it before the restore")
	e.Update(named(rev(2, 52), "8"), rev(2, 52))
	assert.Equal(t, e.View().Version(key), sandbarrow.AdapterVersion(8))
}

func TestPeersSendItemsLostByStore(t *testing.T) {
	for name, readCopy := range map[string]bool{
		"peer in the earlier era":              false,
		"peer that has read the restored copy": true,
	} {
		peer := newEstate()
		peer.Update([]sandbarrow.KeyItem{table(rev(1, 150), "87")}, rev(1, 150))
		if readCopy {
			peer.Update([]sandbarrow.KeyItem{table(rev(2, 90), "85")}, rev(2, 104))
		}
		e := newEstate()
		e.Update([]sandbarrow.KeyItem{table(rev(2, 90), "85")}, rev(2, 104))
		mine, _ := e.Watermark()
		theirs, _ := peer.Watermark()
		assert.Assert(t, mine.MayLack(theirs), name)
		e.ApplyPeerChange(peer.Since(mine))
		assert.Equal(t, e.View().Table.Version, uint64(87), name)
		mine, _ = e.Watermark()
		assert.Assert(t, !mine.MayLack(theirs), "%s: would fetch again", name)
	}
}

func TestMarkMerge(t *testing.T) {
	marks := rapid.Custom(func(t *rapid.T) Watermark {
		m := Watermark{Revision: rev(sandbarrow.StoreEra(rapid.IntRange(0, 3).Draw(t, "era")), uint64(rapid.IntRange(0, 4).Draw(t, "number")))}
		for era := m.Revision.Era(); era > 0; era-- {
			if number := uint64(rapid.IntRange(0, 4).Draw(t, "earlier number")); number > 0 {
				m.Earlier = append(m.Earlier, rev(era-1, number))
			}
		}
		return m
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b := marks.Draw(t, "a"), marks.Draw(t, "b")
		merged := a.merge(b)
		assert.Assert(t, !merged.MayLack(a) && !merged.MayLack(b), "%v and %v merge to %v", a, b, merged)
		assert.DeepEqual(t, merged, b.merge(a))
		for _, r := range slices.Concat([]sandbarrow.StoreRevision{a.Revision, b.Revision}, a.Earlier, b.Earlier) {
			assert.Assert(t, merged.covers(r), "%v not covered by %v", r, merged)
		}
	})
}

func TestNeverGoesBackAcrossRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// The store is a list of tables by revision. A restore truncates it.
		var store []uint64
		era, version := sandbarrow.StoreEra(1), uint64(0)
		write := func() {
			version++
			store = append(store, version)
		}
		write()
		sides := []*Estate{newEstate(), newEstate(), newEstate()}
		newest := make([]uint64, len(sides))
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(sides)-1).Draw(t, "side")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				write()
			case 1:
				store = store[:rapid.IntRange(1, len(store)).Draw(t, "copy")]
				era++
			case 2:
				store = append(store, version) // the operators rewrite the newest table
			case 3:
				at := rev(era, uint64(len(store)))
				sides[i].Replace([]sandbarrow.KeyItem{table(at, fmt.Sprint(store[len(store)-1]))}, at)
			default:
				peer := sides[rapid.IntRange(0, len(sides)-1).Draw(t, "peer")]
				mine, _ := sides[i].Watermark()
				items, mark := peer.Since(mine)
				sides[i].ApplyPeerChange(items, mark)
				if a, b := peer.View(), sides[i].View(); a != nil {
					assert.Assert(t, b != nil && b.Table.Version >= a.Table.Version, "peer did not send all that it knows")
				}
			}
			for i, e := range sides {
				if v := e.View(); v != nil {
					assert.Assert(t, v.Table.Version >= newest[i], "went back from %d to %d", newest[i], v.Table.Version)
					newest[i] = v.Table.Version
				}
			}
		}
		store = append(store, version)
		at := rev(era, uint64(len(store)))
		for _, e := range sides {
			e.Replace([]sandbarrow.KeyItem{table(at, fmt.Sprint(version))}, at)
			assert.Equal(t, e.View().Table.Version, version)
		}
	})
}

func TestRestoredCopyDoesNotConfirmTable(t *testing.T) {
	e := newEstate()
	e.Update([]sandbarrow.KeyItem{table(rev(1, 150), "87")}, rev(1, 150))
	before := boottime.Now()
	e.Confirm(before, rev(1, 150))
	e.Update([]sandbarrow.KeyItem{table(rev(2, 90), "85")}, rev(2, 104))
	confirmed := func() bool { at, _ := e.Confirmed(); return at.After(before) }
	e.Confirm(boottime.Now(), rev(2, 90))
	assert.Assert(t, !confirmed(), "confirmed although a newer table may have been lost")
	e.Update([]sandbarrow.KeyItem{table(rev(2, 106), "87")}, rev(2, 106))
	e.Confirm(boottime.Now(), rev(2, 106))
	assert.Assert(t, confirmed(), "not confirmed although written since the restore")
}

func TestRestoredCopyConfirmsTableAfterRewriteWindow(t *testing.T) {
	e := newEstate()
	e.Update([]sandbarrow.KeyItem{table(rev(1, 80), "85")}, rev(1, 80))
	e.Update([]sandbarrow.KeyItem{table(rev(2, 80), "85")}, rev(2, 104))
	e.Confirm(boottime.Now(), rev(2, 80))
	at, _ := e.Confirmed()
	assert.Assert(t, at.IsZero())
	later := boottime.Now().Add(rewriteWindow + time.Millisecond)
	e.Confirm(later, rev(2, 80))
	at, _ = e.Confirmed()
	assert.Equal(t, at, later)
}

func TestConfirmationEndsWhenPeerKnowsNewerTable(t *testing.T) {
	e := newEstate()
	e.Update([]sandbarrow.KeyItem{table(rev(2, 55), "2")}, rev(2, 104))
	e.Confirm(boottime.Now(), rev(2, 55))
	at, _ := e.Confirmed()
	assert.Assert(t, !at.IsZero(), "not confirmed although no restore was detected")
	e.ApplyPeerChange([]sandbarrow.KeyItem{table(rev(1, 135), "4")}, Watermark{Earlier: []sandbarrow.StoreRevision{rev(1, 140)}, Revision: rev(2, 110)})
	for _, asked := range []time.Time{boottime.Now(), boottime.Now().Add(rewriteWindow / 2)} {
		at, _ = e.Confirmed()
		assert.Assert(t, at.IsZero())
		e.Confirm(asked, rev(2, 55))
	}
	at, _ = e.Confirmed()
	assert.Assert(t, at.IsZero())
}

func TestMarkOfManyErasIsBounded(t *testing.T) {
	var m Watermark
	for era := range sandbarrow.StoreEra(30) {
		m = m.merge(Watermark{Revision: rev(era, 7)})
	}
	assert.Equal(t, len(m.Earlier), maxEarlierEras)
	assert.Assert(t, m.covers(rev(2, 100)), "older than the eras kept")
	assert.Assert(t, !m.covers(rev(28, 8)))
}
