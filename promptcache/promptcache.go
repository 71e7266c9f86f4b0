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

// Prefix stands for an adapter and the parts of a prompt from its start up to one of them,
// whatever the versions of the weights. Two prefixes in a few billion are taken for the
// same.
type Prefix uint32

// Key stands for a prefix as an engine has read it, with weights of one version. Engines
// keep a part only with all parts before it. It is a type of its own so that no prefix is
// looked up without the weights that made what is kept of it.
type Key uint32

// key returns the key of a prefix that was read with weights of a version.
func (p Prefix) key(v sandbarrow.WeightsVersion) Key {
	var text [20]byte
	binary.LittleEndian.PutUint32(text[:], uint32(p))
	binary.LittleEndian.PutUint64(text[4:], uint64(v.Model))
	binary.LittleEndian.PutUint64(text[12:], uint64(v.Adapter))
	return Key(xxhash.Sum64(text[:]))
}

// PromptPrefix is a prompt from its start up to the end of one part.
type PromptPrefix struct {
	// Own says that the last part belongs to the request alone, or to its session.
	Own    bool   `json:"o,omitempty"`
	Prefix Prefix `json:"h"`
	// Tokens is the length of the stretch in tokens.
	Tokens int `json:"t"`
}

// leastShared is the least length of the shared parts of a prompt at which it is worth
// being followed, in tokens: reading less takes some 50 ms at most, and each prompt that
// is followed is told to all gateways.
const leastShared = 1000

// PromptPrefixes returns the stretches of a prompt for an adapter, the shortest first, from its
// list of parts: ID:TOKENS, separated by commas. It returns none where the shared parts are too
// short to matter. What is malformed ends the list: a request is served without an
// estimate.
func PromptPrefixes(k sandbarrow.AdapterKey, parts string) []PromptPrefix {
	if parts == "" {
		return nil
	}
	digest := xxhash.New()
	_, _ = digest.WriteString(string(k.Model) + "/" + string(k.Adapter)) // a digest never fails
	var list []PromptPrefix
	length := 0
	for part := range strings.SplitSeq(parts, ",") {
		id, text, _ := strings.Cut(strings.TrimSpace(part), ":")
		tokens, err := strconv.Atoi(text)
		if err != nil || tokens < 0 {
			break
		}
		_, _ = digest.WriteString("," + id)
		length += tokens
		list = append(list, PromptPrefix{Prefix: Prefix(digest.Sum64()), Tokens: length})
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
	Key    Key `json:"h"`
	Tokens int `json:"t,omitempty"`
}

// longest returns the tokens of the longest stretch that is kept of those read with
// weights of a version.
func longest(v sandbarrow.WeightsVersion, stretches []PromptPrefix, kept func(Key) bool) int {
	for i := len(stretches) - 1; i >= 0; i-- {
		if kept(stretches[i].Prefix.key(v)) {
			return stretches[i].Tokens
		}
	}
	return 0
}
