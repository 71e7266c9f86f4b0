// Package access decides to which workspace a caller belongs, by the API key that it sends.
// It owns the keys of one configuration, stored as salted digests, and the limits of each
// workspace. It relies on its callers to decode the operators' document. Gateways use it.
package access

import (
	"crypto/rand"
	"crypto/sha256"
	"strings"

	"sandbarrow.example/sandbarrow"
)

// Scheme is the authentication scheme of callers' keys (RFC 6750).
const Scheme = "Bearer"

// Workspace is one customer as the operators configure it.
type Workspace struct {
	ID    sandbarrow.WorkspaceID
	Limit Limit
	// Priority replaces that of a request's route, if it is set. 0 is the most urgent.
	Priority *int
	// Regions are the regions whose upstreams may serve the workspace; empty means all.
	Regions []sandbarrow.Region
}

// Entry is a workspace with its keys.
type Entry struct {
	Keys      []string
	Workspace Workspace
}

type digest [sha256.Size]byte

// Keys finds the workspace of a key. It is immutable. It stores digests under a secret salt in
// place of the keys. An attacker who measures how long lookups take learns about these digests
// at most.
type Keys struct {
	byDigest map[digest]*Workspace
	byID     map[sandbarrow.WorkspaceID]*Workspace
	salt     [sha256.Size]byte
}

// NewKeys indexes the workspaces of a configuration. A key of several workspaces belongs to
// the first one.
func NewKeys(entries []Entry) *Keys {
	k := &Keys{byDigest: map[digest]*Workspace{}, byID: make(map[sandbarrow.WorkspaceID]*Workspace, len(entries))}
	_, _ = rand.Read(k.salt[:]) // never fails
	for i := range entries {
		w := &entries[i].Workspace
		if k.byID[w.ID] == nil {
			k.byID[w.ID] = w
		}
		for _, key := range entries[i].Keys {
			if d := k.digest(key); key != "" && k.byDigest[d] == nil {
				k.byDigest[d] = w
			}
		}
	}
	return k
}

// Find returns the workspace of a request by the values of its Authorization header, or nil
// unless there is exactly one value with a known key.
func (k *Keys) Find(authorization []string) *Workspace {
	if len(authorization) != 1 {
		return nil
	}
	scheme, key, ok := strings.Cut(authorization[0], " ")
	if !ok || !strings.EqualFold(scheme, Scheme) {
		return nil
	}
	return k.byDigest[k.digest(strings.TrimLeft(key, " "))]
}

// Workspace returns the workspace with an ID, or nil.
func (k *Keys) Workspace(id sandbarrow.WorkspaceID) *Workspace {
	if k == nil {
		return nil
	}
	return k.byID[id]
}

// Workspaces calls yield for each workspace, in no order, until it returns false.
func (k *Keys) Workspaces(yield func(*Workspace) bool) {
	if k == nil {
		return
	}
	for _, w := range k.byID {
		if !yield(w) {
			return
		}
	}
}

// digest returns the salted digest of a key.
func (k *Keys) digest(key string) digest {
	return sha256.Sum256(append(k.salt[:len(k.salt):len(k.salt)], key...))
}
