// Package jsonc is a strict decoder of JSON with comments. It reports every fault with file, line
// and key. Unknown and duplicate keys are faults.
package jsonc

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"
)

// Document holds the line number of each key of a decoded text.
type Document struct {
	file  string
	lines map[string]int
}

// Duration is a time.Duration that is encoded as text, such as "1.5s".
type Duration time.Duration

// MarshalText encodes the duration as text.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.NotValidf("duration %q (want text such as \"1.5s\")", text)
	}
	*d = Duration(parsed)
	return nil
}

// Problems lists all faults of one document.
type Problems []string

// Error returns the faults, one per line.
func (p Problems) Error() string {
	return strings.Join(p, "\n")
}

// Decode decodes text into target, a pointer to a struct. If the text has faults, the error is a
// Problems with all of them.
func Decode(file string, text []byte, target any) (*Document, error) {
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, Problems{fmt.Sprintf("%s: %v", file, err)}
	}
	w := walker{doc: &Document{file: file, lines: map[string]int{}}, text: text}
	w.value(&root, reflect.TypeOf(target).Elem(), "")
	if len(w.problems) > 0 {
		return nil, w.problems
	}
	root.Standardize()
	if err := json.Unmarshal(root.Pack(), target); err != nil {
		return nil, Problems{fmt.Sprintf("%s: %v", file, err)}
	}
	return w.doc, nil
}

// Problem formats one fault at key, such as "listen.http". It reports the line of the nearest parent
// if the key is missing.
func (d *Document) Problem(key, format string, args ...any) string {
	line := d.lines[key]
	for parent := key; line == 0 && parent != ""; {
		parent = parent[:max(0, strings.LastIndexAny(parent, ".["))]
		line = d.lines[parent]
	}
	return fmt.Sprintf("%s:%d: %s: %s", d.file, max(1, line), key, fmt.Sprintf(format, args...))
}

// walker checks a syntax tree against the type that it is decoded into.
type walker struct {
	doc      *Document
	problems Problems
	text     []byte
}

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

func (w *walker) value(v *hujson.Value, t reflect.Type, key string) {
	w.doc.lines[key] = 1 + bytes.Count(w.text[:v.StartOffset], []byte("\n"))
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if reflect.PointerTo(t).Implements(textUnmarshaler) {
		w.scalar(v, t, key)
		return
	}
	switch kind := v.Value.(type) {
	case *hujson.Object:
		w.object(kind, t, key)
	case *hujson.Array:
		if t.Kind() != reflect.Slice {
			w.problem(key, "is a list, want %s", describe(t))
			return
		}
		for i := range kind.Elements {
			w.value(&kind.Elements[i], t.Elem(), key+"["+strconv.Itoa(i)+"]")
		}
	default:
		w.scalar(v, t, key)
	}
}

func (w *walker) object(o *hujson.Object, t reflect.Type, key string) {
	if t.Kind() != reflect.Struct && t.Kind() != reflect.Map {
		w.problem(key, "is an object, want %s", describe(t))
		return
	}
	seen := map[string]bool{}
	for i := range o.Members {
		m := &o.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		child := strings.TrimPrefix(key+"."+name, ".")
		if seen[name] {
			w.doc.lines[child] = 1 + bytes.Count(w.text[:m.Name.StartOffset], []byte("\n"))
			w.problem(child, "key stands twice")
			continue
		}
		seen[name] = true
		if t.Kind() == reflect.Map {
			w.value(&m.Value, t.Elem(), child)
			continue
		}
		field, ok := fieldByTag(t, name)
		if !ok {
			w.doc.lines[child] = 1 + bytes.Count(w.text[:m.Name.StartOffset], []byte("\n"))
			w.problem(child, "unknown key")
			continue
		}
		w.value(&m.Value, field.Type, child)
	}
}

func (w *walker) scalar(v *hujson.Value, t reflect.Type, key string) {
	packed := v.Clone()
	packed.Standardize()
	if err := json.Unmarshal(packed.Pack(), reflect.New(t).Interface()); err != nil {
		w.problem(key, "%s: want %s", bytes.TrimSpace(packed.Pack()), describe(t))
	}
}

func (w *walker) problem(key, format string, args ...any) {
	w.problems = append(w.problems, w.doc.Problem(key, format, args...))
}

func fieldByTag(t reflect.Type, name string) (reflect.StructField, bool) {
	for _, f := range reflect.VisibleFields(t) {
		tag, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if tag == name {
			return f, true
		}
	}
	return reflect.StructField{}, false
}

// describe names a type in the terms of a settings file.
func describe(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[Duration]():
		return "a duration such as \"1.5s\""
	case t.Kind() == reflect.Struct || t.Kind() == reflect.Map:
		return "an object"
	case t.Kind() == reflect.Slice:
		return "a list"
	case t.Kind() == reflect.String:
		return "text"
	case t.Kind() == reflect.Bool:
		return "true or false"
	default:
		return "a number (" + t.Kind().String() + ")"
	}
}
