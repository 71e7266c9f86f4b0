//go:build review

// Command lab plays the cases of the review that are scripts: it starts the product's programs as
// processes beside stand-ins of the platform, its runners and clients, and checks one rule.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// deadline is the time after which a case is given up.
const deadline = 110 * time.Second

// lab is one play of a case.
type lab struct {
	began   time.Time
	dir     string
	trouble bool
	net     string
	ports   ports
	// proxied makes the gateways reach the controllers through links, which are proxies.
	proxied bool
	links   []*proxy
	store   *store
	runners []*runner

	mu        sync.Mutex
	file      *os.File
	processes []*process
	runs      []run
}

// ports are the ports of the machines, alike on all of them.
type ports struct{ http, ready, peer, metrics, rpc, link, app, store int }

// run is one run of a request at a runner.
type run struct {
	at      time.Time
	id      string
	runner  string
	service string
}

// process is one of the product's programs.
type process struct {
	name string
	cmd  *exec.Cmd
	ip   string
	done chan struct{}
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// newLab makes a play whose record goes to a file. Machines get loopback addresses of their own.
func newLab(record string) *lab {
	dir, err := os.MkdirTemp("", "lab")
	must(err)
	file, err := os.Create(record)
	must(err)
	l := &lab{began: time.Now(), dir: dir, file: file, trouble: os.Getenv("TROUBLE") != "0"}
	l.net = fmt.Sprintf("127.%d.%d.", 20+os.Getpid()%200, time.Now().UnixNano()/1000%250)
	l.ports = ports{http: l.freePort(), ready: l.freePort(), peer: l.freePort(), metrics: l.freePort(), rpc: l.freePort(), link: l.freePort(), app: l.freePort(), store: l.freePort()}
	l.store = newStore(l.at(250, l.ports.store))
	l.record("trouble: %v", l.trouble)
	return l
}

// freePort returns a port that is free on the loopback addresses.
func (l *lab) freePort() int {
	listener, err := net.Listen("tcp", "0.0.0.0:0")
	must(err)
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port
}

// at returns an address of a machine, by its number.
func (l *lab) at(machine, port int) string {
	return fmt.Sprintf("%s%d:%d", l.net, machine, port)
}

// record writes a line with the time since the start.
func (l *lab) record(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.file, "%8.3f  %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

// run records a run of a request at a runner.
func (l *lab) run(r *runner, id, what string) {
	l.mu.Lock()
	l.runs = append(l.runs, run{at: time.Now(), id: id, runner: r.name, service: r.service})
	l.mu.Unlock()
	l.record("runner %s runs %s %s", r.instance(), id, what)
}

// runsOf returns the runs of a request.
func (l *lab) runsOf(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []run
	for _, r := range l.runs {
		if r.id == id {
			list = append(list, r)
		}
	}
	return list
}

// addRunner starts a runner on a machine.
func (l *lab) addRunner(machine int, service string, engine bool) *runner {
	r := &runner{
		lab: l, name: fmt.Sprintf("%s%d", service, machine), address: l.at(machine, l.ports.app), service: service, zone: "zone-a", engine: engine,
		slots: 96, events: 40, firstEvent: 200 * time.Millisecond, eventGap: 40 * time.Millisecond, work: 30 * time.Millisecond,
	}
	if !engine {
		r.slots = 6
	}
	r.start(false)
	r.beat(true)
	l.runners = append(l.runners, r)
	return r
}

// heartbeats writes the runners' entries until the play ends.
func (l *lab) heartbeats() {
	last := time.Time{}
	for range time.Tick(50 * time.Millisecond) {
		due := time.Since(last) >= heartbeat
		if due {
			last = time.Now()
		}
		for _, r := range l.runners {
			r.beat(due)
		}
	}
}

// linkPort returns the port at which gateways reach controllers.
func (l *lab) linkPort() int {
	if l.proxied {
		return l.ports.link
	}
	return l.ports.rpc
}

// startGateway starts a gateway with the fields of the deploy file's template, and more of them.
func (l *lab) startGateway(machine, seeds int, more map[string]any) *process {
	var peers []string
	for i := range seeds {
		peers = append(peers, l.at(1+i, l.ports.peer))
	}
	gateway := map[string]any{
		"controller_port": l.linkPort(), "leave_bound": "2000ms", "max_descriptors": 4100, "memory_mb": 284, "peers": peers,
		"regions": map[string]string{"zone-a": "region-a"}, "retry_share": 0.2, "retry_slack": 58, "stop_grace": "8s",
	}
	for k, v := range more {
		gateway[k] = v
	}
	return l.startProcess("gateway", fmt.Sprintf("front-%d", machine), machine, map[string]any{
		"box": map[string]any{"id": fmt.Sprintf("front-%d", machine), "failure_domain": "zone-a"},
		"listen": map[string]any{
			"http": l.at(machine, l.ports.http), "peer": l.at(machine, l.ports.peer), "metrics": l.at(machine, l.ports.metrics), "ready": l.at(machine, l.ports.ready),
		},
		"log": map[string]any{"level": "info"}, "platform": map[string]any{"store": "http://" + l.store.address}, "gateway": gateway,
	})
}

// startController starts the controller of a runner in the same way.
func (l *lab) startController(r *runner, machine int, more map[string]any) *process {
	controller := map[string]any{"engine": r.address, "service": r.service}
	for k, v := range more {
		controller[k] = v
	}
	return l.startProcess("controller", fmt.Sprintf("side-%d", machine), machine, map[string]any{
		"box":    map[string]any{"id": fmt.Sprintf("side-%d", machine), "failure_domain": "zone-a"},
		"listen": map[string]any{"metrics": l.at(machine, l.ports.metrics), "rpc": l.at(machine, l.ports.rpc)},
		"log":    map[string]any{"level": "info"}, "platform": map[string]any{"store": "http://" + l.store.address}, "controller": controller,
	})
}

// startProcess starts a program with the command of the deploy file.
func (l *lab) startProcess(role, name string, machine int, settings map[string]any) *process {
	text, err := json.MarshalIndent(settings, "", "  ")
	must(err)
	path := filepath.Join(l.dir, name+".json")
	must(os.WriteFile(path, text, 0o600))
	log, err := os.OpenFile(filepath.Join(l.dir, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	must(err)
	cmd := exec.Command("target/sandbarrow", role)
	cmd.Env = append(os.Environ(), "SANDBARROW_SETTINGS="+path)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(startInThread(cmd))
	p := &process{name: name, cmd: cmd, ip: fmt.Sprintf("%s%d", l.net, machine), done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	l.mu.Lock()
	l.processes = append(l.processes, p)
	l.mu.Unlock()
	l.record("process %s starts", name)
	return p
}

// starts holds the commands to start. They are started by one thread that lives as long as this process,
// since a child gets its signal at the end of the thread that started it.
var starts = make(chan func())

func init() {
	go func() {
		runtime.LockOSThread()
		for start := range starts {
			start()
		}
	}()
}

func startInThread(cmd *exec.Cmd) error {
	result := make(chan error, 1)
	starts <- func() { result <- cmd.Start() }
	return <-result
}

// signal sends a signal to a process.
func (l *lab) signal(p *process, s syscall.Signal) {
	l.record("process %s gets %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// awaitReady waits until a gateway says that it is ready.
func (l *lab) awaitReady(p *process) {
	client := http.Client{Timeout: time.Second}
	for range 200 {
		response, err := client.Get(fmt.Sprintf("http://%s:%d/ready", p.ip, l.ports.ready))
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	panic("process " + p.name + " is not ready")
}

// awaitLog waits until a process has logged a text at least n times.
func (l *lab) awaitLog(p *process, text string, n int) {
	for range 200 {
		log, _ := os.ReadFile(filepath.Join(l.dir, p.name+".log"))
		if bytes.Count(log, []byte(text)) >= n {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	panic("process " + p.name + " does not log " + text)
}

// end ends all processes of the play.
func (l *lab) end() {
	for _, p := range l.processes {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	if os.Getenv("LAB_KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Println("logs:", l.dir)
	}
	_ = l.file.Close()
}

// cases are the cases by name. Each returns whether its rule held.
var cases = map[string]func(*lab) bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD")
		os.Exit(exitNotRun)
	}
	l := newLab(os.Args[2])
	code := exitNotRun
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		defer func() {
			if fault := recover(); fault != nil {
				l.record("the case could not run: %v", fault)
				fmt.Fprintln(os.Stderr, fault)
			}
		}()
		if cases[os.Args[1]](l) {
			code = exitHeld
		} else {
			code = exitBroken
		}
	}()
	select {
	case <-finished:
	case <-time.After(deadline):
		l.record("the case took too long")
	}
	result := [...]string{"the rule held", "the rule was broken", "the case could not run"}[code]
	l.record("%s", result)
	fmt.Println(strings.ToUpper(result[:1]) + result[1:])
	l.end()
	os.Exit(code)
}
