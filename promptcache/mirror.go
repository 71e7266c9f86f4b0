package promptcache

// Mirror is a gateway's view of what an engine keeps, from its controller's changes.
// Its zero value is empty. It is not safe for concurrent use.
type Mirror struct {
	kept map[Prefix]struct{}
}

// Apply follows changes; all says that they are all that is kept.
func (m *Mirror) Apply(changes []Change, all bool) {
	if all || m.kept == nil {
		m.kept = map[Prefix]struct{}{}
	}
	for _, c := range changes {
		if c.Tokens > 0 {
			m.kept[c.Prefix] = struct{}{}
			continue
		}
		delete(m.kept, c.Prefix)
	}
}

// Kept is how many tokens from the start of a prompt are kept.
func (m *Mirror) Kept(stretches []Stretch) int {
	return longest(stretches, func(p Prefix) bool {
		_, ok := m.kept[p]
		return ok
	})
}
