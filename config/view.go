package config

import (
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/policy"
)

// rolloutBuckets is the number of parts that callers are cut into for rollouts.
const rolloutBuckets = 100

// The errors of a View.
const (
	// ErrUnknownCaller means that no caller has the key.
	ErrUnknownCaller = errors.ConstError("config: unknown caller")
	// ErrUnknownModel means that no adapter or version has the name.
	ErrUnknownModel = errors.ConstError("config: unknown model")
)

// Resolution is what one revision says of one request.
type Resolution struct {
	BaseModel sandbarrow.BaseModelID
	Class     *Class
	Model     sandbarrow.ModelRef
	AtMostOnce      bool
	Policy    sandbarrow.PolicyID
	Priority  int
	Weights   string
}

// View is one accepted configuration, compiled for look-ups. It is immutable.
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

// NewView checks and compiles a snapshot.
func NewView(s Snapshot) (*View, error) {
	d, err := join(s)
	if err != nil {
		return nil, err
	}
	c := newChecker(bareReporter{})
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

// Caller finds the caller that has a bearer key.
func (v *View) Caller(key string) (*Caller, *Class, error) {
	c, ok := v.callers[sandbarrow.DigestOf([]byte(key))]
	if !ok {
		return nil, nil, ErrUnknownCaller
	}
	return c, v.classes[c.Class], nil
}

// Place says whether a policy lets an upstream serve a class.
func (v *View) Place(id sandbarrow.PolicyID, class sandbarrow.CallerClass, u policy.Upstream) (bool, error) {
	p, ok := v.policies[id]
	if !ok {
		return true, nil
	}
	return p.Place(class, u)
}

// Resolve names adapter, version, priority and repeatability of a request.
// The model is an adapter, whose policy names the version, or adapter@version,
// which the policy must name too.
func (v *View) Resolve(c *Caller, model string, marked bool) (Resolution, error) {
	name, asked, pinned := strings.Cut(model, "@")
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
		MarkedAtMostOnce: marked,
		Percent:          int(xxhash.Sum64String(string(c.ID)+"\x00"+string(a.ID)) % rolloutBuckets),
	}
	p, ok := v.policies[a.Policy]
	if !ok {
		p = &policy.Policy{}
	}
	return v.run(p, r, a, class, asked, pinned)
}

func (v *View) run(p *policy.Policy, r *policy.Request, a *Adapter, class *Class, asked string, pinned bool) (Resolution, error) {
	once, err := p.AtMostOnce(r)
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
	if pinned && sandbarrow.VersionID(asked) != version {
		return Resolution{}, errors.Annotatef(ErrUnknownModel, "model %s@%s: the policy names version %s", a.ID, asked, version)
	}
	for _, candidate := range a.Versions {
		if candidate.ID == version {
			return Resolution{
				BaseModel: a.BaseModel,
				Class:     class,
				Model:     sandbarrow.ModelRef{Adapter: a.ID, Version: version},
				AtMostOnce:      once,
				Policy:    a.Policy,
				Priority:  priority,
				Weights:   candidate.Weights,
			}, nil
		}
	}
	return Resolution{}, errors.Annotatef(ErrUnknownModel, "policy %s names version %q, which adapter %s lacks", a.Policy, version, a.ID)
}

// Service finds the plain service of a path.
func (v *View) Service(path string) (*Service, bool) {
	for i := range v.Document.Services {
		s := &v.Document.Services[i]
		if strings.HasPrefix(path, s.Prefix) {
			return s, true
		}
	}
	return nil, false
}
