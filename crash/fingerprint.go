package crash

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/juju/errors"
)

// Fingerprint identifies what a request asks for: a repeat of it has the same, whatever
// its id, its gateway or the time. It is a digest, so that no content is kept or logged.
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

// UnmarshalText reads what MarshalText returns.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(f) {
		return errors.NotValidf("fingerprint of %d characters", len(text))
	}
	_, err := hex.Decode(f[:], text)
	return errors.Trace(err)
}
