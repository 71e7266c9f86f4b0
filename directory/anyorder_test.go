package directory

import (
	"log/slog"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sandbarrow.example/sandbarrow"
)

// upstreamKeys are the keys in the histories. Each has its own address.
var upstreamKeys = []string{"a", "b", "c", "d"}

// history is the sequence of all writes to the list. Event i has revision i+1.
type history []sandbarrow.KeyItem

// drawHistory draws a history that removes only listed upstreams.
func drawHistory(t *rapid.T) history {
	var h history
	for range rapid.IntRange(1, 25).Draw(t, "events") {
		key := rapid.SampledFrom(upstreamKeys).Draw(t, "key")
		next := sandbarrow.StoreRevision(len(h) + 1)
		_, listed := h.entry(key, h.head())
		switch kind := rapid.IntRange(0, 3).Draw(t, "kind"); {
		case kind == 0 && listed:
			h = append(h, deleted(key, next))
		case kind == 1:
			h = append(h, item(key, next, "s "+key+" leaving"))
		default:
			h = append(h, item(key, next, "s "+key))
		}
	}
	return h
}

func (h history) head() sandbarrow.StoreRevision { return sandbarrow.StoreRevision(len(h)) }

// entry returns the entry of a key at a revision.
func (h history) entry(key string, at sandbarrow.StoreRevision) (sandbarrow.KeyItem, bool) {
	for _, it := range slices.Backward(h[:at]) {
		if it.Key == key {
			return it, !it.Deleted
		}
	}
	return sandbarrow.KeyItem{}, false
}

// pagedRead returns the list as a full read returns it. Its pages are not one snapshot: keys
// from second on are read at the revision later.
func (h history) pagedRead(at, later sandbarrow.StoreRevision, second string) []sandbarrow.KeyItem {
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

// gatewayList is one gateway's directory with the past states that the test compares.
type gatewayList struct {
	*Directory
	// watermarks are all its watermarks so far. A watch may have started at any of them.
	watermarks []sandbarrow.StoreRevision
	// newest holds the highest revision so far of each upstream's entry.
	newest map[sandbarrow.ListedID]sandbarrow.StoreRevision
}

// network is several gateways that follow a history, and the messages in flight to them.
type network struct {
	history  history
	gateways []*gatewayList
	changes  []Change
	lists    []listUpdate
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

// revision draws a revision of the history that is at least lowest.
func (n *network) revision(t *rapid.T, lowest sandbarrow.StoreRevision, label string) sandbarrow.StoreRevision {
	return rapid.Custom(func(t *rapid.T) sandbarrow.StoreRevision {
		return sandbarrow.StoreRevision(rapid.IntRange(int(lowest), len(n.history)).Draw(t, label))
	}).Draw(t, label)
}

// fullRead delivers the result of a full read that started at any time.
func (n *network) fullRead(t *rapid.T, g *gatewayList) {
	at := n.revision(t, 1, "read at")
	later := n.revision(t, at, "second page at")
	g.Replace(n.history.pagedRead(at, later, rapid.SampledFrom(upstreamKeys).Draw(t, "second page")), at)
}

// watch delivers the response of a watch that started at any time, with its items in any
// order, and adds the resulting change to the messages in flight.
func (n *network) watch(t *rapid.T, g *gatewayList) {
	if len(g.watermarks) == 0 {
		return // a watch continues from a full read
	}
	after := rapid.SampledFrom(g.watermarks).Draw(t, "watch from")
	at := n.revision(t, after, "watch until")
	items := slices.Clone(n.history[after:at])
	if len(items) > 0 {
		items = rapid.Permutation(items).Draw(t, "items")
	}
	n.changes = append(n.changes, g.Advance(items, at))
}

// peerChange delivers any change that was ever in flight. It may arrive repeatedly.
func (n *network) peerChange(t *rapid.T, g *gatewayList) {
	if len(n.changes) > 0 {
		g.ApplyPeerChange(rapid.SampledFrom(n.changes).Draw(t, "change"))
	}
}

// peerList delivers any list that a peer ever sent.
func (n *network) peerList(t *rapid.T, g *gatewayList) {
	if len(n.lists) > 0 {
		l := rapid.SampledFrom(n.lists).Draw(t, "list")
		g.ApplyPeerList(l.items, l.at)
	}
}

// sendList has a gateway send its list to a peer.
func (n *network) sendList(_ *rapid.T, g *gatewayList) {
	items, at := g.Items()
	n.lists = append(n.lists, listUpdate{items: items, at: at})
}

// check fails if the watermark or an entry is older than before, or if an upstream's state
// matches no revision from the watermark on.
func (n *network) check(t *rapid.T, g *gatewayList) {
	watermark := g.Watermark()
	if len(g.watermarks) > 0 {
		assert.Assert(t, watermark >= g.watermarks[len(g.watermarks)-1], "the watermark went back to %d", watermark)
	}
	if watermark > 0 {
		g.watermarks = append(g.watermarks, watermark)
	}
	for _, key := range upstreamKeys {
		id := sandbarrow.ListedID(key)
		l, known := g.entries[id]
		if known {
			assert.Assert(t, l.item.Revision >= g.newest[id], "%s went back from %d to %d", id, g.newest[id], l.item.Revision)
			g.newest[id] = l.item.Revision
		}
		assert.Assert(t, n.matchesHistory(key, l, known, watermark), "%s, listed %v, draining %v, is older than the watermark %d", id, known, l.instance.Draining, watermark)
	}
}

// matchesHistory reports whether an upstream had this state at some revision from the watermark on.
func (n *network) matchesHistory(key string, l listed, known bool, watermark sandbarrow.StoreRevision) bool {
	for at := watermark; at <= n.history.head(); at++ {
		it, listed := n.history.entry(key, at)
		if listed != known {
			continue
		}
		if !known || string(it.Value) == string(l.item.Value) {
			return true
		}
	}
	return false
}

func TestMessagesInAnyOrderNeverRevertState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(drawHistory(t), 3)
		steps := []func(*rapid.T, *gatewayList){n.fullRead, n.watch, n.watch, n.peerChange, n.peerChange, n.peerList, n.sendList}
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
