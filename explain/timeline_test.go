package explain

import (
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

const gatewayLog = `
   1.2 gw {"time":"2026-01-01T00:00:01Z","level":"INFO","msg":"controller lost","box":"gw","controller":"10.0.0.2:1"}
no object here
{"time":"2026-01-01T00:00:02.2Z","level":"INFO","msg":"attempt","box":"gw","request":"r1","upstream":"i-1","result":"no-grant"}
{"time":"2026-01-01T00:00:02.3Z","level":"INFO","msg":"request","box":"gw","request":"other","status":200,"took_ms":5}
{"time":"2026-01-01T00:00:02.5Z","level":"WARN","msg":"request","box":"gw","request":"r1","status":503,"took_ms":500,"reason":"no-slot","adapter":"a7"}
{"time":"2026-01-01T00:00:09Z","level":"INFO","msg":"controller linked","box":"gw","controller":"10.0.0.2:1"}
{"broken`

const controllerLog = `
{"time":"2026-01-01T00:00:02.1Z","level":"INFO","msg":"order","box":"side","adapter":"a7","load":true}
{"time":"2026-01-01T00:00:02.1Z","level":"INFO","msg":"order","box":"side","adapter":"a8","load":true}
{"time":"2026-01-01T00:00:02.4Z","level":"WARN","msg":"engine identified","box":"side","instance":"i-1"}
{"time":"2026-01-01T00:00:02.4Z","level":"WARN","msg":"engine identified","box":"far","instance":"i-9"}
`

func logs(t *testing.T) [][]Line {
	t.Helper()
	var all [][]Line
	for _, text := range []string{gatewayLog, controllerLog} {
		lines, err := Read(strings.NewReader(text))
		assert.NilError(t, err)
		all = append(all, lines)
	}
	return all
}

func TestTimelineHasOnlyLinesThatConcernTheRequest(t *testing.T) {
	timeline, err := BuildTimeline(logs(t), "r1", 0)
	assert.NilError(t, err)
	assert.Equal(t, timeline.Cause, causes["no-slot"])
	var events []string
	for _, e := range timeline.Events {
		events = append(events, e.Line.Message+" "+e.Line.Adapter+e.Line.Instance)
	}
	assert.DeepEqual(t, events, []string{"controller lost ", "order a7", "attempt ", "engine identified i-1", "request a7"})
	assert.Equal(t, timeline.Events[1].Offset, 100*time.Millisecond)
	var page strings.Builder
	assert.NilError(t, timeline.WriteText(&page))
	assert.Assert(t, strings.Contains(page.String(), "*    +0.500 s  gw"), page.String())
}

func TestUnknownRequestIsAnError(t *testing.T) {
	_, err := BuildTimeline(logs(t), "r2", 0)
	assert.Assert(t, errors.Is(err, ErrRequestNotFound))
}

func TestTimelineWithoutFinalLine(t *testing.T) {
	all := logs(t)
	all[0] = all[0][:2]
	timeline, err := BuildTimeline(all, "r1", 0)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(timeline.Cause, "not written"))
}

func FuzzRead(f *testing.F) {
	f.Add(gatewayLog)
	f.Fuzz(func(_ *testing.T, text string) {
		lines, err := Read(strings.NewReader(text))
		if err == nil {
			_, _ = BuildTimeline([][]Line{lines}, "r1", time.Second)
		}
	})
}
