package sendkeepers

import (
	"context"

	"github.com/juju/errors"

	"sandbarrow.example/sandbarrow/enginelink"
)

// localOrigins keeps where streams began in this process, for peers.
type localOrigins struct {
	keeper *enginelink.OriginKeeper
	name   string
}

// Name returns the gateway's address.
func (l localOrigins) Name() string { return l.name }

// FindStream returns where a stream began.
func (l localOrigins) FindStream(_ context.Context, q enginelink.FindStream) (enginelink.StreamOrigin, error) {
	return l.keeper.Find(q), nil
}

// StreamBegan records where a stream began.
func (l localOrigins) StreamBegan(m enginelink.StreamBegan) error {
	l.keeper.Add(m)
	return nil
}

// FindStream asks the peer where a stream began. The connection is closed if no reply arrives.
func (p *peer) FindStream(ctx context.Context, q enginelink.FindStream) (reply enginelink.StreamOrigin, err error) {
	rpc, err := p.connect(ctx)
	if err != nil {
		return reply, err
	}
	err = rpc.Call(ctx, enginelink.MethodFindStream, q, &reply)
	if err != nil && !isUnknownMethod(err) && !errors.Is(ctx.Err(), context.Canceled) {
		p.drop(rpc)
	}
	return reply, errors.Trace(err)
}

// StreamBegan reports to the peer where a stream began.
func (p *peer) StreamBegan(m enginelink.StreamBegan) error {
	ctx, cancel := context.WithTimeout(context.Background(), SendTimeout)
	defer cancel()
	rpc, err := p.connect(ctx)
	if err != nil {
		return err
	}
	if err := rpc.Notify(ctx, enginelink.MethodStreamBegan, m); err != nil {
		p.drop(rpc)
		return errors.Trace(err)
	}
	return nil
}
