// Command standin runs one stand-in of an outside system, for tests and trials.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"sandbarrow.example/sandbarrow/platform"
	"sandbarrow.example/sandbarrow/standin"
)

type options struct {
	ChecksToken bool          `long:"checks-token" description:"engine: refuse orders with an older fencing token"`
	Kind        string        `long:"kind" choice:"boxlist" choice:"engine" choice:"kv" choice:"service" choice:"weights" required:"true" description:"what to stand in for"`
	Lag         time.Duration `long:"lag" description:"boxlist: delay of each change"`
	Listen      string        `long:"listen" required:"true" value-name:"IP:PORT" description:"address"`
	Load        time.Duration `long:"load" default:"200ms" description:"weights: time of one load"`
	MaxBatch    int           `long:"max-batch" default:"32" description:"engine: requests in a step"`
	Parallel    int           `long:"parallel" default:"2" description:"weights: loads at full speed"`
	PerSecond   float64       `long:"per-second" description:"weights: loads a second; 0 is unlimited"`
	Reads       float64       `long:"reads" description:"kv: reads a second; 0 is unlimited"`
	Slots       int           `long:"slots" default:"8" description:"engine: adapters that fit"`
	Step        time.Duration `long:"step" default:"5ms" description:"engine: time of a step"`
	WeightStore string        `long:"weight-store" value-name:"URL" description:"engine: where weights come from"`
	Work        time.Duration `long:"work" default:"5ms" description:"service: time of a call"`
	Writes      float64       `long:"writes" description:"kv: writes a second; 0 is unlimited"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(&o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(o *options) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler(ctx, o)}
	slog.New(slog.NewJSONHandler(os.Stderr, nil)).Info("standin started", "kind", o.Kind, "http", listener.Addr().String())
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}

func handler(ctx context.Context, o *options) http.Handler {
	switch o.Kind {
	case "boxlist":
		return standin.NewBoxList(o.Lag)
	case "engine":
		return standin.NewEngine(ctx, standin.EngineOptions{
			UpstreamNotices: platform.UpstreamNotices{},
			ChecksToken:   o.ChecksToken,
			MaxBatch:      o.MaxBatch,
			Slots:         o.Slots,
			Step:          o.Step,
			WeightStore:   o.WeightStore,
		})
	case "kv":
		return standin.NewKV(standin.KVLimits{Reads: o.Reads, Writes: o.Writes})
	case "service":
		return standin.NewPlainService(o.Work, platform.UpstreamNotices{})
	}
	return standin.NewWeightStore(standin.WeightLimits{Load: o.Load, Parallel: o.Parallel, PerSecond: o.PerSecond})
}
