package demand

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sandbarrow.example/sandbarrow"
)

var start = time.Unix(1000, 0)

func key(i int) sandbarrow.AdapterKey {
	return sandbarrow.AdapterKey{Adapter: sandbarrow.AdapterID(fmt.Sprintf("adapter-%04d", i)), Model: "base"}
}

// listOf returns a list of so many adapters with falling demand.
func listOf(n int) List {
	var l List
	for i := range n {
		l = append(l, Entry{Key: key(i), Weight: Weight(math.Round(10000/float64(i+1)) / 10)})
	}
	sortByWeight(l)
	return l
}

func TestBusiestAdaptersComeFirstAndDemandDecays(t *testing.T) {
	var c Counts
	for i := range 10 {
		c.Add(start, key(i), 10-i)
	}
	list := c.Busiest(start)
	assert.Equal(t, len(list), 9, "an adapter that was requested once is listed")
	assert.Equal(t, list[0].Key, key(0))
	assert.Equal(t, len(c.Busiest(start.Add(10*halfLife))), 0)
	c.Add(start.Add(halfLife), key(0), 1)
	assert.Equal(t, c.Busiest(start.Add(halfLife))[0].Weight, Weight(6))
}

func TestCountsAreBoundedAndKeepTheBusiest(t *testing.T) {
	var c Counts
	c.Add(start, key(-1), 1000)
	for i := range 3 * maxCounted {
		c.Add(start, key(i), 2)
	}
	assert.Assert(t, len(c.counts) <= maxCounted)
	list := c.Busiest(start)
	assert.Equal(t, len(list), MaxEntries)
	assert.Equal(t, list[0].Key, key(-1))
}

// The list of another process must not count twice what both have counted.
func TestMergeTakesTheHigherDemand(t *testing.T) {
	var c Counts
	c.Add(start, key(0), 5)
	c.Merge(start, List{{Key: key(0), Weight: 4}, {Key: key(1), Weight: 7}})
	list := c.Busiest(start)
	assert.DeepEqual(t, list, List{{Key: key(1), Weight: 7}, {Key: key(0), Weight: 5}})
}

func TestEncodedListFitsAndIsReadAgain(t *testing.T) {
	full := listOf(1000)
	text, err := full.Encode()
	assert.NilError(t, err)
	assert.Assert(t, len(text) <= MaxBytes, "%d bytes", len(text))
	read, err := Decode(text)
	assert.NilError(t, err)
	assert.DeepEqual(t, read, full[:MaxEntries])
}

func TestLongNamesAreCutOff(t *testing.T) {
	var long List
	for i := range MaxEntries {
		k := key(i)
		k.Adapter += sandbarrow.AdapterID(strings.Repeat("x", 100))
		long = append(long, Entry{Key: k, Weight: Weight(1000 - i)})
	}
	text, err := long.Encode()
	assert.NilError(t, err)
	assert.Assert(t, len(text) <= MaxBytes && len(text) > MaxBytes/2, "%d bytes", len(text))
	read, err := Decode(text)
	assert.NilError(t, err)
	assert.DeepEqual(t, read, long[:len(read)])
}

// A value that another build or another writer stored must do no harm.
func TestForeignValuesAreRefused(t *testing.T) {
	for _, text := range []string{"", "x", "{}", "7", `[{"m":"b","a":["x"],"w":[]}]`, `[{"m":"b","a":"x"}]`, "[" + strings.Repeat(" ", MaxBytes) + "]"} {
		_, err := Decode([]byte(text))
		assert.Assert(t, errors.Is(err, ErrMalformed), "%.40s: %v", text, err)
	}
	list, err := Decode([]byte(`[{"m":"b","a":["","x","y"],"w":[1,-2,3]},{"m":"","a":["z"],"w":[1]}]`))
	assert.NilError(t, err)
	assert.DeepEqual(t, list, List{{Key: sandbarrow.AdapterKey{Adapter: "y", Model: "b"}, Weight: 3}})
}

// Guards against a stored list that keeps demand from being stored again.
func TestListAfterOddWeightsIsStored(t *testing.T) {
	for _, weight := range []string{"1e308", "1.7976931348623157e308", "1e18", "9223372036854775808"} {
		list, err := Decode([]byte(`[{"m":"b","a":["x","y"],"w":[` + weight + `,3]}]`))
		assert.NilError(t, err)
		var c Counts
		now := time.Now()
		c.Merge(now, list)
		for range 100 {
			c.Add(now, sandbarrow.AdapterKey{Adapter: "z", Model: "b"}, 5)
			c.Merge(now, list)
		}
		_, err = c.Busiest(now).Encode()
		assert.NilError(t, err, weight)
		assert.Equal(t, len(c.Busiest(now)), 2, "y and z")
		c.Merge(now, nil)
		later := now.Add(30 * time.Minute)
		assert.Equal(t, len(c.Busiest(later)), 0, "%s is demand for ever", weight)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`[{"m":"b","a":["x"],"w":[1]}]`))
	f.Add([]byte(`[{"m":"b","a":["x"],"w":[1e308]}]`))
	f.Fuzz(func(t *testing.T, text []byte) {
		list, err := Decode(text)
		if err != nil {
			return
		}
		again, err := list.Encode()
		assert.NilError(t, err)
		assert.Assert(t, len(again) <= MaxBytes && len(list) <= MaxEntries)
	})
}

func TestSmallShiftsOfDemandAreNoChange(t *testing.T) {
	list := listOf(100)
	assert.Assert(t, !list.ChangedFrom(list))
	assert.Assert(t, list.ChangedFrom(nil))
	assert.Assert(t, !List(nil).ChangedFrom(list), "a list without demand replaces one with demand")
	scaled := List{}
	for _, e := range list {
		scaled = append(scaled, Entry{Key: e.Key, Weight: e.Weight / 2})
	}
	assert.Assert(t, !scaled.ChangedFrom(list))
	assert.Assert(t, list[20:].ChangedFrom(list))
}

// Each adapter has one engine that preloads it, and no engine gets far more than its share.
func TestEachAdapterIsOwnedByOneEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var engines []string
		for i := range rapid.IntRange(5, 50).Draw(t, "engines") {
			engines = append(engines, fmt.Sprintf("10.0.%d.%d:7380", i/200, 1+i%200))
		}
		list := listOf(MaxEntries)
		owners, most := map[sandbarrow.AdapterKey]int{}, 0
		for _, e := range engines {
			owned := list.Owned(e, engines)
			most = max(most, len(owned))
			for _, k := range owned {
				owners[k]++
			}
		}
		assert.Equal(t, len(owners), len(list))
		for k, n := range owners {
			assert.Equal(t, n, 1, "%v", k)
		}
		share := float64(len(list)) / float64(len(engines))
		assert.Check(t, float64(most) < share+5*math.Sqrt(share), "%d of %d adapters at one of %d engines", most, len(list), len(engines))
	})
}
