// Package demo runs the whole system in one process with stand-ins for the
// outside systems, and drives both users' workloads through it.
package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/agent"
	"sandbarrow.example/sandbarrow/burn"
	"sandbarrow.example/sandbarrow/config"
	"sandbarrow.example/sandbarrow/entry"
	"sandbarrow.example/sandbarrow/jsonc"
	"sandbarrow.example/sandbarrow/platform"
	"sandbarrow.example/sandbarrow/settings"
	"sandbarrow.example/sandbarrow/standin"
	"sandbarrow.example/sandbarrow/store"
)

const (
	engineSlots = 6
	loadTime    = 50 * time.Millisecond
	loopback    = "127.0.0.1:0"
	maxBatch    = 16
	readyPause  = 20 * time.Millisecond
	stepTime    = 2 * time.Millisecond
)

// Demo is the running system.
type Demo struct {
	boxes   *standin.BoxList
	cancel  context.CancelFunc
	engines []*standin.Engine
	entries []*entry.Entry
	group   *errgroup.Group
	kv      *standin.KV
	service *standin.PlainService
}

// Totals are what the stand-ins counted.
type Totals struct {
	Loads, Unloads int
	// PerStep is the mean number of requests that shared an engine step.
	PerStep                 float64
	StoreReads, StoreWrites int64
}

// Start brings the system up: two engines and one plain service in three
// failure domains, each behind an agent, and two entries.
func Start(ctx context.Context) (*Demo, error) {
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	d := &Demo{
		boxes:   standin.NewBoxList(0),
		cancel:  cancel,
		group:   group,
		kv:      standin.NewKV(standin.KVLimits{Reads: 2000, Writes: 300}),
		service: standin.NewPlainService(2*time.Millisecond, platform.UpstreamNotices{}),
	}
	if err := d.start(ctx); err != nil {
		d.Stop()
		return nil, err
	}
	return d, d.waitReady(ctx)
}

func (d *Demo) start(ctx context.Context) error {
	kv, err := d.serve(ctx, d.kv)
	if err != nil {
		return err
	}
	list, err := d.serve(ctx, d.boxes)
	if err != nil {
		return err
	}
	weights, err := d.serve(ctx, standin.NewWeightStore(standin.WeightLimits{Load: loadTime, Parallel: 4}))
	if err != nil {
		return err
	}
	services := settings.Platform{BoxList: list + "/boxes", Store: kv}
	if _, _, err := config.Apply(ctx, store.NewHTTP(kv), document(), 0); err != nil {
		return err
	}
	for i := range 2 {
		e := standin.NewEngine(ctx, standin.EngineOptions{
			ChecksToken: true, MaxBatch: maxBatch, Slots: engineSlots, Step: stepTime, WeightStore: weights,
		})
		d.engines = append(d.engines, e)
		if err := d.startAgent(ctx, services, i, e, settings.Upstream{
			BaseModel: baseModel, ChecksToken: true, Kind: settings.KindEngine, MaxRunning: maxBatch, Slots: engineSlots,
		}); err != nil {
			return err
		}
	}
	if err := d.startAgent(ctx, services, 2, d.service, settings.Upstream{
		Kind: settings.KindService, MaxRunning: maxBatch, Service: receiptService,
	}); err != nil {
		return err
	}
	for i := range 2 {
		if err := d.startEntry(ctx, services, i); err != nil {
			return err
		}
	}
	return nil
}

// serve serves a stand-in on loopback until ctx ends and returns its URL.
func (d *Demo) serve(ctx context.Context, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", errors.Annotate(err, "demo")
	}
	server := &http.Server{ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError), Handler: h}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	go func() { _ = server.Serve(l) }()
	return "http://" + l.Addr().String(), nil
}

func domain(i int) sandbarrow.FailureDomain {
	return sandbarrow.FailureDomain(string(rune('a' + i)))
}

func discard() *slog.Logger {
	return slog.New(slog.NewTextHandler(io.Discard, nil))
}

func (d *Demo) startAgent(ctx context.Context, p settings.Platform, i int, backend http.Handler, u settings.Upstream) error {
	url, err := d.serve(ctx, backend)
	if err != nil {
		return err
	}
	u.URL = url
	u.ID = sandbarrow.UpstreamID(fmt.Sprintf("upstream-%d", i))
	s := &settings.Settings{
		Agent: &settings.Agent{
			LeaseTTL:    jsonc.Duration(3 * time.Second),
			StopGrace:   jsonc.Duration(5 * time.Second),
			Upstream:    u,
			WeightStore: settings.WeightStore{LoadsPerSecond: 40, ParallelLoads: 4},
		},
		Box:      settings.Box{FailureDomain: domain(i), ID: sandbarrow.BoxID(fmt.Sprintf("agent-%d", i))},
		Listen:   settings.Listen{HTTP: loopback, RPC: loopback},
		Platform: p,
	}
	a, err := agent.New(s, platform.UpstreamNotices{}, discard(), prometheus.NewRegistry())
	if err != nil {
		return err
	}
	d.boxes.Add(sandbarrow.Box{
		Address: a.Address(), FailureDomain: s.Box.FailureDomain, ID: s.Box.ID,
		Role: sandbarrow.RoleAgent, State: sandbarrow.BoxLive,
	})
	d.group.Go(func() error { return a.Run(ctx) })
	return nil
}

func (d *Demo) startEntry(ctx context.Context, p settings.Platform, i int) error {
	s := &settings.Settings{
		Box: settings.Box{FailureDomain: domain(i), ID: sandbarrow.BoxID(fmt.Sprintf("entry-%d", i))},
		Entry: &settings.Entry{
			DefaultDeadline: jsonc.Duration(10 * time.Second), MaxBodyBytes: 1 << 20,
			RetryShare: 0.1, StopGrace: jsonc.Duration(5 * time.Second),
		},
		Listen:   settings.Listen{HTTP: loopback},
		Platform: p,
	}
	e, err := entry.New(s, discard(), prometheus.NewRegistry())
	if err != nil {
		return err
	}
	d.entries = append(d.entries, e)
	d.group.Go(func() error { return e.Run(ctx) })
	return nil
}

// waitReady waits until each entry knows all agents.
func (d *Demo) waitReady(ctx context.Context) error {
	for _, e := range d.entries {
		for !e.Ready() || e.Connected() < 3 {
			select {
			case <-ctx.Done():
				d.Stop()
				return errors.New("demo: not ready in time")
			case <-time.After(readyPause):
			}
		}
	}
	return nil
}

// Report makes the burn report from the entries' metrics.
func (d *Demo) Report(ctx context.Context) (*burn.Report, error) {
	urls := make([]string, len(d.entries))
	for i, e := range d.entries {
		urls[i] = "http://" + e.Address()
	}
	return burn.Scrape(ctx, urls)
}

// Stop ends the system and waits for it.
func (d *Demo) Stop() {
	d.cancel()
	_ = d.group.Wait() // each part has answered for itself before
}

// Totals sums what the stand-ins counted.
func (d *Demo) Totals() Totals {
	t := Totals{StoreReads: d.kv.Reads.Load(), StoreWrites: d.kv.Writes.Load()}
	var steps, slots int64
	for _, e := range d.engines {
		for _, o := range e.Log().Orders {
			if o.Unload {
				t.Unloads++
			} else {
				t.Loads++
			}
		}
		steps += e.StepsTaken.Load()
		slots += e.StepSlots.Load()
	}
	if steps > 0 {
		t.PerStep = float64(slots) / float64(steps)
	}
	return t
}
