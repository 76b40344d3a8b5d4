// Package e2e runs the real programs as separate processes on loopback and
// breaks them.
package e2e

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	patience = 20 * time.Second // bounds what a passing test never waits for
	poll     = 20 * time.Millisecond
	// Ports below the range that the system gives to clients.
	firstPort, lastPort = 30100, 32700
)

var (
	binaries string
	port     atomic.Int64
)

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

// run builds the programs once.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "camphor-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+"/", "../../cmd/camphor-router", "../../cmd/camphor-side",
		"../../cmd/standin-platform", "../../cmd/standin-engine")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	binaries = dir
	port.Store(int64(firstPort + os.Getpid()%40*50))
	return m.Run()
}

// host is a loopback address of this test program's own: a port that is free now
// could otherwise be taken by another program before it is used.
func host() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&63, pid>>8&255, 1+pid&127)
}

// freePort returns an address on which nothing listens.
func freePort(t *testing.T) string {
	t.Helper()
	// A program that is started meanwhile would hold the listener open for a moment.
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	for range lastPort - firstPort {
		n := firstPort + int(port.Add(1))%(lastPort-firstPort)
		address := host() + ":" + strconv.Itoa(n)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			require.NoError(t, listener.Close())
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// process is one running program.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	log  string
	over chan struct{} // closed when it has ended
	err  error         // of its end; read after over is closed
}

// start runs a program until the end of the test.
func start(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, log: filepath.Join(t.TempDir(), name+".log"), over: make(chan struct{})}
	out, err := os.Create(p.log)
	require.NoError(t, err)
	p.cmd = exec.Command(filepath.Join(binaries, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// No process outlives a test program that ends without its clean-up.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(t, p.cmd.Start())
	go func() {
		p.err = p.cmd.Wait()
		_ = out.Close()
		close(p.over)
	}()
	t.Cleanup(p.end)
	return p
}

// signal sends a signal by pid.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.over: // the pid may be another's by now
	default:
		require.NoError(p.t, p.cmd.Process.Signal(s))
	}
}

// end kills the process if it still runs, and shows its log if the test failed.
func (p *process) end() {
	select {
	case <-p.over:
	default:
		_ = p.cmd.Process.Kill()
		<-p.over
	}
	if p.t.Failed() {
		raw, _ := os.ReadFile(p.log)
		p.t.Logf("log of %s:\n%s", p.name, tail(raw))
	}
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.over:
		return true
	default:
		return false
	}
}

// stop ends the process gracefully and checks its exit status.
func (p *process) stop() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.over:
		require.NoError(p.t, p.err, p.name)
	case <-time.After(patience):
		p.signal(syscall.SIGQUIT) // its stacks go to its log
		<-p.over
		p.t.Fatalf("%s did not stop:\n%s", p.name, p.mainStack())
	}
}

// mainStack returns the stack of the main goroutine from the log.
func (p *process) mainStack() []byte {
	raw, _ := os.ReadFile(p.log)
	_, stack, _ := bytes.Cut(raw, []byte("\ngoroutine 1 "))
	return stack[:min(shownBytes, len(stack))]
}

const shownBytes = 2000

func tail(raw []byte) []byte {
	return raw[max(0, len(raw)-shownBytes):]
}
