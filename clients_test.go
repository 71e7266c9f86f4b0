package sandbarrow_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// ownResponses matches code that reads HTTP responses without package response.
var ownResponses = regexp.MustCompile(`http\.(DefaultClient|DefaultTransport|Get\(|Post\(|ReadResponse\()|[^(]&http\.Transport\{|http\.Client\{(Timeout: \w+)?\}`)

// A client with checks of its own would accept what package response refuses.
func TestAllClientsReadResponsesByOneRule(t *testing.T) {
	allowed := map[string]bool{
		"forward/exchange.go":    true, // checks each head, with connections of package response
		"internal/demo/drive.go": true, // the caller of the demo
		"standin/engine.go":      true, // a stand-in of an outside system
	}
	assert.NilError(t, filepath.WalkDir(".", func(path string, entry os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (path == ".git" || path == "journal" || path == "review") {
			return filepath.SkipDir
		}
		if strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") && !allowed[path] {
			assert.Check(t, !ownResponses.MatchString(read(t, path)), path)
		}
		return nil
	}))
}
