package sendkeepers

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"sandbarrow.example/sandbarrow/internal/rendezvous"
)

const (
	// coordinatorsPerKey is how many processes coordinate one key. Each is told what the other has
	// decided, and can then take over.
	coordinatorsPerKey = 2
	// suspectPeriod is how long a coordinator is skipped after it did not reply.
	suspectPeriod = time.Second
)

// Named is a process that may coordinate keys.
type Named interface {
	// Name identifies the process. It is the same at all processes.
	Name() string
}

// Choice ranks the processes that coordinate a key, by rendezvous hashing. All processes that know
// the same candidates prefer the same ones. It also keeps which processes did not reply lately. The
// zero value is ready to use. It is safe for concurrent use.
type Choice[K ~string, P Named] struct {
	mu       sync.Mutex
	suspects map[string]time.Time
}

// Ranked sorts the candidates for a key, the preferred first, and returns them.
func (c *Choice[K, P]) Ranked(key K, candidates []P) []P {
	slices.SortFunc(candidates, func(a, b P) int {
		return cmp.Compare(rendezvous.Rank(string(key), b.Name()), rendezvous.Rank(string(key), a.Name()))
	})
	return candidates
}

// Coordinators returns the processes that coordinate a key, the preferred first, whether they reply
// or not.
func (c *Choice[K, P]) Coordinators(key K, candidates []P) []P {
	list := c.Ranked(key, candidates)
	return list[:min(len(list), coordinatorsPerKey)]
}

// Responsive leaves out the processes that did not reply within the last suspectPeriod.
func (c *Choice[K, P]) Responsive(now time.Time, list []P) []P {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(list), func(p P) bool { return now.Sub(c.suspects[p.Name()]) < suspectPeriod })
}

// MarkSuspect records that a process did not reply.
func (c *Choice[K, P]) MarkSuspect(now time.Time, suspect P) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, at := range c.suspects {
		if now.Sub(at) >= suspectPeriod {
			delete(c.suspects, name)
		}
	}
	if c.suspects == nil {
		c.suspects = map[string]time.Time{}
	}
	c.suspects[suspect.Name()] = now
}
