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
		for _, s := range Stretches(adapter("a"), 1, parts) {
			got = append(got, s.Tokens)
		}
		assert.DeepEqual(t, got, lengths)
	}
	a := Stretches(adapter("a"), 1, "ab:1000,cd:50,ef:7")
	assert.DeepEqual(t, []bool{a[0].Own, a[1].Own, a[2].Own}, []bool{false, false, true})
	same := Stretches(adapter("a"), 1, "ab:1000,cd:50,99:7")
	assert.Equal(t, same[1].Prefix, a[1].Prefix)
	assert.Assert(t, same[2].Prefix != a[2].Prefix)
	for _, other := range [][]Stretch{
		Stretches(adapter("b"), 1, "ab:1000,cd:50"), Stretches(adapter("a"), 2, "ab:1000,cd:50"), Stretches(adapter("a"), 1, "cd:1000,cd:50"),
	} {
		assert.Assert(t, other[0].Prefix != a[0].Prefix, "other weights, or another start")
		assert.Assert(t, other[1].Prefix != a[1].Prefix)
	}
}

func TestMemory(t *testing.T) {
	var m Memory
	prompt := func(k, parts string) []Stretch { return Stretches(adapter(k), 1, parts) }
	use := func(k, parts string) { m.Use(adapter(k), prompt(k, parts)) }
	use("a", "s:1000,x:10")
	assert.Equal(t, m.Kept(prompt("a", "s:1000,y:10")), 0, "its capacity is not known")
	m.SetCapacity(4000)
	use("a", "s:1000,x:10")
	assert.Equal(t, m.Kept(prompt("a", "s:1000,y:10")), 1000)
	assert.Equal(t, m.Kept(prompt("a", "s:1000,x:10")), 1010, "its own part too")
	assert.Equal(t, m.Kept(prompt("b", "s:1000,x:10")), 0, "another adapter")
	use("b", "s:1000,x:1500")
	use("a", "s:1000,z:10")
	use("c", "s:1000,w:1")
	assert.Equal(t, m.Kept(prompt("a", "s:1000,z:10")), 1010)
	assert.Equal(t, m.Kept(prompt("b", "s:1000,x:1500")), 1000, "the part unused longest gave way")
	m.Drop(adapter("a"))
	assert.Equal(t, m.Kept(prompt("a", "s:1000,z:10")), 0)
	assert.Equal(t, m.Kept(prompt("c", "s:1000,z:10")), 1000)
	m.Clear()
	assert.Equal(t, m.Kept(prompt("c", "s:1000,z:10")), 0)
	assert.Equal(t, m.used, 0)
}

// A mirror that reads the changes now and then says of shared parts what the memory
// says, and the memory keeps no more than fits.
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
				memory.Use(adapter(k), Stretches(adapter(k), 1, fmt.Sprintf("%x:900,%x:200,%x:90", random.IntN(3), random.IntN(3), random.IntN(1000))))
			}
			assert.Assert(t, memory.used <= 15_000)
		}
		changes, all, _ := memory.Changes(at)
		mirror.Apply(changes, all)
		for k := range 5 {
			for i := range 3 {
				for j := range 3 {
					s := Stretches(adapter(fmt.Sprint(k)), 1, fmt.Sprintf("%x:900,%x:200,none:90", i, j))
					assert.Equal(t, mirror.Kept(s), memory.Kept(s))
				}
			}
		}
	})
}
