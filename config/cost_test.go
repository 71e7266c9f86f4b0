package config

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/policy"
)

// documentWithAdapters returns a document with n adapters that have two versions each.
func documentWithAdapters(n int) *Document {
	d := &Document{
		BaseModels: []BaseModel{{ID: "base-0"}},
		Classes:    []Class{{ID: "desk"}},
		Policies:   []Policy{{ID: "p", Source: policy.Source{Version: "percent < 20 ? 'v2' : 'v1'"}}},
	}
	for i := range n {
		d.Adapters = append(d.Adapters, Adapter{
			BaseModel: "base-0", ID: sandbarrow.AdapterID(fmt.Sprint("adapter-", i)), Policy: "p",
			Versions: []Version{{ID: "v1", Weights: fmt.Sprint("weights/", i, "/1")}, {ID: "v2", Weights: fmt.Sprint("weights/", i, "/2")}},
		})
	}
	return d
}

// BenchmarkConfigurationCost reports the memory and CPU time that a configuration costs each box.
func BenchmarkConfigurationCost(b *testing.B) {
	for _, n := range []int{1000, 5000, 11000} {
		b.Run(fmt.Sprintf("adapters=%d", n), func(b *testing.B) {
			s, err := split(documentWithAdapters(n))
			if err != nil {
				b.Fatal(err)
			}
			s.Head.Revision = 1
			before := heapInUse()
			stored := Snapshot{Head: s.Head, Shards: map[sandbarrow.Digest][]byte{}}
			bytes := 0
			for digest, value := range s.Shards {
				stored.Shards[digest] = append([]byte(nil), value...)
				bytes += len(value)
			}
			var v *View
			for b.Loop() {
				if v, err = NewView(stored); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(heapInUse()-before)/float64(n), "bytes/adapter")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(n), "cpu-µs/adapter/change")
			head, _ := json.Marshal(s.Head)
			b.ReportMetric(float64(len(head)), "head-bytes")
			b.ReportMetric(float64(bytes)/float64(len(s.Shards)), "shard-bytes")
			runtime.KeepAlive(v)
			runtime.KeepAlive(stored)
		})
	}
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
