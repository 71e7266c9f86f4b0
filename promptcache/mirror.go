package promptcache

import "sandbarrow.example/sandbarrow"

// Mirror is a gateway's view of what an engine keeps, from its controller's changes.
// Its zero value is empty. It is not safe for concurrent use.
type Mirror struct {
	kept map[Key]struct{}
}

// Apply follows changes; all says that they are all that is kept.
func (m *Mirror) Apply(changes []Change, all bool) {
	if all || m.kept == nil {
		m.kept = map[Key]struct{}{}
	}
	for _, c := range changes {
		if c.Tokens > 0 {
			m.kept[c.Key] = struct{}{}
			continue
		}
		delete(m.kept, c.Key)
	}
}

// CachedTokens is how many tokens from the start of a prompt are kept for weights of a version.
func (m *Mirror) CachedTokens(v sandbarrow.WeightsVersion, stretches []PromptPrefix) int {
	return longest(v, stretches, func(k Key) bool {
		_, ok := m.kept[k]
		return ok
	})
}
