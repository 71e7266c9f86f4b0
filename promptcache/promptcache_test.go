package promptcache

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sandbarrow.example/sandbarrow"
)

func adapter(name string) sandbarrow.AdapterKey {
	return sandbarrow.AdapterKey{Adapter: sandbarrow.AdapterID(name), Model: "base"}
}

func TestStretches(t *testing.T) {
	for parts, lengths := range map[string][]int{
		"":                      {},
		"ab:2000":               {},
		"ab:2000, cd:50":        {2000, 2050},
		"ab:2000,cd:x,e:1":      {},
		"ab:2000,cd:5,ef:x,e:1": {2000, 2005},
		"ab":                    {},
		"ab:-5,cd:2000":         {},
		"ab:0,cd:2000,ef:7":     {0, 2000, 2007},
		"ab:400,cd:500,ef:7":    {},
	} {
		got := []int{}
		for _, s := range PromptPrefixes(adapter("a"), parts) {
			got = append(got, s.Tokens)
		}
		assert.DeepEqual(t, got, lengths)
	}
	a := PromptPrefixes(adapter("a"), "ab:1000,cd:50,ef:7")
	assert.DeepEqual(t, []bool{a[0].Own, a[1].Own, a[2].Own}, []bool{false, false, true})
	same := PromptPrefixes(adapter("a"), "ab:1000,cd:50,99:7")
	assert.Equal(t, same[1].Prefix, a[1].Prefix)
	assert.Assert(t, same[2].Prefix != a[2].Prefix)
	for _, other := range [][]PromptPrefix{
		PromptPrefixes(adapter("b"), "ab:1000,cd:50"), PromptPrefixes(adapter("a"), "cd:1000,cd:50"),
	} {
		assert.Assert(t, other[0].Prefix != a[0].Prefix, "another adapter, or another start")
		assert.Assert(t, other[1].Prefix != a[1].Prefix)
	}
	keys := map[Key]bool{}
	for _, v := range []sandbarrow.WeightsVersion{{}, {Adapter: 1, Model: 1}, {Adapter: 2, Model: 1}, {Adapter: 1, Model: 2}, {Model: 1}, {Adapter: 1}} {
		keys[a[0].Prefix.key(v)] = true
	}
	assert.Equal(t, len(keys), 6, "a key names the versions of the adapter and of the base model")
}

func TestMemoryIsOfOneVersion(t *testing.T) {
	var m Memory
	var mirror Mirror
	m.SetCapacity(100_000)
	k := adapter("a")
	s := PromptPrefixes(k, "s:1000,x:10")
	versions := []sandbarrow.WeightsVersion{{Adapter: 1, Model: 1}, {Adapter: 1, Model: 7}, {Adapter: 2, Model: 1}}
	for i, v := range versions {
		m.Use(k, v, s)
		changes, all, _ := m.Changes(0)
		mirror.Apply(changes, all)
		for j, other := range versions {
			want := 0
			if j <= i {
				want = 1000
			}
			assert.Equal(t, mirror.CachedTokens(other, s), want)
			assert.Equal(t, m.CachedTokens(other, s) > 0, j <= i)
		}
	}
	m.Clear()
	for _, v := range []sandbarrow.WeightsVersion{{}, {Adapter: 1}, {Model: 1}} {
		m.Use(k, v, s)
		assert.Equal(t, m.CachedTokens(v, s), 0, "%+v says not which weights of an adapter run", v)
	}
	base := sandbarrow.AdapterKey{Model: "base"}
	s = PromptPrefixes(base, "s:1000,x:10")
	m.Use(base, sandbarrow.WeightsVersion{Model: 7}, s)
	assert.Equal(t, m.CachedTokens(sandbarrow.WeightsVersion{Model: 7}, s), 1010, "the base model alone")
	assert.Equal(t, m.CachedTokens(sandbarrow.WeightsVersion{Model: 1}, s), 0)
}

// first is the version of the weights in tests where it does not matter.
var first = sandbarrow.WeightsVersion{Adapter: 1, Model: 1}

func TestMemory(t *testing.T) {
	var m Memory
	prompt := func(k, parts string) []PromptPrefix { return PromptPrefixes(adapter(k), parts) }
	use := func(k, parts string) { m.Use(adapter(k), first, prompt(k, parts)) }
	use("a", "s:1000,x:10")
	assert.Equal(t, m.CachedTokens(first, prompt("a", "s:1000,y:10")), 0, "its capacity is not known")
	m.SetCapacity(4000)
	use("a", "s:1000,x:10")
	assert.Equal(t, m.CachedTokens(first, prompt("a", "s:1000,y:10")), 1000)
	assert.Equal(t, m.CachedTokens(first, prompt("a", "s:1000,x:10")), 1010, "its own part too")
	assert.Equal(t, m.CachedTokens(first, prompt("b", "s:1000,x:10")), 0, "another adapter")
	use("b", "s:1000,x:1500")
	use("a", "s:1000,z:10")
	use("c", "s:1000,w:1")
	assert.Equal(t, m.CachedTokens(first, prompt("a", "s:1000,z:10")), 1010)
	assert.Equal(t, m.CachedTokens(first, prompt("b", "s:1000,x:1500")), 1000, "the part unused longest gave way")
	m.Drop(adapter("a"))
	assert.Equal(t, m.CachedTokens(first, prompt("a", "s:1000,z:10")), 0)
	assert.Equal(t, m.CachedTokens(first, prompt("c", "s:1000,z:10")), 1000)
	m.Clear()
	assert.Equal(t, m.CachedTokens(first, prompt("c", "s:1000,z:10")), 0)
	assert.Equal(t, m.used, 0)
}

func TestMirrorFollowsMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		var memory Memory
		var mirror Mirror
		memory.SetCapacity(15_000)
		at := uint64(0)
		name := func() string { return fmt.Sprint(random.IntN(5)) }
		for range rapid.IntRange(1, 600).Draw(t, "steps") {
			switch random.IntN(12) {
			case 0:
				memory.Drop(adapter(name()))
			case 1, 2, 3:
				changes, all, next := memory.Changes(at)
				mirror.Apply(changes, all)
				at = next
			default:
				k := name()
				memory.Use(adapter(k), first, PromptPrefixes(adapter(k), fmt.Sprintf("%x:900,%x:200,%x:90", random.IntN(3), random.IntN(3), random.IntN(1000))))
			}
			assert.Assert(t, memory.used <= 15_000)
		}
		changes, all, _ := memory.Changes(at)
		mirror.Apply(changes, all)
		for k := range 5 {
			for i := range 3 {
				for j := range 3 {
					s := PromptPrefixes(adapter(fmt.Sprint(k)), fmt.Sprintf("%x:900,%x:200,none:90", i, j))
					assert.Equal(t, mirror.CachedTokens(first, s), memory.CachedTokens(first, s))
				}
			}
		}
	})
}
