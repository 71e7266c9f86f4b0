package systest

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"

	"sandbarrow.example/sandbarrow/wire"
)

// cpuTime returns the processor time that a process has used.
func cpuTime(t testing.TB, pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	assert.NilError(t, err)
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+2:]))
	var user, system int64
	_, err = fmt.Sscan(fields[11]+" "+fields[12], &user, &system)
	assert.NilError(t, err)
	const ticksPerSecond = 100
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	read, written int
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read += n
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += n
	return n, err
}

func BenchmarkConnectionSlope(b *testing.B) {
	for _, n := range []int{50, 200, 400} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			opts := defaultOptions()
			opts.engines, opts.entries = 1, 0
			opts.leaseTTL = 6 * time.Second
			s := startSystem(b, opts)
			p := s.members[0].process
			address := p.logField(b, "agent started", "rpc")
			const idle = 5 * time.Second
			for b.Loop() {
				time.Sleep(time.Second)
				alone := cpuTime(b, p.cmd.Process.Pid)
				time.Sleep(idle)
				alone = cpuTime(b, p.cmd.Process.Pid) - alone
				b.ReportMetric(residentMB(b, p.cmd.Process.Pid), "MB-alone")
				before := residentMB(b, p.cmd.Process.Pid)
				conns := openIdleConnections(b, address, n)
				time.Sleep(time.Second)
				start, read, written := cpuTime(b, p.cmd.Process.Pid), totalBytes(conns).read, totalBytes(conns).written
				time.Sleep(idle)
				used := cpuTime(b, p.cmd.Process.Pid) - start - alone
				after := totalBytes(conns)
				b.ReportMetric((residentMB(b, p.cmd.Process.Pid)-before)*1024/float64(n), "KB/entry")
				b.ReportMetric(float64(used.Microseconds())/float64(n)/idle.Seconds(), "cpu-µs/s/entry")
				b.ReportMetric(float64(alone.Microseconds())/idle.Seconds(), "cpu-µs/s-alone")
				b.ReportMetric(float64(after.read-read)/float64(n)/idle.Seconds(), "bytes-out/s/entry")
				b.ReportMetric(float64(after.written-written)/float64(n)/idle.Seconds(), "bytes-in/s/entry")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// openIdleConnections opens the control connections of n entries that send only watermarks.
func openIdleConnections(b *testing.B, address string, n int) []*countingConn {
	conns := make([]*countingConn, n)
	for i := range conns {
		conn, err := net.Dial("tcp", address)
		assert.NilError(b, err)
		conns[i] = &countingConn{Conn: conn}
		rpc := jsonrpc2.NewConn(context.Background(), wire.NewStream(conns[i]), wire.Handler(
			func(context.Context, *jsonrpc2.Request) (any, error) { return nil, nil }))
		b.Cleanup(func() { _ = rpc.Close() })
		var reply wire.HelloReply
		assert.NilError(b, rpc.Call(context.Background(), wire.MethodHello, wire.Hello{Protocol: wire.Protocol}, &reply))
		go func() {
			for rpc.Notify(context.Background(), wire.MethodWatermark, reply.Status.Config) == nil {
				time.Sleep(wire.IdleHeartbeatInterval)
			}
		}()
	}
	return conns
}

func totalBytes(conns []*countingConn) countingConn {
	var total countingConn
	for _, c := range conns {
		total.read += c.read
		total.written += c.written
	}
	return total
}
