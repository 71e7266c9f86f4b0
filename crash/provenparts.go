package crash

import "sync"

// maxProvenParts bounds the parts of each of the two generations of provenParts, at some 50 bytes
// each.
const maxProvenParts = 2048

// provenParts are the parts of requests to which upstreams have responded lately. A part that is not
// used is forgotten after at most twice maxProvenParts others. The zero value is ready to use. It is
// safe for concurrent use.
type provenParts struct {
	mu              sync.Mutex
	current, former map[Fingerprint]bool
}

func (p *provenParts) add(parts []Fingerprint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range parts {
		if p.current[f] {
			continue
		}
		if p.current == nil || len(p.current) >= maxProvenParts {
			p.former, p.current = p.current, map[Fingerprint]bool{}
		}
		p.current[f] = true
	}
}

func (p *provenParts) contains(f Fingerprint) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current[f] || p.former[f]
}
