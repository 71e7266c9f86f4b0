package estate

import (
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/route"
)

// documents parses tables whose text is their version. A key that begins with "evacuate/" evacuates
// a failure domain. Every other key names an adapter version.
type documents struct{}

func (documents) EvacuatedDomain(key string) (sandbarrow.FailureDomain, bool) {
	domain, ok := strings.CutPrefix(key, "evacuate/")
	return sandbarrow.FailureDomain(domain), ok
}
func (documents) IsTable(key string) bool { return key == "table" }
func (documents) Prefix() string          { return "" }
func (documents) TableKey() string        { return "table" }
func (documents) Table(text []byte) (*route.Table, error) {
	version, err := strconv.ParseUint(string(text), 10, 64)
	if err != nil {
		return nil, route.ErrInvalid
	}
	return route.NewTable(version, nil, nil, route.Limits{})
}
func (documents) Version(it sandbarrow.KeyItem) (sandbarrow.AdapterKey, sandbarrow.AdapterVersion, error) {
	if it.Key == "table" {
		return sandbarrow.AdapterKey{}, 0, ErrOtherKey
	}
	version, _ := strconv.ParseUint(string(it.Value), 10, 64)
	return sandbarrow.AdapterKey{Adapter: sandbarrow.AdapterID(it.Key)}, sandbarrow.AdapterVersion(version), nil
}

func newEstate() *Estate { return New(documents{}, slog.New(slog.DiscardHandler)) }

func table(revision sandbarrow.StoreRevision, text string) sandbarrow.KeyItem {
	return sandbarrow.KeyItem{Key: "table", Revision: revision, Value: []byte(text)}
}

func TestMalformedTableKeepsPreviousTable(t *testing.T) {
	e := newEstate()
	e.Update([]sandbarrow.KeyItem{table(1, "4")}, 1)
	e.Update([]sandbarrow.KeyItem{table(2, "rubbish")}, 2)
	assert.Equal(t, e.View().Table.Version, uint64(4))
	e.Update([]sandbarrow.KeyItem{table(3, "9")}, 3)
	assert.Equal(t, e.View().Table.Version, uint64(9))
}

func TestNoViewBeforeFirstTable(t *testing.T) {
	e := newEstate()
	e.Update([]sandbarrow.KeyItem{{Key: "a1", Revision: 1, Value: []byte("2")}}, 1)
	assert.Assert(t, e.View() == nil)
}

// lastNamed returns the last version of the adapter in a history, or 0.
func lastNamed(history []sandbarrow.KeyItem) sandbarrow.AdapterVersion {
	for _, it := range slices.Backward(history) {
		if it.Key != "table" {
			return sandbarrow.AdapterVersion(it.Revision)
		}
	}
	return 0
}

func TestRevisionsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history []sandbarrow.KeyItem
		for i := range rapid.IntRange(1, 20).Draw(t, "changes") {
			revision := sandbarrow.StoreRevision(i + 1)
			text := strconv.Itoa(i + 1)
			if rapid.Bool().Draw(t, "is table") {
				history = append(history, table(revision, text))
			} else {
				history = append(history, sandbarrow.KeyItem{Key: "a1", Revision: revision, Value: []byte(text)})
			}
		}
		ordered, mixed := newEstate(), newEstate()
		for _, it := range history {
			ordered.Update([]sandbarrow.KeyItem{it}, it.Revision)
		}
		var last View
		for range 30 {
			batch := rapid.SliceOfN(rapid.SampledFrom(history), 1, 4).Draw(t, "batch")
			mixed.Update(batch, 0)
			if v := mixed.View(); v != nil {
				key := sandbarrow.AdapterKey{Adapter: "a1"}
				if v.Revision < last.Revision || v.Version(key) < last.Version(key) {
					t.Fatalf("view changed from %v to the older %v", last, *v)
				}
				last = *v
			}
		}
		items, watermark := ordered.Since(Watermark{})
		mixed.Update(items, watermark.Revision)
		a, b := ordered.View(), mixed.View()
		if (a == nil) != (b == nil) || a != nil && a.Revision != b.Revision {
			t.Fatal("views differ after all changes")
		}
		key := sandbarrow.AdapterKey{Adapter: "a1"}
		for _, v := range []*View{a, b} {
			if v != nil && v.Version(key) != lastNamed(history) {
				t.Fatalf("version %d after all changes, want %d", v.Version(key), lastNamed(history))
			}
		}
	})
}

func TestSinceReturnsOnlyMissingItems(t *testing.T) {
	e := newEstate()
	e.Update([]sandbarrow.KeyItem{table(3, "1"), {Key: "a1", Revision: 5, Value: []byte("2")}}, 8)
	items, watermark := e.Since(Watermark{Revision: 3})
	assert.Equal(t, len(items), 1)
	assert.Equal(t, items[0].Key, "a1")
	assert.DeepEqual(t, watermark, Watermark{Revision: 8})
}

func TestVersionNamedBeforeFirstTableIsKept(t *testing.T) {
	e := newEstate()
	named := sandbarrow.KeyItem{Key: "a1", Revision: 1, Value: []byte("2")}
	e.Update([]sandbarrow.KeyItem{named}, 1)
	e.Update([]sandbarrow.KeyItem{table(2, "4")}, 2)
	key := sandbarrow.AdapterKey{Adapter: "a1"}
	assert.Equal(t, e.View().Version(key), sandbarrow.AdapterVersion(2))
	e.Replace([]sandbarrow.KeyItem{named, table(2, "4")}, 2)
	assert.Equal(t, e.View().Version(key), sandbarrow.AdapterVersion(2))
}

func TestLogNamesSourceOfConfiguration(t *testing.T) {
	var lines strings.Builder
	e := New(documents{}, slog.New(slog.NewTextHandler(&lines, nil)))
	e.ApplyPeerChange([]sandbarrow.KeyItem{table(1, "4")}, Watermark{Revision: 1})
	assert.Assert(t, strings.Contains(lines.String(), "version=4 revision=1 from=peer"), lines.String())
	assert.Assert(t, e.LastStoreResponse().IsZero())
	e.Update([]sandbarrow.KeyItem{table(2, "6")}, 2)
	assert.Assert(t, strings.Contains(lines.String(), "version=6 revision=2 from=store"), lines.String())
	last := e.LastStoreResponse()
	assert.Assert(t, !last.IsZero())
	e.Update(nil, 3)
	assert.Assert(t, !e.LastStoreResponse().Before(last))
}
