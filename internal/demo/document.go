package demo

import (
	"strconv"
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/config"
	"sandbarrow.example/sandbarrow/jsonc"
	"sandbarrow.example/sandbarrow/policy"
	"sandbarrow.example/sandbarrow/workload"
)

const (
	baseModel      = sandbarrow.BaseModelID("base-0")
	demoAdapters   = 24
	receiptService = sandbarrow.ServiceID("receipts")
	servicePath    = "/receipts/"
	// rolloutPercent is the percentage of callers that get version v2 of the address estate's adapters.
	rolloutPercent = 50
)

// estates returns the users' estates, reduced to the demo's size.
func estates() []workload.Estate {
	list := []workload.Estate{workload.Address(), workload.Registre()}
	for i := range list {
		list[i].Adapters = demoAdapters
		list[i].BaseModels = 1
		list[i].RequestsPerSecond = 25
	}
	return list
}

// keyOf returns the bearer key of the only caller of a class.
func keyOf(class sandbarrow.CallerClass) string {
	return "key-of-" + string(class)
}

func document() *config.Document {
	d := &config.Document{
		BaseModels: []config.BaseModel{{ID: baseModel}},
		Policies: []config.Policy{
			{ID: "address", Source: policy.Source{Version: "percent < " + strconv.Itoa(rolloutPercent) + " ? 'v2' : 'v1'"}},
			{ID: "registre", Source: policy.Source{Version: "'v1'"}},
		},
		Services: []config.Service{{ID: receiptService, AtMostOnce: true, Prefix: servicePath}},
		Weights:  config.Weights{BatchEfficiency: 0.3},
	}
	for _, e := range estates() {
		for i := range e.Adapters {
			id := workload.AdapterName(e.Name, i)
			d.Adapters = append(d.Adapters, config.Adapter{
				BaseModel: baseModel, ID: id, Policy: sandbarrow.PolicyID(e.Name),
				Versions: []config.Version{{ID: "v1", Weights: string(id) + "/1"}, {ID: "v2", Weights: string(id) + "/2"}},
			})
		}
		for _, c := range e.Classes {
			d.Callers = append(d.Callers, config.Caller{
				Class: c.Class, ID: sandbarrow.CallerID(c.Class) + "-1", KeySHA256: sandbarrow.DigestOf([]byte(keyOf(c.Class))),
			})
			d.Classes = append(d.Classes, config.Class{
				ID: c.Class, NoBatchWait: c.NoBatchWait, Priority: c.Priority,
				Objective: config.Objective{FirstToken: jsonc.Duration(2 * time.Second), Share: 0.95},
			})
		}
	}
	return d
}
