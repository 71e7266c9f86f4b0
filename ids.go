package sandbarrow

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/juju/errors"
)

// AdapterID identifies a LoRA adapter.
type AdapterID string

// Attempt numbers the attempts of one request, from 1.
type Attempt uint32

// BaseModelID identifies a base model that adapters are trained on.
type BaseModelID string

// BoxID identifies a box, the machine that a process runs on.
type BoxID string

// CallerClass names a group of callers that share priority and limits.
type CallerClass string

// CallerID identifies a caller, the customer that sends requests.
type CallerID string

// Digest is the lower-case hexadecimal SHA-256 of a value.
type Digest string

// FailureDomain identifies a set of boxes that may fail together.
type FailureDomain string

// FencingToken orders the holders of one lease; a higher token is newer.
type FencingToken uint64

// Incarnation identifies one run of a process.
type Incarnation string

// PolicyID identifies a policy set by the operators.
type PolicyID string

// Region identifies a set of failure domains that are close to each other.
type Region string

// RequestID identifies one request of one caller.
type RequestID string

// Revision numbers accepted configurations, from 1.
type Revision uint64

// ServiceID identifies a plain service.
type ServiceID string

// UpstreamID identifies an upstream, a back end behind one agent.
type UpstreamID string

// VersionID identifies a version of an adapter.
type VersionID string

// WorkspaceID identifies a workspace, the customer that a caller's key belongs to.
type WorkspaceID string

// DigestOf computes the digest of a value.
func DigestOf(value []byte) Digest {
	sum := sha256.Sum256(value)
	return Digest(hex.EncodeToString(sum[:]))
}

// modelRefSeparator separates the adapter from the version in the text form of a ModelRef.
const modelRefSeparator = "@"

// ModelRef identifies one version of one adapter.
type ModelRef struct {
	Adapter AdapterID `json:"adapter"`
	Version VersionID `json:"version"`
}

// ParseModelRef parses the text form "adapter@version".
func ParseModelRef(s string) (ModelRef, error) {
	adapter, version, ok := strings.Cut(s, modelRefSeparator)
	if !ok || adapter == "" || version == "" {
		return ModelRef{}, errors.NotValidf("model %q (want adapter@version)", s)
	}
	return ModelRef{Adapter: AdapterID(adapter), Version: VersionID(version)}, nil
}

// IsZero reports whether r is empty, as it is for plain services.
func (r ModelRef) IsZero() bool {
	return r == ModelRef{}
}

// String returns the text form "adapter@version", empty for a zero ModelRef.
func (r ModelRef) String() string {
	if r.IsZero() {
		return ""
	}
	return string(r.Adapter) + modelRefSeparator + string(r.Version)
}
