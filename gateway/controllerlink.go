package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/crash"
	"sandbarrow.example/sandbarrow/directory"
	"sandbarrow.example/sandbarrow/enginelink"
	"sandbarrow.example/sandbarrow/forward"
	"sandbarrow.example/sandbarrow/internal/boottime"
	"sandbarrow.example/sandbarrow/internal/pause"
	"sandbarrow.example/sandbarrow/logging"
	"sandbarrow.example/sandbarrow/wire"
)

const (
	// redialPause is the mean pause after a failed or lost connection. It is short compared with
	// the controller's grace period for pins (0.8 s).
	redialPause = 150 * time.Millisecond
	// acquireSlack is how much longer than its wait an acquire call may take, to allow for the
	// network.
	acquireSlack = 250 * time.Millisecond
)

// controllerLink is the link to one controller. It dials the controller, speaks its protocol, and
// stores what it reports in a linkState.
type controllerLink struct {
	address string
	cancel  context.CancelFunc
	domain  sandbarrow.FailureDomain
	gateway *Gateway
	linkState
}

// run keeps the link connected until ctx ends.
func (l *controllerLink) run(ctx context.Context) {
	dialer := net.Dialer{Timeout: forward.DialTimeout, KeepAlive: -1}
	for ctx.Err() == nil {
		began := time.Now()
		conn, err := dialer.DialContext(ctx, "tcp", l.address)
		if err == nil {
			l.gateway.distances.Observe(l.domain, time.Since(began))
			l.serve(ctx, conn)
		}
		pause.For(ctx, jitter(redialPause))
	}
}

// serve uses one connection until it ends or no status has arrived for enginelink.HeartbeatTimeout.
func (l *controllerLink) serve(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	typical, typicalEvents := l.gateway.engines.medianSpeed(), l.gateway.engines.medianEventTimes()
	ready := make(chan struct{})
	stream := wire.NewStreamSize(conn, enginelink.ReadBufferBytes)
	stream.ServeDirectly(enginelink.MethodStatus, func(params []byte) error {
		<-ready
		return l.readStatus(params)
	})
	var rpc *jsonrpc2.Conn
	rpc = jsonrpc2.NewConn(ctx, stream, wire.Handler(func(_ context.Context, r *jsonrpc2.Request) (any, error) {
		<-ready
		return l.handle(ctx, rpc, r)
	}), jsonrpc2.SetLogger(logging.NewPrinter(l.gateway.logger, "jsonrpc2")))
	defer rpc.Close()
	l.mu.Lock()
	l.reconnect(rpc)
	hello := enginelink.Hello{Box: l.gateway.config.Box, Changes: true, EventTimes: l.status.EventTimes, Speed: l.status.Speed, Token: l.status.Token}
	if hello.Speed.PerToken <= 0 {
		hello.Speed = typical
	}
	if !hello.EventTimes.Known() {
		hello.EventTimes = typicalEvents
	}
	pins := slices.Collect(maps.Values(l.pins))
	hello.Incarnation, hello.Link, hello.Pins = l.gateway.incarnation, enginelink.LinkNumber(l.gateway.linkCount.Add(1)), slices.Collect(maps.Keys(l.pins))
	l.mu.Unlock()
	close(ready)
	if rpc.Notify(ctx, enginelink.MethodHello, hello) != nil {
		return
	}
	if l.reportPins(ctx, rpc, pins) != nil {
		return
	}
	go enginelink.PublishWatermarks(ctx, rpc, l.gateway.estate)
	l.gateway.logger.Info("controller linked", "controller", l.address)
	var quiet wire.Quiet
	for {
		select {
		case <-rpc.DisconnectNotify():
			l.markDown("disconnected")
			return
		case <-ctx.Done():
			return
		case <-time.After(enginelink.HeartbeatInterval):
		}
		if !l.up(boottime.Now()) {
			l.markDown("silent")
			return
		}
		if heartbeatDue(quiet.Check(stream.Sent())) {
			go func() { _ = stream.Send(heartbeat) }() // a connection that has ended needs none
		}
	}
}

// heartbeat is a message to a controller that carries nothing.
var heartbeat = wire.NewNotification(enginelink.MethodHeartbeat, json.RawMessage("{}"))

// heartbeatDue decides whether to send a heartbeat, by the number of checks in a row between which
// nothing was sent to the controller. They are enginelink.HeartbeatInterval apart.
func heartbeatDue(quietChecks int) bool {
	return quietChecks >= int(enginelink.GatewayHeartbeatInterval/enginelink.HeartbeatInterval)
}

// readStatus applies a status of the controller.
func (l *controllerLink) readStatus(text []byte) error {
	var s enginelink.Status
	if err := json.Unmarshal(text, &s); err != nil {
		return errors.Annotate(err, enginelink.MethodStatus)
	}
	full, before := l.applyStatus(s)
	l.gateway.observeLoads(before, full.Loads)
	return nil
}

// observeLoads records the load times that a controller reports. last is its previous report.
func (g *Gateway) observeLoads(last, now enginelink.Loads) {
	if now.Count != last.Count {
		g.loadTimes.ObserveLoad(time.Duration(now.LastLoadMS) * time.Millisecond)
	}
}

// markDown marks the link as down.
func (l *controllerLink) markDown(how string) {
	l.mu.Lock()
	l.rpc = nil
	l.mu.Unlock()
	l.gateway.logger.Warn("controller lost", "controller", l.address, "how", how)
}

// handle serves one message of the controller.
func (l *controllerLink) handle(ctx context.Context, rpc *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	switch r.Method {
	case enginelink.MethodStatus:
		if r.Params == nil {
			return nil, wire.Decode(r, nil)
		}
		return nil, l.readStatus(*r.Params)
	case enginelink.MethodCachedPrompts:
		var cached enginelink.CachedPrompts
		if err := wire.Decode(r, &cached); err != nil {
			return nil, err
		}
		l.applyCached(&cached)
		return nil, nil
	case enginelink.MethodCrashes:
		return nil, l.mergeCrashes(r, l.gateway.crashes)
	case enginelink.MethodPartCrashes:
		return nil, l.mergeCrashes(r, l.gateway.partCrashes.Records())
	case enginelink.MethodLimit:
		var m enginelink.Limits
		if err := wire.Decode(r, &m); err != nil {
			return nil, err
		}
		for _, record := range m.Records {
			l.gateway.upstreams.mergeLimit(record)
		}
		return nil, nil
	case enginelink.MethodListed:
		var change directory.Change
		if err := wire.Decode(r, &change); err != nil {
			return nil, err
		}
		l.gateway.directory.ApplyPeerChange(change)
		l.gateway.upstreams.cancelBlockedWaits()
		return nil, nil
	case enginelink.MethodLedShards:
		var leaders enginelink.LedShards
		if err := wire.Decode(r, &leaders); err != nil {
			return nil, err
		}
		l.gateway.leaders.apply(l, &leaders)
		return nil, nil
	case enginelink.MethodWatermark:
		var m enginelink.Watermark
		if err := wire.Decode(r, &m); err != nil {
			return nil, err
		}
		go enginelink.FollowWatermark(ctx, rpc, l.gateway.estate, m, enginelink.StoreWatchGrace)
		return nil, nil
	case enginelink.MethodFetch:
		return enginelink.ServeFetch(rpc, r, l.gateway.estate)
	}
	return l.handleContended(r)
}

// mergeCrashes merges the records that the controller has sent.
func (l *controllerLink) mergeCrashes(r *jsonrpc2.Request, crashes *crash.Log) error {
	var m enginelink.Crashes
	if err := wire.Decode(r, &m); err != nil {
		return err
	}
	crashes.Merge(l, m.Records)
	return nil
}

// acquire asks the controller to pin an adapter. ok is false if the controller did not reply in
// time.
func (l *controllerLink) acquire(ctx context.Context, q *enginelink.Acquire) (g enginelink.Grant, ok bool) {
	rpc := l.connection()
	if rpc == nil {
		return g, false
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(q.WaitMS)*time.Millisecond+enginelink.ExtraLoadWait+acquireSlack)
	defer cancel()
	err := rpc.Call(ctx, enginelink.MethodAcquire, q, &g)
	if err != nil {
		// The grant may still be made. Its pin must be released.
		_ = rpc.Notify(context.WithoutCancel(ctx), enginelink.MethodUnpin, enginelink.Pin{ID: q.ID})
	}
	if err == nil && g.Refused == "" {
		l.addPin(q)
		l.reportLatePin(ctx, rpc, q)
	}
	return g, err == nil
}

// reportPins reports the pins that the gateway had as a connection opened. One that was unpinned since is
// unpinned again, as its unpin may have gone before this report and would be lost.
func (l *controllerLink) reportPins(ctx context.Context, rpc *jsonrpc2.Conn, pins []*enginelink.Acquire) error {
	for _, q := range pins {
		if err := rpc.Notify(ctx, enginelink.MethodPinned, q); err != nil {
			return err
		}
		if l.hasPin(q.ID) {
			continue
		}
		if err := rpc.Notify(ctx, enginelink.MethodUnpin, enginelink.Pin{ID: q.ID}); err != nil {
			return err
		}
	}
	return nil
}

// reportLatePin reports a pin that was granted on a connection which a newer one has superseded. That
// one may have reported the pins before this one was among them.
func (l *controllerLink) reportLatePin(ctx context.Context, granted *jsonrpc2.Conn, q *enginelink.Acquire) {
	if rpc := l.connection(); rpc != nil && rpc != granted {
		_ = rpc.Notify(context.WithoutCancel(ctx), enginelink.MethodPinned, q)
	}
}

// report reports the progress of a pinned request to the controller. MethodUnpin releases its pin.
func (l *controllerLink) report(method string, id sandbarrow.RequestID) {
	l.mu.Lock()
	rpc := l.rpc
	if method == enginelink.MethodUnpin {
		delete(l.pins, id)
	}
	l.mu.Unlock()
	if rpc != nil {
		_ = rpc.Notify(context.Background(), method, enginelink.Pin{ID: id}) // a controller that loses its link drops the pins after a grace period
	}
}

// addUnreportedPin stores a pin taken without the controller because the link is not usable. The
// controller receives the pin when the link reconnects. If a connection exists but has not reported
// a status yet, or not for a while, the pin is also reported at once. That connection may recover,
// and the controller would otherwise unload the adapter under the request.
func (l *controllerLink) addUnreportedPin(ctx context.Context, q *enginelink.Acquire) {
	l.addPin(q)
	if rpc := l.connection(); rpc != nil {
		_ = rpc.Notify(context.WithoutCancel(ctx), enginelink.MethodPinned, q)
	}
}
