package access

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
)

func testKeys() *Keys {
	return NewKeys([]Entry{
		{Keys: []string{"red-1", "red-2"}, Workspace: Workspace{ID: "red"}},
		{Keys: []string{"blue-1", "red-2", ""}, Workspace: Workspace{ID: "blue"}},
	})
}

func TestFind(t *testing.T) {
	k := testKeys()
	for _, test := range []struct {
		header []string
		want   sandbarrow.WorkspaceID
	}{
		{[]string{"Bearer red-1"}, "red"},
		{[]string{"bearer  blue-1"}, "blue"},
		{[]string{"Bearer red-2"}, "red"},
		{[]string{"Bearer red-1", "Bearer red-1"}, ""},
		{[]string{"Bearer red"}, ""},
		{[]string{"Bearer red-1 "}, ""},
		{[]string{"Bearer "}, ""},
		{[]string{"Basic red-1"}, ""},
		{[]string{"red-1"}, ""},
		{[]string{""}, ""},
		{nil, ""},
	} {
		got := sandbarrow.WorkspaceID("")
		if w := k.Find(test.header); w != nil {
			got = w.ID
		}
		assert.Equal(t, got, test.want, "%q", test.header)
	}
}

// Keys are secrets. A Keys value that is printed, such as by mistake in a log line, shows none.
func TestKeysAreNotPrinted(t *testing.T) {
	text := fmt.Sprintf("%+v", *testKeys())
	assert.Assert(t, !strings.Contains(text, "red-1"), text)
}

func TestCost(t *testing.T) {
	tokens := Limit{PlainTokens: 200, Unit: UnitTokens}
	for usage, want := range map[string]int64{
		"1460,80": 1540, " 7 , 8 ": 15, "12": 12, "": 200, "a,b": 200, "5,": 200, "-5,9": 200, "99999999999999999999": 200, "0,0": 0,
	} {
		assert.Equal(t, tokens.Cost(usage), want, "%q", usage)
	}
	requests := Limit{Unit: UnitRequests}
	assert.Equal(t, requests.Cost("1460,80"), int64(1))
}

func FuzzFind(f *testing.F) {
	for _, seed := range []string{"Bearer red-1", "bearer red-2", "Bearer", " Bearer red-1", "Bearer\tred-1", "Bearer red-1,Bearer blue-1"} {
		f.Add(seed)
	}
	k := testKeys()
	f.Fuzz(func(t *testing.T, header string) {
		w := k.Find([]string{header})
		if w != nil && !strings.HasSuffix(header, " red-1") && !strings.HasSuffix(header, " red-2") && !strings.HasSuffix(header, " blue-1") {
			t.Fatalf("header %q is accepted for workspace %s", header, w.ID)
		}
	})
}

func FuzzCost(f *testing.F) {
	for _, seed := range []string{"1460,80", "", "-1,2", "1e9,1", "9223372036854775807,9223372036854775807"} {
		f.Add(seed)
	}
	limit := Limit{PlainTokens: 200, Unit: UnitTokens}
	f.Fuzz(func(t *testing.T, usage string) {
		if cost := limit.Cost(usage); cost < 0 || cost > maxCost {
			t.Fatalf("%q costs %d", usage, cost)
		}
	})
}

func BenchmarkFind(b *testing.B) {
	k, header := testKeys(), []string{"Bearer red-1"}
	for b.Loop() {
		if k.Find(header) == nil {
			b.Fatal("not found")
		}
	}
}
