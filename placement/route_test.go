package placement

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
)

const adapterCount = 11_000

// newLoadedFleet returns a fleet of runners with some adapters loaded on each.
func newLoadedFleet(runners int) *Fleet {
	f := NewFleet()
	for i := range runners {
		index := f.Add(Info{
			BaseModel:     sandbarrow.BaseModelID(fmt.Sprint("base-", i%3)),
			FailureDomain: sandbarrow.FailureDomain(fmt.Sprint(i % 9)),
			ID:            sandbarrow.UpstreamID(fmt.Sprint("runner-", i)),
			MaxRunning:    32,
		})
		resident := make([]uint64, 12)
		for k := range resident {
			resident[k] = HashModel(model(i*12 + k))
		}
		f.SetResident(index, resident)
		f.SetLoad(index, Load{LoadTime: time.Second, Running: i % 32, ServiceTime: time.Second})
	}
	return f
}

func model(i int) sandbarrow.ModelRef {
	return sandbarrow.ModelRef{Adapter: sandbarrow.AdapterID(fmt.Sprint("adapter-", i%adapterCount)), Version: "v1"}
}

func route(i int) *sandbarrow.RouteRequest {
	return &sandbarrow.RouteRequest{
		BaseModel: sandbarrow.BaseModelID(fmt.Sprint("base-", i%3)),
		Hash:      HashModel(model(i)),
	}
}

func BenchmarkRoute(b *testing.B) {
	routes := make([]*sandbarrow.RouteRequest, adapterCount)
	for i := range routes {
		routes[i] = route(i)
	}
	for _, runners := range []int{18, 400, 4000} {
		f := newLoadedFleet(runners)
		c := NewAffinity(f)
		for _, r := range routes {
			c.Choose(time.Time{}, r) // fills the ranking cache
		}
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				c.Choose(time.Time{}, routes[i%len(routes)])
				i++
			}
		})
		b.Run(fmt.Sprintf("cold/runners=%d", runners), func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				clear(f.ranks)
				c.Choose(time.Time{}, routes[i%len(routes)])
				i++
			}
		})
	}
}

// BenchmarkFleetMemory reports the bytes per runner and per cached ranking.
func BenchmarkFleetMemory(b *testing.B) {
	for _, runners := range []int{18, 400, 4000} {
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				f := newLoadedFleet(runners)
				built := heapBytes()
				c := NewAffinity(f)
				for i := range adapterCount {
					c.Choose(time.Time{}, route(i))
				}
				b.ReportMetric(float64(built-before)/float64(runners), "bytes/runner")
				b.ReportMetric(float64(heapBytes()-built)/adapterCount, "bytes/ranking")
				runtime.KeepAlive(f)
			}
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func TestFirstTwoRanksSpanFailureDomains(t *testing.T) {
	f := newLoadedFleet(18)
	for i := range 200 {
		ranked := f.rank(route(i))
		assert.Assert(t, len(ranked) >= 2)
		assert.Assert(t, f.upstreams[ranked[0]].info.FailureDomain != f.upstreams[ranked[1]].info.FailureDomain)
	}
}

func TestNewUpstreamMovesFewAdapters(t *testing.T) {
	small, grown := newLoadedFleet(60), newLoadedFleet(63)
	moved := 0
	for i := range 1000 {
		if small.rank(route(i))[0] != grown.rank(route(i))[0] {
			moved++
		}
	}
	// Each base model has 21 runners instead of 20. The new one takes one in 21 adapters.
	assert.Assert(t, moved > 20 && moved < 90, "%d of 1000 moved", moved)
}

func TestChoosePrefersLowestCost(t *testing.T) {
	first := func(f *Fleet, r *sandbarrow.RouteRequest) int { return int(f.rank(r)[0]) }
	for name, tc := range map[string]struct {
		arrange func(f *Fleet, r *sandbarrow.RouteRequest)
		want    func(f *Fleet, r *sandbarrow.RouteRequest, got int) bool
	}{
		"first rank in an idle fleet": {
			func(*Fleet, *sandbarrow.RouteRequest) {},
			func(f *Fleet, r *sandbarrow.RouteRequest, got int) bool { return got == first(f, r) },
		},
		"a loaded copy goes before the first rank": {
			func(f *Fleet, r *sandbarrow.RouteRequest) { f.SetResident(int(f.rank(r)[2]), []uint64{r.Hash}) },
			func(f *Fleet, r *sandbarrow.RouteRequest, got int) bool { return got == int(f.rank(r)[2]) },
		},
		"a long queue spills to the next rank": {
			func(f *Fleet, r *sandbarrow.RouteRequest) {
				f.SetResident(first(f, r), []uint64{r.Hash})
				f.SetLoad(first(f, r), Load{LoadTime: time.Second, Queued: 100, Running: 32, ServiceTime: time.Second})
			},
			func(f *Fleet, r *sandbarrow.RouteRequest, got int) bool { return got == int(f.rank(r)[1]) },
		},
		"an unavailable upstream is skipped": {
			func(f *Fleet, r *sandbarrow.RouteRequest) { f.SetAvailable(first(f, r), false) },
			func(f *Fleet, r *sandbarrow.RouteRequest, got int) bool { return got != first(f, r) },
		},
		"an excluded upstream is skipped": {
			func(f *Fleet, r *sandbarrow.RouteRequest) {
				r.Exclude = &sandbarrow.IndexSet{}
				r.Exclude.Add(first(f, r))
			},
			func(f *Fleet, r *sandbarrow.RouteRequest, got int) bool { return got != first(f, r) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := NewFleet()
			for i := range 9 {
				f.Add(Info{BaseModel: "base-0", FailureDomain: sandbarrow.FailureDomain(fmt.Sprint(i % 3)), ID: sandbarrow.UpstreamID(fmt.Sprint(i)), MaxRunning: 32})
			}
			r := route(3)
			tc.arrange(f, r)
			got, ok := NewAffinity(f).Choose(time.Time{}, r)
			assert.Assert(t, ok && tc.want(f, r, got), "chose %d of %v", got, f.rank(r))
		})
	}
}
