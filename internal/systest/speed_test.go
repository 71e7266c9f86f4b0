package systest

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

const loadDuration = 3 * time.Second

// completionRequest returns a completion request, direct to the engine or through the entry.
func completionRequest(url, model string, tokens int, stream bool) *fasthttp.Request {
	r := &fasthttp.Request{}
	r.SetRequestURI(url + "/v1/completions")
	r.Header.SetMethod(fasthttp.MethodPost)
	r.Header.SetContentType("application/json")
	r.Header.Set("Authorization", "Bearer "+callerKey)
	r.SetBodyString(fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":%t,"prompt":"where is 12 Station Road"}`, model, tokens, stream))
	return r
}

// runLoad sends a request from many clients at a rate, or as fast as they get responses if it is 0.
// It returns the sorted response times and the number of data events in the responses.
func runLoad(t testing.TB, r *fasthttp.Request, clients int, perSecond float64) ([]time.Duration, int64) {
	client := &fasthttp.Client{MaxConnsPerHost: clients, ReadTimeout: 20 * time.Second}
	end := time.Now().Add(loadDuration)
	var events atomic.Int64
	var mu sync.Mutex
	var durations []time.Duration
	var wg sync.WaitGroup
	for n := range clients {
		wg.Go(func() {
			req, resp := &fasthttp.Request{}, fasthttp.AcquireResponse()
			r.CopyTo(req)
			defer fasthttp.ReleaseResponse(resp)
			var clientDurations []time.Duration
			pause := time.Duration(0)
			if perSecond > 0 {
				pause = time.Duration(float64(clients) / perSecond * float64(time.Second))
				time.Sleep(pause * time.Duration(n) / time.Duration(clients))
			}
			for next := time.Now(); next.Before(end); next = next.Add(pause) {
				time.Sleep(time.Until(next))
				started := time.Now()
				if err := client.Do(req, resp); err != nil || resp.StatusCode() != fasthttp.StatusOK {
					t.Errorf("status %d, error %v: %s", resp.StatusCode(), err, resp.Body())
					return
				}
				clientDurations = append(clientDurations, time.Since(started))
				events.Add(int64(bytes.Count(resp.Body(), []byte("data: {"))))
				if pause == 0 {
					next = time.Now()
				}
			}
			mu.Lock()
			defer mu.Unlock()
			durations = append(durations, clientDurations...)
		})
	}
	wg.Wait()
	slices.Sort(durations)
	return durations, events.Load()
}

// residentMB returns the resident memory of a process.
func residentMB(t testing.TB, pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	assert.NilError(t, err)
	for line := range strings.Lines(string(text)) {
		var kb float64
		if n, _ := fmt.Sscanf(line, "VmRSS: %g kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}

func BenchmarkSpeed(b *testing.B) {
	opts := defaultOptions()
	opts.engines, opts.maxRunning, opts.slots, opts.tokenTime = 1, 256, 8, 0
	s := startSystem(b, opts)
	engine := s.members[0].upstreamURL
	warm, _ := runLoad(b, completionRequest(s.urls[0], "adapter-0", 1, false), 1, 50)
	assert.Assert(b, len(warm) > 0)
	direct := completionRequest(engine, "adapter-0@v1", 4, false)
	through := completionRequest(s.urls[0], "adapter-0", 4, false)
	entryPID, agentPID := s.entries[0].cmd.Process.Pid, s.members[0].process.cmd.Process.Pid
	for b.Loop() {
		entryCPU, agentCPU := cpuTime(b, entryPID), cpuTime(b, agentPID)
		full, _ := runLoad(b, through, 64, 0)
		b.ReportMetric(float64((cpuTime(b, entryPID)-entryCPU).Microseconds())/float64(len(full)), "entry-cpu-µs/req")
		b.ReportMetric(float64((cpuTime(b, agentPID)-agentCPU).Microseconds())/float64(len(full)), "agent-cpu-µs/req")
		rate := float64(len(full)) / loadDuration.Seconds()
		fullDirect, _ := runLoad(b, direct, 64, 0)
		b.ReportMetric(rate, "requests/s")
		b.ReportMetric(float64(len(fullDirect))/loadDuration.Seconds(), "direct-requests/s")
		half, _ := runLoad(b, through, 64, rate/2)
		low, _ := runLoad(b, through, 64, 500)
		b.ReportMetric(quantileMicros(low, 0.5), "low-p50-µs")
		b.ReportMetric(quantileMicros(low, 0.99), "low-p99-µs")
		base, _ := runLoad(b, direct, 64, rate/2)
		b.ReportMetric(quantileMicros(half, 0.5)-quantileMicros(base, 0.5), "added-p50-µs")
		b.ReportMetric(quantileMicros(half, 0.99)-quantileMicros(base, 0.99), "added-p99-µs")
		b.ReportMetric(quantileMicros(base, 0.5), "direct-p50-µs")
		b.ReportMetric(quantileMicros(base, 0.99), "direct-p99-µs")
		entryCPU, agentCPU = cpuTime(b, entryPID), cpuTime(b, agentPID)
		_, tokens := runLoad(b, completionRequest(s.urls[0], "adapter-0", 400, true), 32, 0)
		b.ReportMetric(float64((cpuTime(b, entryPID)-entryCPU).Microseconds())/float64(tokens), "entry-cpu-µs/token")
		b.ReportMetric(float64((cpuTime(b, agentPID)-agentCPU).Microseconds())/float64(tokens), "agent-cpu-µs/token")
		_, directTokens := runLoad(b, completionRequest(engine, "adapter-0@v1", 400, true), 32, 0)
		b.ReportMetric(float64(tokens)/loadDuration.Seconds(), "tokens/s")
		b.ReportMetric(float64(directTokens)/loadDuration.Seconds(), "direct-tokens/s")
		b.ReportMetric(residentMB(b, entryPID), "entry-MB")
		b.ReportMetric(residentMB(b, agentPID), "agent-MB")
		b.ReportMetric(0, "ns/op")
	}
}

func quantileMicros(sorted []time.Duration, q float64) float64 {
	return float64(sorted[int(q*float64(len(sorted)-1))].Microseconds())
}
