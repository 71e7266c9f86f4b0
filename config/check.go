package config

import (
	"fmt"
	"strings"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/jsonc"
	"sandbarrow.example/sandbarrow/policy"
)

// checker validates a complete document and collects all problems.
type checker struct {
	baseModels map[sandbarrow.BaseModelID]bool
	classes    map[sandbarrow.CallerClass]bool
	policies   map[sandbarrow.PolicyID]bool
	problems   jsonc.Problems
	reporter   problemReporter
}

func newChecker(r problemReporter) *checker {
	return &checker{
		baseModels: map[sandbarrow.BaseModelID]bool{},
		classes:    map[sandbarrow.CallerClass]bool{},
		policies:   map[sandbarrow.PolicyID]bool{},
		reporter:   r,
	}
}

func (c *checker) require(ok bool, key, format string, args ...any) {
	if !ok {
		c.problems = append(c.problems, c.reporter.Problem(key, format, args...))
	}
}

// unique checks that a name is valid and not a duplicate.
func unique[T ~string](c *checker, seen map[T]bool, key string, id T) {
	c.require(namePattern.MatchString(string(id)) && len(id) <= maxNameLength, key, "%q is not a valid name (letters, digits and ._/-, at most %d characters)", id, maxNameLength)
	c.require(!seen[id], key, "%q is defined twice", id)
	seen[id] = true
}

func (c *checker) document(d *Document) {
	for i, b := range d.BaseModels {
		unique(c, c.baseModels, fmt.Sprintf("base_models[%d].id", i), b.ID)
	}
	for i := range d.Classes {
		c.class(fmt.Sprintf("classes[%d]", i), &d.Classes[i])
	}
	for i := range d.Policies {
		c.policy(fmt.Sprintf("policies[%d]", i), &d.Policies[i])
	}
	adapters := map[sandbarrow.AdapterID]bool{}
	for i := range d.Adapters {
		key := fmt.Sprintf("adapters[%d]", i)
		unique(c, adapters, key+".id", d.Adapters[i].ID)
		c.adapter(key, &d.Adapters[i])
	}
	c.callers(d.Callers)
	c.services(d.Services)
	c.weights(d.Weights)
}

func (c *checker) adapter(key string, a *Adapter) {
	c.require(c.baseModels[a.BaseModel], key+".base_model", "base model %q is not defined", a.BaseModel)
	c.require(a.Policy == "" || c.policies[a.Policy], key+".policy", "policy %q is not defined", a.Policy)
	c.require(len(a.Versions) > 0, key+".versions", "must list at least one version")
	versions := map[sandbarrow.VersionID]bool{}
	for i, v := range a.Versions {
		at := fmt.Sprintf("%s.versions[%d]", key, i)
		unique(c, versions, at+".id", v.ID)
		c.require(v.Weights != "", at+".weights", "is missing")
	}
}

func (c *checker) callers(callers []Caller) {
	ids := map[sandbarrow.CallerID]bool{}
	keys := map[sandbarrow.Digest]bool{}
	for i, caller := range callers {
		key := fmt.Sprintf("callers[%d]", i)
		unique(c, ids, key+".id", caller.ID)
		c.require(c.classes[caller.Class], key+".class", "class %q is not defined", caller.Class)
		c.require(len(caller.KeySHA256) == 64 && strings.Trim(string(caller.KeySHA256), "0123456789abcdef") == "",
			key+".key_sha256", "want 64 lower-case hexadecimal digits")
		c.require(!keys[caller.KeySHA256], key+".key_sha256", "key is already used by another caller")
		keys[caller.KeySHA256] = true
	}
}

func (c *checker) class(key string, l *Class) {
	unique(c, c.classes, key+".id", l.ID)
	c.require(l.Priority >= 0, key+".priority", "must not be negative")
	c.require(l.RequestsPerSecond >= 0, key+".requests_per_second", "must not be negative")
	c.require(l.Burst >= 0, key+".burst", "must not be negative")
	c.require(l.Objective.Share >= 0 && l.Objective.Share < 1, key+".objective.share", "%v: want at least 0 and less than 1", l.Objective.Share)
}

func (c *checker) policy(key string, p *Policy) {
	unique(c, c.policies, key+".id", p.ID)
	_, err := policy.Compile(p.ID, p.Source)
	c.require(err == nil, key, "%v", err)
}

func (c *checker) services(services []Service) {
	ids := map[sandbarrow.ServiceID]bool{}
	prefixes := map[string]bool{}
	for i, s := range services {
		key := fmt.Sprintf("services[%d]", i)
		unique(c, ids, key+".id", s.ID)
		c.require(strings.HasPrefix(s.Prefix, "/") && strings.HasSuffix(s.Prefix, "/") && len(s.Prefix) > 1, key+".prefix", "%q: want a path such as \"/receipts/\"", s.Prefix)
		c.require(!strings.HasPrefix(s.Prefix, "/v1/"), key+".prefix", "%q: /v1/ is reserved for the engines", s.Prefix)
		c.require(!prefixes[s.Prefix], key+".prefix", "%q is defined twice", s.Prefix)
		prefixes[s.Prefix] = true
	}
}

func (c *checker) weights(w Weights) {
	c.require(w.BatchEfficiency >= 0 && w.BatchEfficiency <= 1, "weights.batch_efficiency", "%v: want 0 to 1", w.BatchEfficiency)
	c.require(w.BatchWait >= 0 && time.Duration(w.BatchWait) <= maxBatchWait, "weights.batch_wait", "want 0s to %v", maxBatchWait)
}

// plainReporter formats problems without line numbers, for documents that were read from shards.
type plainReporter struct{}

// Problem formats a problem of a key.
func (plainReporter) Problem(key, format string, args ...any) string {
	return key + ": " + fmt.Sprintf(format, args...)
}
