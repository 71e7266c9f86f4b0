package entry

import (
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/wire"
)

func TestStoredResponseNamesItsOrigin(t *testing.T) {
	for name, tc := range map[string]struct {
		origin          wire.Origin
		model, revision string
	}{
		"engine":  {wire.Origin{Model: sandbarrow.ModelRef{Adapter: "a", Version: "v1"}, Revision: 1}, "a@v1", "1"},
		"unknown": {},
		"service": {wire.Origin{Revision: 1}, "", "1"},
	} {
		t.Run(name, func(t *testing.T) {
			var h fasthttp.ResponseHeader
			h.Set(headerModel, "a@v2")
			h.Set(headerRevision, "2")
			setOriginHeaders(&h, tc.origin)
			assert.Equal(t, string(h.Peek(headerModel)), tc.model)
			assert.Equal(t, string(h.Peek(headerRevision)), tc.revision)
		})
	}
}
