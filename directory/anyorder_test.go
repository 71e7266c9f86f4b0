package directory

import (
	"log/slog"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sandbarrow.example/sandbarrow"
)

// upstreamKeys are the keys of the histories; each has an address of its own.
var upstreamKeys = []string{"a", "b", "c", "d"}

// history is all that was written to the list; event i has revision i+1.
type history []sandbarrow.KeyItem

// drawHistory draws a history without removals of what is not listed.
func drawHistory(t *rapid.T) history {
	var h history
	for range rapid.IntRange(1, 25).Draw(t, "events") {
		key := rapid.SampledFrom(upstreamKeys).Draw(t, "key")
		next := sandbarrow.StoreRevision(len(h) + 1)
		_, listed := h.entry(key, h.head())
		switch kind := rapid.IntRange(0, 3).Draw(t, "kind"); {
		case kind == 0 && listed:
			h = append(h, gone(key, next))
		case kind == 1:
			h = append(h, item(key, next, "s "+key+" leaving"))
		default:
			h = append(h, item(key, next, "s "+key))
		}
	}
	return h
}

func (h history) head() sandbarrow.StoreRevision { return sandbarrow.StoreRevision(len(h)) }

// entry returns the entry of a key as it stood at a revision.
func (h history) entry(key string, at sandbarrow.StoreRevision) (sandbarrow.KeyItem, bool) {
	for _, it := range slices.Backward(h[:at]) {
		if it.Key == key {
			return it, !it.Deleted
		}
	}
	return sandbarrow.KeyItem{}, false
}

// whole is the list as a whole read returns it: its pages are no snapshot, so that the
// keys from second on are read later.
func (h history) whole(at, later sandbarrow.StoreRevision, second string) []sandbarrow.KeyItem {
	var items []sandbarrow.KeyItem
	for _, key := range upstreamKeys {
		read := at
		if key >= second {
			read = later
		}
		if it, listed := h.entry(key, read); listed {
			items = append(items, it)
		}
	}
	return items
}

// gatewayList is one gateway's directory and what the test remembers of it.
type gatewayList struct {
	*Directory
	// marks are those that it ever had: a watch was asked at any of them.
	marks []sandbarrow.StoreRevision
	// newest holds the highest revision that each upstream's entry ever had.
	newest map[sandbarrow.ListedID]sandbarrow.StoreRevision
}

// network is several gateways that follow a history, and all that is on its way to them.
type network struct {
	history  history
	gateways []*gatewayList
	changes  []Change
	lists    []news
}

func newNetwork(h history, gateways int) *network {
	n := &network{history: h}
	for range gateways {
		n.gateways = append(n.gateways, &gatewayList{
			Directory: New(list{}, slog.New(slog.DiscardHandler)),
			newest:    map[sandbarrow.ListedID]sandbarrow.StoreRevision{},
		})
	}
	return n
}

// revision draws a revision of the history that is at least some other one.
func (n *network) revision(t *rapid.T, least sandbarrow.StoreRevision, label string) sandbarrow.StoreRevision {
	return rapid.Custom(func(t *rapid.T) sandbarrow.StoreRevision {
		return sandbarrow.StoreRevision(rapid.IntRange(int(least), len(n.history)).Draw(t, label))
	}).Draw(t, label)
}

// wholeRead brings a whole read that was asked at any time.
func (n *network) wholeRead(t *rapid.T, g *gatewayList) {
	at := n.revision(t, 1, "read at")
	later := n.revision(t, at, "second page at")
	g.Replace(n.history.whole(at, later, rapid.SampledFrom(upstreamKeys).Draw(t, "second page")), at)
}

// watch brings the answer of a watch that was asked at any time, in any order of its items,
// and sends what others need of it on its way.
func (n *network) watch(t *rapid.T, g *gatewayList) {
	if len(g.marks) == 0 {
		return // a watch continues from a whole read
	}
	after := rapid.SampledFrom(g.marks).Draw(t, "asked after")
	at := n.revision(t, after, "answered at")
	items := slices.Clone(n.history[after:at])
	if len(items) > 0 {
		items = rapid.Permutation(items).Draw(t, "items")
	}
	n.changes = append(n.changes, g.Advance(items, at))
}

// peerChange brings any change that ever was on its way.
func (n *network) peerChange(t *rapid.T, g *gatewayList) {
	if len(n.changes) > 0 {
		g.ApplyPeerChange(rapid.SampledFrom(n.changes).Draw(t, "change"))
	}
}

// peerList brings any list that a peer ever gave.
func (n *network) peerList(t *rapid.T, g *gatewayList) {
	if len(n.lists) > 0 {
		l := rapid.SampledFrom(n.lists).Draw(t, "list")
		g.ApplyPeerList(l.items, l.at)
	}
}

// giveList lets a gateway answer a peer.
func (n *network) giveList(_ *rapid.T, g *gatewayList) {
	items, at := g.Items()
	n.lists = append(n.lists, news{items: items, at: at})
}

// check fails unless the mark and all entries are no older than before, and each upstream
// stands as it stood at some revision from the mark on.
func (n *network) check(t *rapid.T, g *gatewayList) {
	mark := g.Watermark()
	if len(g.marks) > 0 {
		assert.Assert(t, mark >= g.marks[len(g.marks)-1], "the mark went back to %d", mark)
	}
	if mark > 0 {
		g.marks = append(g.marks, mark)
	}
	for _, key := range upstreamKeys {
		id := sandbarrow.ListedID(key)
		l, held := g.entries[id]
		if held {
			assert.Assert(t, l.item.Revision >= g.newest[id], "%s went back from %d to %d", id, g.newest[id], l.item.Revision)
			g.newest[id] = l.item.Revision
		}
		assert.Assert(t, n.stoodSo(key, l, held, mark), "%s, listed %v, leaving %v, is older than the mark %d", id, held, l.instance.Draining, mark)
	}
}

// stoodSo reports whether an upstream stood so at some revision from the mark on.
func (n *network) stoodSo(key string, l listed, held bool, mark sandbarrow.StoreRevision) bool {
	for at := mark; at <= n.history.head(); at++ {
		it, listed := n.history.entry(key, at)
		if listed != held {
			continue
		}
		if !held || string(it.Value) == string(l.item.Value) {
			return true
		}
	}
	return false
}

func TestNothingGoesBackInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(drawHistory(t), 3)
		steps := []func(*rapid.T, *gatewayList){n.wholeRead, n.watch, n.watch, n.peerChange, n.peerChange, n.peerList, n.giveList}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			g := rapid.SampledFrom(n.gateways).Draw(t, "gateway")
			rapid.SampledFrom(steps).Draw(t, "step")(t, g)
			n.check(t, g)
		}
		ordered := New(list{}, slog.New(slog.DiscardHandler))
		ordered.Replace(nil, 0)
		for _, it := range n.history {
			ordered.Update([]sandbarrow.KeyItem{it}, it.Revision)
		}
		for _, g := range n.gateways {
			if g.Watermark() == 0 {
				g.Replace(nil, 0)
			}
			g.Update(n.history[g.Watermark():], n.history.head())
			assert.Equal(t, ids(g.Directory, "s"), ids(ordered, "s"))
		}
	})
}
