package demand

import (
	"encoding/json"
	"math"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow"
)

const (
	// MaxEntries is the largest number of adapters in a list. After a loss of all power, the weight
	// store serves some 300 loads in the 2 s that callers wait.
	MaxEntries = 400
	// MaxBytes is the largest size of an encoded list.
	MaxBytes = 16 << 10
	// maxWeight is more than the requests for any adapter within the half-life. It decays to no demand
	// within half an hour.
	maxWeight = 1e9
)

// ErrMalformed means that a stored value is not an encoded list.
const ErrMalformed = errors.ConstError("demand: malformed value")

// encodedModel holds the adapters of one base model in the store, and their weights in the same
// order.
type encodedModel struct {
	Adapters []sandbarrow.AdapterID `json:"a"`
	Model    sandbarrow.BaseModelID `json:"m"`
	Weights  []float64              `json:"w"`
}

// Encode returns the list in the form in which it is stored. It leaves out the entries with the
// least demand that exceed MaxEntries or MaxBytes.
func (l List) Encode() ([]byte, error) {
	l = l[:min(len(l), MaxEntries)]
	for {
		text, err := json.Marshal(l.byModel())
		if err != nil {
			return nil, errors.Trace(err)
		}
		if len(text) <= MaxBytes {
			return text, nil
		}
		l = l[:min(len(l)-1, len(l)*MaxBytes/len(text))]
	}
}

func (l List) byModel() []*encodedModel {
	models := []*encodedModel{}
	index := map[sandbarrow.BaseModelID]*encodedModel{}
	for _, e := range l {
		m := index[e.Key.Model]
		if m == nil {
			m = &encodedModel{Model: e.Key.Model}
			index[e.Key.Model] = m
			models = append(models, m)
		}
		m.Adapters = append(m.Adapters, e.Key.Adapter)
		m.Weights = append(m.Weights, math.Round(float64(e.Weight)*10)/10)
	}
	return models
}

// Decode returns an encoded list, the busiest first. A value of another process or build that does
// not hold a list gives ErrMalformed. Entries without a name, or with no plausible demand, are ignored.
func Decode(text []byte) (List, error) {
	if len(text) > MaxBytes {
		return nil, errors.Annotatef(ErrMalformed, "%d bytes", len(text))
	}
	var models []encodedModel
	if err := json.Unmarshal(text, &models); err != nil {
		return nil, errors.Annotate(ErrMalformed, err.Error())
	}
	var list List
	for _, m := range models {
		if len(m.Adapters) != len(m.Weights) {
			return nil, errors.Annotatef(ErrMalformed, "%d adapters with %d weights", len(m.Adapters), len(m.Weights))
		}
		for i, adapter := range m.Adapters {
			if adapter != "" && m.Model != "" && m.Weights[i] > 0 && m.Weights[i] <= maxWeight {
				list = append(list, Entry{Key: sandbarrow.AdapterKey{Adapter: adapter, Model: m.Model}, Weight: Weight(m.Weights[i])})
			}
		}
	}
	sortByWeight(list)
	return list[:min(len(list), MaxEntries)], nil
}
