package boxlist

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
)

func boxesOf(t *testing.T, list string) ([]sandbarrow.Box, error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(list)) }))
	defer server.Close()
	return NewHTTP(server.URL, slog.New(slog.DiscardHandler)).Boxes(t.Context())
}

// Guards against a box list that is not followed because of one odd row.
func TestOddRowLeavesOtherBoxesListed(t *testing.T) {
	first := `{"address":"10.0.0.1:7000","failure_domain":"z","id":"b-1","role":"agent","state":"live"}`
	last := strings.ReplaceAll(first, "b-1", `b\"]},{[2`)
	for name, odd := range map[string]string{
		"array": `[]`, "array of rows": `[` + first + `]`, "empty": `{}`, "id is a list": `{"id":[]}`, "id is a number": strings.Replace(first, `"b-1"`, "1e999", 1),
		"invalid UTF-8": "{\"id\":\"\xff\"", "no id": strings.Replace(first, `"b-1"`, `""`, 1), "null": "null", "number": "1e999", "text": `"[{"`,
		"nested":       strings.Repeat(`{"id":`, 100_000) + "1" + strings.Repeat("}", 100_000),
		"nested array": strings.Repeat(`[`, 300_000) + strings.Repeat("]", 300_000),
	} {
		if name == "invalid UTF-8" {
			odd += "}"
		}
		boxes, err := boxesOf(t, " [\n"+first+" , "+odd+",\n"+last+"] ")
		assert.NilError(t, err, name)
		var ids []sandbarrow.BoxID
		for _, b := range boxes {
			if b.Role == sandbarrow.RoleAgent {
				ids = append(ids, b.ID)
			}
		}
		assert.DeepEqual(t, ids, []sandbarrow.BoxID{"b-1", `b"]},{[2`})
	}
}

func TestListThatIsNoArrayIsRefused(t *testing.T) {
	for _, list := range []string{"", "{}", "null", "7", "[", `[{"id":"b"}`, `[{"id":"b"},`, `["`, `[{"id":"b"}]]`, "\x00", strings.Repeat("[", 300_000)} {
		_, err := boxesOf(t, list)
		assert.Assert(t, err != nil, "%.20q", list)
	}
	boxes, err := boxesOf(t, " [ ] ")
	assert.NilError(t, err)
	assert.Equal(t, len(boxes), 0)
}
