package systest

import (
	"fmt"
	"io"
	"log"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/config"
	"sandbarrow.example/sandbarrow/policy"
	"sandbarrow.example/sandbarrow/workload"
)

const (
	adapterCount = 12
	callerKey    = "secret"
)

// testDocument names a version for all adapters.
func testDocument(version string) *config.Document {
	d := &config.Document{
		BaseModels: []config.BaseModel{{ID: "base-0"}},
		Callers:    []config.Caller{{Class: "desk", ID: "desk-1", KeySHA256: sandbarrow.DigestOf([]byte(callerKey))}},
		Classes:    []config.Class{{ID: "desk"}},
		Policies:   []config.Policy{{ID: "p", Source: policy.Source{Version: fmt.Sprintf("'%s'", version)}}},
		Services:   []config.Service{{ID: "receipts", AtMostOnce: true, Prefix: "/receipts/"}},
	}
	for _, e := range estates() {
		addEstate(d, &e)
	}
	for i := range adapterCount {
		d.Adapters = append(d.Adapters, config.Adapter{
			BaseModel: "base-0", ID: adapter(i), Policy: "p",
			Versions: []config.Version{{ID: "v1", Weights: "w1"}, {ID: "v2", Weights: "w2"}},
		})
	}
	return d
}

// estates are the users' estates, cut down to what a test drives in seconds.
func estates() []workload.Estate {
	list := []workload.Estate{workload.Address(), workload.Registre()}
	for i := range list {
		list[i].Adapters, list[i].BaseModels, list[i].RequestsPerSecond = adapterCount, 1, 20
	}
	return list
}

// addEstate adds the classes, callers and adapters of an estate.
func addEstate(d *config.Document, e *workload.Estate) {
	for _, c := range e.Classes {
		d.Classes = append(d.Classes, config.Class{ID: c.Class, NoBatchWait: c.NoBatchWait, Priority: c.Priority})
		d.Callers = append(d.Callers, config.Caller{
			Class: c.Class, ID: sandbarrow.CallerID(c.Class), KeySHA256: sandbarrow.DigestOf([]byte(keyOf(c.Class))),
		})
	}
	for i := range e.Adapters {
		d.Adapters = append(d.Adapters, config.Adapter{
			BaseModel: e.BaseModelOf(i), ID: workload.AdapterName(e.Name, i), Policy: "p",
			Versions: []config.Version{{ID: "v1", Weights: "w1"}, {ID: "v2", Weights: "w2"}},
		})
	}
}

// keyOf is the bearer key of a class's caller.
func keyOf(class sandbarrow.CallerClass) string {
	if class == "" {
		return callerKey
	}
	return "key-of-" + string(class)
}

func adapter(i int) sandbarrow.AdapterID {
	return sandbarrow.AdapterID(fmt.Sprintf("adapter-%d", i%adapterCount))
}

func discardLog() *log.Logger {
	return log.New(io.Discard, "", 0)
}
