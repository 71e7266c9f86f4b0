// Package promptcache estimates which prompt prefixes are in an engine's prompt cache. A gateway
// uses the estimate to route a request to the engine that has to prefill the least of its prompt.
// The package owns a model of the cache, which a controller updates from the requests that it
// grants, and the mirror of that model at a gateway. It depends on no other component. The result
// is only an estimate, because engines report their cache late and with gaps, and each query of
// an engine has a cost.
package promptcache

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"sandbarrow.example/sandbarrow"
)

// PrefixHash identifies an adapter and the parts of a prompt from its start up to one of them. It
// does not depend on the versions of the weights. Two different prefixes have the same hash with a
// probability of one in a few billion.
type PrefixHash uint32

// Key identifies a cached prefix: its hash and the version of the weights that prefilled it. An
// engine caches a part only together with all parts before it. Key is a separate type so that the
// compiler rejects a lookup without the version of the weights.
type Key uint32

// key returns the key of a prefix that was prefilled with weights of the given version.
func (p PrefixHash) key(v sandbarrow.WeightsVersion) Key {
	var text [20]byte
	binary.LittleEndian.PutUint32(text[:], uint32(p))
	binary.LittleEndian.PutUint64(text[4:], uint64(v.Model))
	binary.LittleEndian.PutUint64(text[12:], uint64(v.Adapter))
	return Key(xxhash.Sum64(text[:]))
}

// PromptPrefix is a prompt from its start up to the end of one of its parts.
type PromptPrefix struct {
	// Unshared reports that the last part is used only by this request or its session.
	Unshared   bool       `json:"o,omitempty"`
	PrefixHash PrefixHash `json:"h"`
	// Tokens is the length of the prefix in tokens.
	Tokens int `json:"t"`
}

// minSharedTokens is the minimum length of the shared parts of a prompt, in tokens, for it to be
// tracked. The prefill of fewer tokens takes about 50 ms at most, and each tracked prompt is
// published to all gateways.
const minSharedTokens = 1000

// PromptPrefixes returns the prefixes of a prompt for an adapter, the shortest first. It parses them
// from the list of the prompt's parts, which are written as ID:TOKENS and separated by commas. It
// returns none if the shared parts are shorter than minSharedTokens. Parts from the first malformed
// one on are ignored, because a request can be served without an estimate.
func PromptPrefixes(k sandbarrow.AdapterKey, parts string) []PromptPrefix {
	if parts == "" {
		return nil
	}
	digest := xxhash.New()
	_, _ = digest.WriteString(string(k.Model) + "/" + string(k.Adapter)) // Write never returns an error
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
		list = append(list, PromptPrefix{PrefixHash: PrefixHash(digest.Sum64()), Tokens: length})
	}
	if len(list) < 2 || list[len(list)-2].Tokens < minSharedTokens {
		return nil
	}
	list[len(list)-1].Unshared = true
	return list
}

// Change reports that an engine has cached a prefix of the given length, or has evicted it if
// Tokens is 0.
type Change struct {
	Key    Key `json:"h"`
	Tokens int `json:"t,omitempty"`
}

// longestCached returns the length, in tokens, of the longest prefix that is cached for weights of
// the given version.
func longestCached(v sandbarrow.WeightsVersion, prefixes []PromptPrefix, cached func(Key) bool) int {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if cached(prefixes[i].PrefixHash.key(v)) {
			return prefixes[i].Tokens
		}
	}
	return 0
}
