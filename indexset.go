package sandbarrow

const wordBits = 64

// IndexSet is a set of small indexes. Its zero value is empty.
type IndexSet struct {
	words []uint64
}

// Add adds i to the set.
func (s *IndexSet) Add(i int) {
	for len(s.words) <= i/wordBits {
		s.words = append(s.words, 0)
	}
	s.words[i/wordBits] |= 1 << (i % wordBits)
}

// Has reports whether i is in the set. A nil set is empty.
func (s *IndexSet) Has(i int) bool {
	if s == nil || i/wordBits >= len(s.words) {
		return false
	}
	return s.words[i/wordBits]&(1<<(i%wordBits)) != 0
}
