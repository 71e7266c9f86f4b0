package enginelink

import (
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/origin"
	"sandbarrow.example/sandbarrow/wire"
)

// OriginKeeper keeps where streams of gateways began. A controller serves all gateways; without a
// controller, a gateway serves its peers. It is safe for concurrent use. The zero value is ready to
// use.
type OriginKeeper struct {
	mu    sync.Mutex
	table origin.Table
}

// Handle serves a message about streams; handled is false for any other message.
func (k *OriginKeeper) Handle(r *jsonrpc2.Request) (result any, handled bool, err error) {
	switch r.Method {
	case MethodStreamBegan:
		var m StreamBegan
		if err := wire.Decode(r, &m); err != nil {
			return nil, true, err
		}
		k.Add(m)
		return nil, true, nil
	case MethodFindStream:
		var q FindStream
		if err := wire.Decode(r, &q); err != nil {
			return nil, true, err
		}
		return k.Find(q), true, nil
	}
	return nil, false, nil
}

// Add records where a stream began.
func (k *OriginKeeper) Add(m StreamBegan) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.Add(boottime.Now(), m.ID, origin.Origin{Service: m.Service, Software: m.Software}, time.Duration(m.LifetimeMS)*time.Millisecond)
}

// Find answers the question where a stream began.
func (k *OriginKeeper) Find(q FindStream) StreamOrigin {
	k.mu.Lock()
	defer k.mu.Unlock()
	if q.ID == "" {
		return StreamOrigin{Others: k.table.AnyOther(boottime.Now(), origin.Origin{Service: q.Service, Software: q.Software})}
	}
	o, known := k.table.Find(boottime.Now(), q.ID)
	return StreamOrigin{Known: known, Service: o.Service, Software: o.Software}
}

// Count returns the number of records.
func (k *OriginKeeper) Count() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Len()
}
