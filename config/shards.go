package config

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
)

// adapterShards is the number of shards that hold adapters. At 11,000
// adapters each holds about 172, so that one change moves few bytes.
const adapterShards = 64

// HeadKey is the key of the head in the store.
const HeadKey = "config/head"

// historyLength is the number of earlier accepted changes that a head keeps.
const historyLength = 20

// ErrInvalid is the error of shards that do not make a valid document.
const ErrInvalid = errors.ConstError("config: not valid")

// Change is one accepted change in a head's history.
type Change struct {
	Digest   sandbarrow.Digest   `json:"digest"`
	Revision sandbarrow.Revision `json:"revision"`
	// Token is unique to the apply and settles lost replies.
	Token string `json:"token"`
}

// Head names the content of one accepted configuration.
type Head struct {
	Change
	// History holds earlier changes, newest first.
	History []Change `json:"history,omitempty"`
	// Shards are the digests of the shards: the common one, then adapters.
	Shards []sandbarrow.Digest `json:"shards"`
}

// Snapshot is a head with all its shards, as boxes hold and exchange it.
type Snapshot struct {
	// Era is the store's era when the head was read.
	Era    sandbarrow.StoreEra          `json:"era,omitempty"`
	Head   Head                         `json:"head"`
	Shards map[sandbarrow.Digest][]byte `json:"shards"`
}

func (s *Snapshot) mark() Watermark {
	return Watermark{Digest: s.Head.Digest, Era: s.Era, Revision: s.Head.Revision}
}

func shardKey(d sandbarrow.Digest) string {
	return "config/shards/" + string(d)
}

// split cuts a document into shards; the digests of a head are their order.
func split(d *Document) (Snapshot, error) {
	common := *d
	common.Adapters = nil
	parts := make([]Document, 1+adapterShards)
	parts[0] = common
	for _, a := range d.Adapters {
		i := 1 + xxhash.Sum64String(string(a.ID))%adapterShards
		parts[i].Adapters = append(parts[i].Adapters, a)
	}
	s := Snapshot{Shards: map[sandbarrow.Digest][]byte{}}
	for i := range parts {
		value, err := json.Marshal(&parts[i])
		if err != nil {
			return s, errors.Annotate(err, "config")
		}
		if len(value) > sandbarrow.MaxValueBytes {
			return s, errors.Annotatef(ErrInvalid, "shard %d has %d bytes, over %d", i, len(value), sandbarrow.MaxValueBytes)
		}
		digest := sandbarrow.DigestOf(value)
		s.Shards[digest] = value
		s.Head.Shards = append(s.Head.Shards, digest)
	}
	s.Head.Digest = headDigest(s.Head.Shards)
	return s, nil
}

func headDigest(shards []sandbarrow.Digest) sandbarrow.Digest {
	value, _ := json.Marshal(shards) // a list of texts always marshals
	return sandbarrow.DigestOf(value)
}

// join makes the document from a snapshot and checks all digests.
func join(s Snapshot) (*Document, error) {
	if headDigest(s.Head.Shards) != s.Head.Digest {
		return nil, errors.Annotate(ErrInvalid, "head does not match its digest")
	}
	d := &Document{}
	for i, digest := range s.Head.Shards {
		value, ok := s.Shards[digest]
		if !ok || sandbarrow.DigestOf(value) != digest {
			return nil, errors.Annotatef(ErrInvalid, "shard %d is missing or does not match its digest", i)
		}
		var part Document
		if err := json.Unmarshal(value, &part); err != nil {
			return nil, errors.Annotatef(ErrInvalid, "shard %d: %v", i, err)
		}
		adapters := append(d.Adapters, part.Adapters...)
		if i == 0 {
			*d = part
		}
		d.Adapters = adapters
	}
	return d, nil
}
