// Package policy compiles and evaluates the operators' policies, which are short CEL
// programs with a bounded cost.
package policy

import (
	"github.com/google/cel-go/cel"
	"github.com/google/cel-go/checker"
	"github.com/google/cel-go/common/types/ref"
	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
)

// MaxCost bounds one evaluation of a program, in CEL cost units.
const MaxCost = 2000

// maxListSize is the largest size of a list or string that the cost estimate assumes.
const maxListSize = 64

// ErrInvalid is the error for a policy that does not compile, costs too much or fails in an
// evaluation.
const ErrInvalid = errors.ConstError("policy: not valid")

// Source is the source text of a policy. Each field is a CEL expression.
type Source struct {
	// AtMostOnce says whether a request must run at most once: bool; default false.
	AtMostOnce string `json:"once,omitempty"`
	// Place says whether an upstream may run the adapter: bool; default true.
	Place string `json:"place,omitempty"`
	// Priority of a request: int, 0 is the most urgent; default the class's.
	Priority string `json:"priority,omitempty"`
	// Version to run: string; default the adapter's latest version.
	Version string `json:"version,omitempty"`
}

// Request holds the properties of a request that programs can use.
type Request struct {
	Adapter       sandbarrow.AdapterID
	Caller        sandbarrow.CallerID
	Class         sandbarrow.CallerClass
	ClassPriority int
	// Latest is the adapter's latest version.
	Latest sandbarrow.VersionID
	// MarkedAtMostOnce reports that the caller marked the request as at-most-once.
	MarkedAtMostOnce bool
	// Percent is a number from 0 to 99 for rollouts. It is stable per caller and adapter.
	Percent int
}

// Upstream holds the properties of an upstream that the place program can use.
type Upstream struct {
	Box           sandbarrow.BoxID
	FailureDomain sandbarrow.FailureDomain
	ID            sandbarrow.UpstreamID
}

// Policy is a compiled policy. It is safe for concurrent use.
type Policy struct {
	once, place, priority, version cel.Program
}

// Compile checks and compiles a policy.
func Compile(id sandbarrow.PolicyID, s Source) (*Policy, error) {
	request, upstream, err := environments()
	if err != nil {
		return nil, errors.Annotate(ErrInvalid, err.Error())
	}
	p := &Policy{}
	for _, f := range []struct {
		env    *cel.Env
		into   *cel.Program
		name   string
		result *cel.Type
		text   string
	}{
		{request, &p.once, "once", cel.BoolType, s.AtMostOnce},
		{upstream, &p.place, "place", cel.BoolType, s.Place},
		{request, &p.priority, "priority", cel.IntType, s.Priority},
		{request, &p.version, "version", cel.StringType, s.Version},
	} {
		if f.text == "" {
			continue
		}
		if *f.into, err = compile(f.env, f.text, f.result); err != nil {
			return nil, errors.Annotatef(ErrInvalid, "policy %s: %s: %v", id, f.name, err)
		}
	}
	return p, nil
}

func environments() (request, upstream *cel.Env, err error) {
	common := []cel.EnvOption{
		cel.Variable("adapter", cel.StringType),
		cel.Variable("class", cel.StringType),
	}
	request, err = cel.NewEnv(append(common,
		cel.Variable("caller", cel.StringType),
		cel.Variable("class_priority", cel.IntType),
		cel.Variable("latest", cel.StringType),
		cel.Variable("marked", cel.BoolType),
		cel.Variable("percent", cel.IntType),
	)...)
	if err != nil {
		return nil, nil, err
	}
	upstream, err = cel.NewEnv(
		cel.Variable("box", cel.StringType),
		cel.Variable("class", cel.StringType),
		cel.Variable("failure_domain", cel.StringType),
		cel.Variable("upstream", cel.StringType),
	)
	return request, upstream, err
}

func compile(env *cel.Env, text string, result *cel.Type) (cel.Program, error) {
	ast, issues := env.Compile(text)
	if issues.Err() != nil {
		return nil, issues.Err()
	}
	if !ast.OutputType().IsExactType(result) {
		return nil, errors.Errorf("gives %v, want %v", ast.OutputType(), result)
	}
	cost, err := env.EstimateCost(ast, sizeEstimator{})
	if err != nil {
		return nil, err
	}
	if cost.Max > MaxCost {
		return nil, errors.Errorf("cost %d is over %d", cost.Max, MaxCost)
	}
	return env.Program(ast, cel.CostLimit(MaxCost), cel.EvalOptions(cel.OptOptimize))
}

type sizeEstimator struct{}

// EstimateCallCost returns nil: the CEL library estimates the cost of calls.
func (sizeEstimator) EstimateCallCost(string, string, *checker.AstNode, []checker.AstNode) *checker.CallEstimate {
	return nil
}

// EstimateSize bounds the sizes of strings and lists.
func (sizeEstimator) EstimateSize(checker.AstNode) *checker.SizeEstimate {
	return &checker.SizeEstimate{Min: 0, Max: maxListSize}
}

// AtMostOnce reports whether a request must run at most once.
func (p *Policy) AtMostOnce(r *Request) (bool, error) {
	if p.once == nil {
		return r.MarkedAtMostOnce, nil
	}
	v, err := eval(p.once, r.variables())
	if err != nil {
		return false, err
	}
	return r.MarkedAtMostOnce || v.Value().(bool), nil
}

// Place reports whether an upstream may serve requests of a class.
func (p *Policy) Place(class sandbarrow.CallerClass, u Upstream) (bool, error) {
	if p.place == nil {
		return true, nil
	}
	v, err := eval(p.place, map[string]any{
		"box":            string(u.Box),
		"class":          string(class),
		"failure_domain": string(u.FailureDomain),
		"upstream":       string(u.ID),
	})
	if err != nil {
		return false, err
	}
	return v.Value().(bool), nil
}

// Priority returns the priority of a request; 0 is the most urgent.
func (p *Policy) Priority(r *Request) (int, error) {
	if p.priority == nil {
		return r.ClassPriority, nil
	}
	v, err := eval(p.priority, r.variables())
	if err != nil {
		return 0, err
	}
	return max(0, int(v.Value().(int64))), nil
}

// Version returns the adapter version to run.
func (p *Policy) Version(r *Request) (sandbarrow.VersionID, error) {
	if p.version == nil {
		return r.Latest, nil
	}
	v, err := eval(p.version, r.variables())
	if err != nil {
		return "", err
	}
	return sandbarrow.VersionID(v.Value().(string)), nil
}

func (r *Request) variables() map[string]any {
	return map[string]any{
		"adapter":        string(r.Adapter),
		"caller":         string(r.Caller),
		"class":          string(r.Class),
		"class_priority": int64(r.ClassPriority),
		"latest":         string(r.Latest),
		"marked":         r.MarkedAtMostOnce,
		"percent":        int64(r.Percent),
	}
}

func eval(p cel.Program, variables map[string]any) (ref.Val, error) {
	v, _, err := p.Eval(variables)
	if err != nil {
		return nil, errors.Annotate(ErrInvalid, err.Error())
	}
	return v, nil
}
