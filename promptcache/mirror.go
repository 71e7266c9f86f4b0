package promptcache

import "sandbarrow.example/sandbarrow"

// Mirror is a gateway's copy of the model of an engine's prompt cache. It is updated with the
// changes that the controller publishes. The zero value is empty. It is not safe for concurrent use.
type Mirror struct {
	cached map[Key]struct{}
}

// Apply applies changes. If all is true, they are the complete state.
func (m *Mirror) Apply(changes []Change, all bool) {
	if all || m.cached == nil {
		m.cached = map[Key]struct{}{}
	}
	for _, c := range changes {
		if c.Tokens > 0 {
			m.cached[c.Key] = struct{}{}
			continue
		}
		delete(m.cached, c.Key)
	}
}

// CachedTokens returns how many tokens from the start of a prompt are cached for weights of the
// given version.
func (m *Mirror) CachedTokens(v sandbarrow.WeightsVersion, prefixes []PromptPrefix) int {
	return longestCached(v, prefixes, func(k Key) bool {
		_, ok := m.cached[k]
		return ok
	})
}
