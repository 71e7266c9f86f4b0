package config

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
)

// adapterShards is the number of shards that hold adapters. With 11,000 adapters each shard holds about 172 of
// them. A change of one adapter then transfers only a small shard.
const adapterShards = 64

// HeadKey is the store key of the head.
const HeadKey = "config/head"

// historyLength is the maximum number of earlier changes in the history of a head.
const historyLength = 20

// ErrInvalid means that a head, its shards or their document is not valid.
const ErrInvalid = errors.ConstError("config: not valid")

// Change is one accepted change in the history of a head.
type Change struct {
	Digest   sandbarrow.Digest   `json:"digest"`
	Revision sandbarrow.Revision `json:"revision"`
	// Token is unique to one apply. It shows whether the apply succeeded if the reply of the store was lost.
	Token string `json:"token"`
}

// Head identifies the content of one accepted configuration.
type Head struct {
	Change
	// History holds earlier changes, newest first.
	History []Change `json:"history,omitempty"`
	// Shards holds the digests of the shards: the common shard first, then the adapter shards.
	Shards []sandbarrow.Digest `json:"shards"`
}

// Snapshot is a head with all its shards. Boxes store and exchange configurations in this form.
type Snapshot struct {
	// Era is the era of the store when the head was read.
	Era    sandbarrow.StoreEra          `json:"era,omitempty"`
	Head   Head                         `json:"head"`
	Shards map[sandbarrow.Digest][]byte `json:"shards"`
}

func (s *Snapshot) watermark() Watermark {
	return Watermark{Digest: s.Head.Digest, Era: s.Era, Revision: s.Head.Revision}
}

func shardKey(d sandbarrow.Digest) string {
	return "config/shards/" + string(d)
}

// split divides a document into shards. The order of the shards is that of the digests in the head.
func split(d *Document) (Snapshot, error) {
	common := *d
	common.Adapters = nil
	documents := make([]Document, 1+adapterShards)
	documents[0] = common
	for _, a := range d.Adapters {
		i := 1 + xxhash.Sum64String(string(a.ID))%adapterShards
		documents[i].Adapters = append(documents[i].Adapters, a)
	}
	s := Snapshot{Shards: map[sandbarrow.Digest][]byte{}}
	for i := range documents {
		value, err := json.Marshal(&documents[i])
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
	value, _ := json.Marshal(shards) // a list of strings always marshals
	return sandbarrow.DigestOf(value)
}

// join assembles the document from a snapshot and verifies all digests.
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
		var shard Document
		if err := json.Unmarshal(value, &shard); err != nil {
			return nil, errors.Annotatef(ErrInvalid, "shard %d: %v", i, err)
		}
		adapters := append(d.Adapters, shard.Adapters...)
		if i == 0 {
			*d = shard
		}
		d.Adapters = adapters
	}
	return d, nil
}
