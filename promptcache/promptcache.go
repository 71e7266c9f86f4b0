// Package promptcache estimates which parts of prompts an engine still keeps, so that a
// request goes where less of its prompt must be read. It owns the model of an engine's
// memory, which a controller keeps from the requests that it grants, and the mirror of
// it at a gateway. It relies on nothing; what it says is an estimate, since engines
// tell of their memory late and with gaps, and each look has its price.
package promptcache

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"sandbarrow.example/sandbarrow"
)

// Prefix stands for an adapter at a version and the parts of a prompt from its start up
// to one of them. Engines keep a part only with all parts before it, and for the same
// weights. Two prefixes in a few billion are taken for the same.
type Prefix uint32

// Stretch is a prompt from its start up to the end of one part.
type Stretch struct {
	// Own says that the last part belongs to the request alone, or to its session.
	Own    bool   `json:"o,omitempty"`
	Prefix Prefix `json:"h"`
	// Tokens is the length of the stretch in tokens.
	Tokens int `json:"t"`
}

// leastShared is the least length of the shared parts of a prompt at which it is worth
// being followed, in tokens: reading less takes some 50 ms at most, and each prompt that
// is followed is told to all gateways. Prompts that share some 570 tokens gained nothing
// from it (-0.001 ± 0.004 of worth, 15 pairs of days).
const leastShared = 1000

// Stretches returns the stretches of a prompt, the shortest first, from its list of
// parts: ID:TOKENS, separated by commas. It returns none where the shared parts are too
// short to matter. What is malformed ends the list: a request is served without an
// estimate.
func Stretches(k sandbarrow.AdapterKey, v sandbarrow.AdapterVersion, parts string) []Stretch {
	if parts == "" {
		return nil
	}
	digest := xxhash.New()
	_, _ = digest.WriteString(string(k.Model) + "/" + string(k.Adapter)) // a digest never fails
	var version [8]byte
	binary.LittleEndian.PutUint64(version[:], uint64(v))
	_, _ = digest.Write(version[:])
	var list []Stretch
	length := 0
	for part := range strings.SplitSeq(parts, ",") {
		id, text, _ := strings.Cut(strings.TrimSpace(part), ":")
		tokens, err := strconv.Atoi(text)
		if err != nil || tokens < 0 {
			break
		}
		_, _ = digest.WriteString("," + id)
		length += tokens
		list = append(list, Stretch{Prefix: Prefix(digest.Sum64()), Tokens: length})
	}
	if len(list) < 2 || list[len(list)-2].Tokens < leastShared {
		return nil
	}
	list[len(list)-1].Own = true
	return list
}

// Change says that an engine keeps a stretch of so many tokens from now on, or no
// longer where Tokens is 0.
type Change struct {
	Prefix Prefix `json:"h"`
	Tokens int    `json:"t,omitempty"`
}

// longest returns the tokens of the longest stretch that is kept.
func longest(stretches []Stretch, kept func(Prefix) bool) int {
	for i := len(stretches) - 1; i >= 0; i-- {
		if kept(stretches[i].Prefix) {
			return stretches[i].Tokens
		}
	}
	return 0
}
