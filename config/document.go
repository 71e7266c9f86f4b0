// Package config implements the operators' configuration: the document, its content-addressed form in the
// platform's store, the history of accepted changes, and the follower that distributes it to every box.
package config

import (
	"os"
	"regexp"
	"time"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/jsonc"
	"sandbarrow.example/sandbarrow/policy"
)

// Adapter is a LoRA adapter and its versions, oldest first.
type Adapter struct {
	BaseModel sandbarrow.BaseModelID `json:"base_model"`
	ID        sandbarrow.AdapterID   `json:"id"`
	Policy    sandbarrow.PolicyID    `json:"policy"`
	Versions  []Version              `json:"versions"`
}

// BaseModel is a base model that engines serve.
type BaseModel struct {
	ID sandbarrow.BaseModelID `json:"id"`
}

// Caller is a client of the entries. It is identified by the digest of its API key.
type Caller struct {
	Class sandbarrow.CallerClass `json:"class"`
	ID    sandbarrow.CallerID    `json:"id"`
	// KeySHA256 is the SHA-256 digest of the bearer key that the caller sends.
	KeySHA256 sandbarrow.Digest `json:"key_sha256"`
}

// Class is a class of callers with a rate limit and a service level objective.
type Class struct {
	// Burst is the number of requests above the rate that are accepted at once.
	Burst int                    `json:"burst"`
	ID    sandbarrow.CallerClass `json:"id"`
	// NoBatchWait exempts the class from waiting for a batch.
	NoBatchWait bool      `json:"no_batch_wait"`
	Objective   Objective `json:"objective"`
	// Priority is 0 for the most urgent class.
	Priority int `json:"priority"`
	// RequestsPerSecond is the rate limit at each entry; 0 means unlimited.
	RequestsPerSecond float64 `json:"requests_per_second"`
}

// Document is the complete configuration as operators write it.
type Document struct {
	Adapters   []Adapter   `json:"adapters"`
	BaseModels []BaseModel `json:"base_models"`
	Callers    []Caller    `json:"callers"`
	Classes    []Class     `json:"classes"`
	Policies   []Policy    `json:"policies"`
	Services   []Service   `json:"services"`
	Weights    Weights     `json:"weights"`
}

// Objective is a service level objective: the share of requests that must meet a target.
type Objective struct {
	// FirstToken is the longest time to the first part of a response that counts as good.
	FirstToken jsonc.Duration `json:"first_token"`
	// Share is the target share of good requests, for example 0.95.
	Share float64 `json:"share"`
}

// Policy is a named policy.
type Policy struct {
	ID sandbarrow.PolicyID `json:"id"`
	policy.Source
}

// Service is a plain HTTP service under a path prefix.
type Service struct {
	ID sandbarrow.ServiceID `json:"id"`
	// AtMostOnce says that calls of the service must not be retried.
	AtMostOnce bool   `json:"once"`
	Prefix     string `json:"prefix"`
}

// Version is one version of an adapter.
type Version struct {
	ID sandbarrow.VersionID `json:"id"`
	// Weights is the path of the weights in the weight store.
	Weights string `json:"weights"`
}

// Weights sets the trade-offs between the goals of decisions.
type Weights struct {
	// BatchEfficiency, from 0 to 1, is the weight of full engine steps against load stalls.
	BatchEfficiency float64 `json:"batch_efficiency"`
	// BatchWait is the longest time that a request waits for a batch.
	BatchWait jsonc.Duration `json:"batch_wait"`
}

// ReadFile reads and validates a configuration file.
func ReadFile(file string) (*Document, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Annotate(err, "configuration")
	}
	return Parse(file, text)
}

// Parse parses and validates a configuration. Errors contain file as the file name.
func Parse(file string, text []byte) (*Document, error) {
	d := &Document{}
	doc, err := jsonc.Decode(file, text, d)
	if err != nil {
		return nil, err
	}
	c := newChecker(doc)
	c.document(d)
	if len(c.problems) > 0 {
		return nil, c.problems
	}
	return d, nil
}

const (
	maxBatchWait  = 10 * time.Second
	maxNameLength = 100
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/-]*$`)

// problemReporter formats a problem of a key.
type problemReporter interface {
	Problem(key, format string, args ...any) string
}
