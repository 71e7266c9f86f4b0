//go:build review

// Command harness runs the scripts of the review. It holds the stand-ins for the platform, the runners
// and the clients, and starts the project's own programs as processes.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// The exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var (
	began    = time.Now()
	recordMu sync.Mutex
	record   *os.File
)

// note writes a line to the record of the case.
func note(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(record, "%8.3f  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}

func check(err error) {
	if err != nil {
		cannotRun(err.Error())
	}
}

func cannotRun(why string) {
	if record != nil {
		note("can't run: %s", why)
	}
	fmt.Fprintln(os.Stderr, "can't run:", why)
	endAll()
	os.Exit(exitNotRun)
}

func main() {
	cases := map[string]func(dir string, trouble bool) bool{"coordinators": coordinators, "failback": failback}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(exitNotRun)
	}
	var err error
	record, err = os.Create(filepath.Join(os.Args[2], "record.txt"))
	check(err)
	dir, err := os.MkdirTemp("", "review-")
	check(err)
	time.AfterFunc(110*time.Second, func() { cannotRun("took too long") })
	broken := cases[os.Args[1]](dir, os.Getenv("TROUBLE") != "0")
	endAll()
	_ = os.RemoveAll(dir)
	if broken {
		note("the rule was broken")
		os.Exit(exitBroken)
	}
	note("the rule held")
	os.Exit(exitHeld)
}
