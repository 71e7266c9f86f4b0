// Package config holds the operators' configuration: its document, its
// content-addressed form in the platform's store, its accepted changes and
// the follower that brings it to every box.
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

// BaseModel is a base model that engines hold.
type BaseModel struct {
	ID sandbarrow.BaseModelID `json:"id"`
}

// Caller is a customer with the digest of its key.
type Caller struct {
	Class sandbarrow.CallerClass `json:"class"`
	ID    sandbarrow.CallerID    `json:"id"`
	// KeySHA256 is the digest of the bearer key that the caller sends.
	KeySHA256 sandbarrow.Digest `json:"key_sha256"`
}

// Class is a class of callers with its limits and objective.
type Class struct {
	// Burst is the number of requests above the rate that pass at once.
	Burst int                    `json:"burst"`
	ID    sandbarrow.CallerClass `json:"id"`
	// NoBatchWait exempts the class from waiting for a batch.
	NoBatchWait bool      `json:"no_batch_wait"`
	Objective   Objective `json:"objective"`
	// Priority is 0 for the most urgent class.
	Priority int `json:"priority"`
	// RequestsPerSecond is the limit at each entry; 0 is unlimited.
	RequestsPerSecond float64 `json:"requests_per_second"`
}

// Document is the whole configuration as operators write it.
type Document struct {
	Adapters   []Adapter   `json:"adapters"`
	BaseModels []BaseModel `json:"base_models"`
	Callers    []Caller    `json:"callers"`
	Classes    []Class     `json:"classes"`
	Policies   []Policy    `json:"policies"`
	Services   []Service   `json:"services"`
	Weights    Weights     `json:"weights"`
}

// Objective is a service level: the share of requests that must be good.
type Objective struct {
	// FirstToken is the latest good time of the first part of an answer.
	FirstToken jsonc.Duration `json:"first_token"`
	// Share is the aimed share of good requests, such as 0.95.
	Share float64 `json:"share"`
}

// Policy is a policy with its name.
type Policy struct {
	ID sandbarrow.PolicyID `json:"id"`
	policy.Source
}

// Service is a plain service under a path prefix.
type Service struct {
	ID sandbarrow.ServiceID `json:"id"`
	// AtMostOnce says that no call of the service may be repeated.
	AtMostOnce   bool   `json:"once"`
	Prefix string `json:"prefix"`
}

// Version is one version of an adapter.
type Version struct {
	ID sandbarrow.VersionID `json:"id"`
	// Weights is the path in the weight store.
	Weights string `json:"weights"`
}

// Weights weigh the aims of the decisions.
type Weights struct {
	// BatchEfficiency from 0 to 1 weighs full engine steps against load stalls.
	BatchEfficiency float64 `json:"batch_efficiency"`
	// BatchWait is the longest wait for a batch.
	BatchWait jsonc.Duration `json:"batch_wait"`
}

// ReadFile reads and checks a configuration file.
func ReadFile(file string) (*Document, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Annotate(err, "configuration")
	}
	return Parse(file, text)
}

// Parse reads and checks a configuration text; file names it in errors.
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

// problemReporter words a fault at a key.
type problemReporter interface {
	Problem(key, format string, args ...any) string
}
