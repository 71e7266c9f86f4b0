package crash

import (
	"slices"
	"strings"

	"sandbarrow.example/sandbarrow"
)

const (
	// partSeparator separates the parts in a prompt's list, lengthSeparator a part from its length.
	partSeparator   = ","
	lengthSeparator = ":"
	// maxParts bounds the parts of one prompt that are recorded.
	maxParts = 32
)

// Part is a part of prompts that requests to a service share. Software of another service may run it
// without harm.
type Part struct {
	ID      string
	Service sandbarrow.ServiceID
}

// Parts returns the parts of a prompt that other requests may share, each once. The list has ID:LENGTH
// of each part, separated by commas. Its last part belongs to one request or session.
func Parts(service sandbarrow.ServiceID, list string) []Part {
	texts := strings.Split(list, partSeparator)
	var parts []Part
	for _, text := range texts[:len(texts)-1] {
		id, _, _ := strings.Cut(strings.TrimSpace(text), lengthSeparator)
		p := Part{ID: strings.ToLower(id), Service: service}
		if id != "" && !slices.Contains(parts, p) && len(parts) < maxParts {
			parts = append(parts, p)
		}
	}
	return parts
}

// fingerprints returns the fingerprints of parts.
func fingerprints(parts []Part) []Fingerprint {
	list := make([]Fingerprint, len(parts))
	for i, p := range parts {
		list[i] = p.Fingerprint()
	}
	return list
}

// Fingerprint identifies the part. It differs from those of requests.
func (p Part) Fingerprint() Fingerprint {
	return NewFingerprint([]byte("part"), []byte(p.Service), []byte(p.ID))
}
