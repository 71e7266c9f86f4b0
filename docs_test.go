package sandbarrow_test

import (
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/settings"
)

// The documentation pages, and the directories with design notes and incident reports.
var (
	pages = []string{"README.md", "CONTRIBUTING.md", "docs/ARCHITECTURE.md", "docs/CAPACITY.md", "docs/DECISIONS.md",
		"docs/FINDINGS.md", "docs/GLOSSARY.md", "docs/OPERATIONS.md", "docs/PROMISES.md"}
	pageDirectories = []string{"docs/design", "docs/incidents"}
)

var (
	link      = regexp.MustCompile(`\]\(([^)#:]+)\)`)
	testName  = regexp.MustCompile("`(?:[a-z/]* )?((?:Test|Benchmark|Fuzz)[A-Za-z]+)[`/]")
	metric    = regexp.MustCompile("`(sandbarrow_[a-z_]+)")
	goFile    = regexp.MustCompile("`([a-z/]+/[a-z_]+\\.go)`")
	decisions = regexp.MustCompile("`([a-z/]+\\.go)`((?: ?,? ?`[A-Za-z]+`)+)")
	function  = regexp.MustCompile("`([A-Za-z]+)`")
	command   = regexp.MustCompile("`sandbarrow ([a-z]+)")
	firstCell = regexp.MustCompile("(?m)^\\| `([a-z][a-z ,]+)`")
)

func read(t *testing.T, file string) string {
	t.Helper()
	text, err := os.ReadFile(file)
	assert.NilError(t, err)
	return string(text)
}

// source returns the text of all Go files: of the tests if tests is set, otherwise of the product.
func source(t *testing.T, tests bool) string {
	t.Helper()
	var all strings.Builder
	assert.NilError(t, filepath.WalkDir(".", func(path string, entry os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (path == ".git" || path == "journal") {
			return filepath.SkipDir
		}
		if strings.HasSuffix(path, ".go") && strings.HasSuffix(path, "_test.go") == tests {
			all.WriteString(read(t, path))
		}
		return nil
	}))
	return all.String()
}

func allPages(t *testing.T) []string {
	t.Helper()
	all := slices.Clone(pages)
	for _, directory := range pageDirectories {
		more, err := filepath.Glob(directory + "/*.md")
		assert.NilError(t, err)
		all = append(all, more...)
	}
	return all
}

func TestDocsNameWhatExists(t *testing.T) {
	tests, product := source(t, true), source(t, false)
	for _, page := range allPages(t) {
		text := read(t, page)
		for _, m := range link.FindAllStringSubmatch(text, -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(page), m[1]))
			assert.Check(t, err == nil, "%s links to %s, which does not exist", page, m[1])
		}
		for _, m := range testName.FindAllStringSubmatch(text, -1) {
			assert.Check(t, strings.Contains(tests, "func "+m[1]+"("), "%s names test %s, which does not exist", page, m[1])
		}
		for _, m := range command.FindAllStringSubmatch(text, -1) {
			assert.Check(t, strings.Contains(product, `, "`+m[1]+`", "`), "%s names command %s, which does not exist", page, m[1])
		}
		if !slices.Contains(pages, page) {
			continue // design notes and incident reports may name removed metrics and files
		}
		for _, m := range metric.FindAllStringSubmatch(text, -1) {
			assert.Check(t, strings.Contains(product, `"`+m[1]+`"`), "%s names metric %s, which does not exist", page, m[1])
		}
		for _, m := range goFile.FindAllStringSubmatch(text, -1) {
			_, err := os.Stat(m[1])
			assert.Check(t, err == nil, "%s names file %s, which does not exist", page, m[1])
		}
	}
}

func TestDecisionsExist(t *testing.T) {
	found := decisions.FindAllStringSubmatch(read(t, "docs/DECISIONS.md"), -1)
	assert.Assert(t, len(found) > 30, "docs/DECISIONS.md names only %d files", len(found))
	for _, m := range found {
		text := read(t, m[1])
		for _, name := range function.FindAllStringSubmatch(m[2], -1) {
			declared := regexp.MustCompile(`(?m)^func (\([^)]*\) )?` + name[1] + `\(`)
			assert.Check(t, declared.MatchString(text), "%s has no function %s", m[1], name[1])
		}
	}
}

func TestLogEventsExist(t *testing.T) {
	product := source(t, false)
	text := read(t, "docs/OPERATIONS.md")
	begin, end := strings.Index(text, "## Log events"), strings.Index(text, "## From a failed request")
	assert.Assert(t, begin >= 0 && end > begin)
	found := firstCell.FindAllStringSubmatch(text[begin:end], -1)
	assert.Assert(t, len(found) > 20, "docs/OPERATIONS.md lists only %d log events", len(found))
	for _, m := range found {
		assert.Check(t, strings.Contains(product, `"`+m[1]+`"`), "no Go file contains log event %q", m[1])
	}
}

func TestSettingsAreDocumented(t *testing.T) {
	text := read(t, "docs/OPERATIONS.md")
	begin, end := strings.Index(text, "## Settings"), strings.Index(text, "## Log events")
	assert.Assert(t, begin >= 0 && end > begin)
	named := map[string]bool{}
	for line := range strings.Lines(text[begin:end]) {
		cells := strings.Split(line, "|")
		if len(cells) < 3 {
			continue
		}
		prefix := ""
		for _, m := range regexp.MustCompile("`([a-z_.]+)`").FindAllStringSubmatch(cells[1], -1) {
			key := m[1]
			if strings.HasPrefix(key, ".") {
				key = prefix + key
			}
			named[key] = true
			prefix = key[:strings.LastIndex(key, ".")+1]
			prefix = strings.TrimSuffix(prefix, ".")
		}
	}
	keys := settingsKeys(reflect.TypeFor[settings.Settings](), "")
	for _, key := range keys {
		assert.Check(t, named[key], "setting %s is not documented", key)
	}
	for key := range named {
		assert.Check(t, slices.Contains(keys, key), "docs/OPERATIONS.md documents %s, which is not a setting", key)
	}
}

// settingsKeys returns the keys of a settings type, each with the given prefix.
func settingsKeys(settingsType reflect.Type, prefix string) []string {
	if settingsType.Kind() == reflect.Pointer {
		settingsType = settingsType.Elem()
	}
	if settingsType.Kind() != reflect.Struct {
		return []string{strings.TrimSuffix(prefix, ".")}
	}
	var keys []string
	for i := range settingsType.NumField() {
		field := settingsType.Field(i)
		keys = append(keys, settingsKeys(field.Type, prefix+field.Tag.Get("json")+".")...)
	}
	return keys
}
