package config

import (
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/policy"
)

// rolloutBuckets is the number of buckets into which callers are hashed for rollouts.
const rolloutBuckets = 100

// The errors of a View.
const (
	// ErrUnknownCaller means that no caller has the key.
	ErrUnknownCaller = errors.ConstError("config: unknown caller")
	// ErrUnknownModel means that no adapter or version has the requested name.
	ErrUnknownModel = errors.ConstError("config: unknown model")
)

// Resolution is the result of resolving one request against one revision of the configuration.
type Resolution struct {
	BaseModel  sandbarrow.BaseModelID
	Class      *Class
	Model      sandbarrow.ModelRef
	AtMostOnce bool
	Policy     sandbarrow.PolicyID
	Priority   int
	Weights    string
}

// View is one accepted configuration, compiled for lookups. It is immutable.
type View struct {
	Digest   sandbarrow.Digest
	Document *Document
	Era      sandbarrow.StoreEra
	Revision sandbarrow.Revision

	adapters map[sandbarrow.AdapterID]*Adapter
	callers  map[sandbarrow.Digest]*Caller
	classes  map[sandbarrow.CallerClass]*Class
	policies map[sandbarrow.PolicyID]*policy.Policy
}

// NewView validates and compiles a snapshot.
func NewView(s Snapshot) (*View, error) {
	d, err := join(s)
	if err != nil {
		return nil, err
	}
	c := newChecker(plainReporter{})
	c.document(d)
	if len(c.problems) > 0 {
		return nil, errors.Annotate(ErrInvalid, c.problems.Error())
	}
	v := &View{
		Digest:   s.Head.Digest,
		Document: d,
		Era:      s.Era,
		Revision: s.Head.Revision,
		adapters: make(map[sandbarrow.AdapterID]*Adapter, len(d.Adapters)),
		callers:  map[sandbarrow.Digest]*Caller{},
		classes:  map[sandbarrow.CallerClass]*Class{},
		policies: map[sandbarrow.PolicyID]*policy.Policy{},
	}
	for i := range d.Adapters {
		v.adapters[d.Adapters[i].ID] = &d.Adapters[i]
	}
	for i := range d.Callers {
		v.callers[d.Callers[i].KeySHA256] = &d.Callers[i]
	}
	for i := range d.Classes {
		v.classes[d.Classes[i].ID] = &d.Classes[i]
	}
	for _, p := range d.Policies {
		if v.policies[p.ID], err = policy.Compile(p.ID, p.Source); err != nil {
			return nil, err
		}
	}
	return v, nil
}

// Caller returns the caller with a bearer key, and its class.
func (v *View) Caller(key string) (*Caller, *Class, error) {
	c, ok := v.callers[sandbarrow.DigestOf([]byte(key))]
	if !ok {
		return nil, nil, ErrUnknownCaller
	}
	return c, v.classes[c.Class], nil
}

// PermitsUpstream reports whether a policy permits an upstream to serve a class.
func (v *View) PermitsUpstream(id sandbarrow.PolicyID, class sandbarrow.CallerClass, u policy.Upstream) (bool, error) {
	p, ok := v.policies[id]
	if !ok {
		return true, nil
	}
	return p.PermitsUpstream(class, u)
}

// Resolve determines the adapter, version and priority of a request, and whether it runs at most once. The
// model is either the name of an adapter, whose policy selects the version, or adapter@version. In the latter
// case the policy must select the same version.
func (v *View) Resolve(c *Caller, model string, atMostOnce bool) (Resolution, error) {
	name, requestedVersion, pinned := strings.Cut(model, "@")
	a, ok := v.adapters[sandbarrow.AdapterID(name)]
	if !ok {
		return Resolution{}, errors.Annotatef(ErrUnknownModel, "model %q", model)
	}
	class := v.classes[c.Class]
	r := &policy.Request{
		Adapter:          a.ID,
		Caller:           c.ID,
		Class:            c.Class,
		ClassPriority:    class.Priority,
		Latest:           a.Versions[len(a.Versions)-1].ID,
		MarkedAtMostOnce: atMostOnce,
		Percent:          int(xxhash.Sum64String(string(c.ID)+"\x00"+string(a.ID)) % rolloutBuckets),
	}
	p, ok := v.policies[a.Policy]
	if !ok {
		p = &policy.Policy{}
	}
	return v.runPolicy(p, r, a, class, requestedVersion, pinned)
}

func (v *View) runPolicy(p *policy.Policy, r *policy.Request, a *Adapter, class *Class, requestedVersion string, pinned bool) (Resolution, error) {
	atMostOnce, err := p.AtMostOnce(r)
	if err != nil {
		return Resolution{}, err
	}
	priority, err := p.Priority(r)
	if err != nil {
		return Resolution{}, err
	}
	version, err := p.Version(r)
	if err != nil {
		return Resolution{}, err
	}
	if pinned && sandbarrow.VersionID(requestedVersion) != version {
		return Resolution{}, errors.Annotatef(ErrUnknownModel, "model %s@%s: the policy names version %s", a.ID, requestedVersion, version)
	}
	for _, candidate := range a.Versions {
		if candidate.ID == version {
			return Resolution{
				BaseModel:  a.BaseModel,
				Class:      class,
				Model:      sandbarrow.ModelRef{Adapter: a.ID, Version: version},
				AtMostOnce: atMostOnce,
				Policy:     a.Policy,
				Priority:   priority,
				Weights:    candidate.Weights,
			}, nil
		}
	}
	return Resolution{}, errors.Annotatef(ErrUnknownModel, "policy %s names version %q, which adapter %s lacks", a.Policy, version, a.ID)
}

// Service returns the plain service of a path.
func (v *View) Service(path string) (*Service, bool) {
	for i := range v.Document.Services {
		s := &v.Document.Services[i]
		if strings.HasPrefix(path, s.Prefix) {
			return s, true
		}
	}
	return nil, false
}
