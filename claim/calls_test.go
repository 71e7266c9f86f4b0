package claim

import (
	"context"
	"fmt"
	"testing"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/storetest"
	"sandbarrow.example/sandbarrow/store"
)

func BenchmarkStoreCalls(b *testing.B) {
	for name, tc := range map[string]struct{ lostEach, racers int }{
		"alone":        {0, 1},
		"lost-replies": {10, 1},
		"repeated":     {0, 2},
	} {
		b.Run(name, func(b *testing.B) {
			calls := 0
			s := &storetest.Store{Inner: store.NewMemory(), Next: func() storetest.Fault {
				calls++
				if tc.lostEach > 0 && calls%tc.lostEach == 0 {
					return storetest.ReplyLost
				}
				return storetest.None
			}}
			c := NewStore(s)
			n := 0
			for b.Loop() {
				n++
				for racer := range tc.racers {
					_ = c.Start(context.Background(), sandbarrow.RequestID(fmt.Sprint(n)), sandbarrow.Claim{Attempt: 1, Token: fmt.Sprint(n, racer)})
				}
			}
			b.ReportMetric(float64(calls)/float64(n), "calls/request")
		})
	}
}
