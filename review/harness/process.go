//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// gatewayProcess is one gateway of the project, started with the command of the deploy file.
type gatewayProcess struct {
	front, ready, peer string
	command            *exec.Cmd
}

// gatewaySettings are the settings that differ between cases, in the form of deploy/gateway.json.
type gatewaySettings struct {
	drainMS    int
	retrySlack int
	regions    map[string]string
	// stores and controllerPorts are those of each gateway in turn; the last one holds for the rest.
	stores          []string
	controllerPorts []string
	// alone is how many of the gateways, the first ones, can't reach a peer: those in their settings are
	// themselves and addresses at which nobody answers.
	alone int
}

// seeds is how many machines the settings of each name at most.
const seeds = 3

// freeAddress returns a loopback address that nobody uses. Its port is below those that the system gives to
// outgoing connections, and is returned once only.
func freeAddress() string {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(18000))
		l, err := net.Listen("tcp", address)
		if err != nil || given[address] {
			continue
		}
		_ = l.Close()
		given[address] = true
		return address
	}
	cannotRun("no free port")
	return ""
}

// given holds the addresses that freeAddress has returned.
var given = map[string]bool{}

// startGateways starts gateways that know each other as peers, each in a zone in turn.
func startGateways(dir string, zones []string, count int, s gatewaySettings) []*gatewayProcess {
	var list []*gatewayProcess
	var peers []string
	for range count {
		g := &gatewayProcess{front: freeAddress(), ready: freeAddress(), peer: freeAddress()}
		list = append(list, g)
		peers = append(peers, strconv.Quote(g.peer))
	}
	var regions []string
	for zone, region := range s.regions {
		regions = append(regions, fmt.Sprintf("%q: %q", zone, region))
	}
	for i, g := range list {
		known := peers[s.alone:min(len(peers), s.alone+seeds)]
		if i < s.alone {
			known = []string{peers[i], strconv.Quote(freeAddress()), strconv.Quote(freeAddress())}
		}
		text := fmt.Sprintf(`{
  "box": {"id": "front-%d", "failure_domain": %q},
  "listen": {"http": %q, "peer": %q, "metrics": %q, "ready": %q},
  "log": {"level": "info"},
  "platform": {"store": "http://%s"},
  "gateway": {"controller_port": %s, "leave_bound": "%dms", "max_descriptors": 4100, "memory_mb": 284,
    "peers": [%s], "regions": {%s}, "retry_share": 0.2, "retry_slack": %d, "stop_grace": "8s"},
}`, i+1, zones[i%len(zones)], g.front, g.peer, freeAddress(), g.ready,
			nth(s.stores, i), nth(s.controllerPorts, i), s.drainMS, strings.Join(known, ", "), strings.Join(regions, ", "), s.retrySlack)
		g.command = startProgram(dir, fmt.Sprintf("gateway-%d", i+1), text, "gateway")
	}
	return list
}

// nth returns the element of a list at an index, or the last one.
func nth(list []string, i int) string { return list[min(i, len(list)-1)] }

// startProgram starts the project's program with its settings in a file.
func startProgram(dir, name, settings string, arguments ...string) *exec.Cmd {
	file := filepath.Join(dir, name+".json")
	check(os.WriteFile(file, []byte(settings), 0o600))
	log, err := os.Create(filepath.Join(dir, name+".log"))
	check(err)
	c := exec.Command(os.Getenv("SANDBARROW"), arguments...)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "SANDBARROW_SETTINGS=" + file}
	c.Stdout, c.Stderr = log, log
	check(c.Start())
	started = append(started, c)
	return c
}

// started holds the processes to end.
var started []*exec.Cmd

func endAll() {
	for _, c := range started {
		_ = c.Process.Kill()
		_, _ = c.Process.Wait()
	}
}

// awaitReady waits until all gateways are ready.
func awaitReady(list []*gatewayProcess) {
	until := time.Now().Add(15 * time.Second)
	for _, g := range list {
		for {
			r, err := http.Get("http://" + g.ready + "/ready")
			if err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				cannotRun("a gateway is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
