package crash

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/juju/errors"
)

// Fingerprint identifies what a request asks for. A retry has the same fingerprint, whatever
// its id, its gateway or the time. It is a digest, to store and log no content.
type Fingerprint [16]byte

// NewFingerprint digests the parts of a request, in order.
func NewFingerprint(parts ...[]byte) Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:]) // never fails
		_, _ = h.Write(part)
	}
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// MarshalText returns the fingerprint in hexadecimal.
func (f Fingerprint) MarshalText() ([]byte, error) {
	return []byte(f.String()), nil
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}

// UnmarshalText parses the output of MarshalText.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(f) {
		return errors.NotValidf("fingerprint of %d characters", len(text))
	}
	_, err := hex.Decode(f[:], text)
	return errors.Trace(err)
}
