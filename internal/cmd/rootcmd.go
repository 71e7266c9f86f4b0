// Package cmd implements the commands of the sandbarrow binary, one file per command.
package cmd

import (
	"context"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"
)

// The exit codes of the binary.
const (
	exitOK         = 0
	exitFailed     = 1
	exitUsage      = 2
	exitSuperseded = 3
	exitConflict   = 4
	exitRefused    = 5
	exitUnknown    = 6
)

// exitError is an error with an exit code.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the wrapped error.
func (e *exitError) Error() string { return e.err.Error() }

// output holds the streams that commands write to.
type output struct {
	stderr io.Writer
	stdout io.Writer
}

// Main runs one command and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := notifyContext()
	defer stop()
	out := &output{stderr: stderr, stdout: stdout}
	_, err := newParser(ctx, out).ParseArgs(args)
	return exitCode(out, err)
}

func exitCode(out *output, err error) int {
	var usage *flags.Error
	var exit *exitError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(out.stdout, usage.Message)
		return exitOK
	case errors.As(err, &usage):
		fmt.Fprintln(out.stderr, usage.Message)
		return exitUsage
	case errors.As(err, &exit):
		fmt.Fprintln(out.stderr, exit.Error())
		return exit.code
	}
	fmt.Fprintln(out.stderr, err.Error())
	return exitFailed
}

func newParser(ctx context.Context, out *output) *flags.Parser {
	p := flags.NewNamedParser("sandbarrow", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "serve very many LoRA adapters on a few shared base models"
	add := func(c interface {
		AddCommand(string, string, string, any) (*flags.Command, error)
	}, name, short string, data any) *flags.Command {
		command, err := c.AddCommand(name, short, short+".", data)
		if err != nil {
			panic(err) // the struct tags of a command are not valid; every test would fail
		}
		return command
	}
	add(p, "agent", "run the process beside an upstream", &agentCmd{ctx: ctx, out: out})
	config := add(p, "config", "check, apply and show the operators' configuration", &struct{}{})
	add(config, "apply", "make a file the configuration", &configApplyCmd{ctx: ctx, out: out})
	add(config, "check", "check a configuration file", &configCheckCmd{out: out})
	add(config, "history", "list the accepted changes", &configHistoryCmd{ctx: ctx, out: out})
	add(config, "show", "print the configuration in force", &configShowCmd{ctx: ctx, out: out})
	add(p, "controller", "run the process that owns the slots of an engine", &controllerCmd{ctx: ctx, out: out})
	add(p, "demo", "run everything in one process, with stand-ins", &demoCmd{ctx: ctx, out: out})
	add(p, "entry", "run the process between callers and agents", &entryCmd{ctx: ctx, out: out})
	add(p, "explain", "tell the story of a request from logs", &explainCmd{out: out})
	add(p, "gateway", "run the process between callers and upstreams", &gatewayCmd{ctx: ctx, out: out})
	add(p, "report", "report how fast the error budgets burn", &reportCmd{ctx: ctx, out: out})
	settings := add(p, "settings", "check the settings of a process", &struct{}{})
	add(settings, "check", "check a settings file", &settingsCheckCmd{out: out})
	return p
}
