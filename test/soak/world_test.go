package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/camphorlever/camphorlever/platform"
	"github.com/camphorlever/camphorlever/platform/standin"
)

// What a deployment of the soak promises, as its settings file says it.
const (
	settle        = 3 * time.Second // after a disruption, until bounds hold again
	drainTimeout  = 2 * time.Second
	settingsBound = 2 * time.Second
	grace         = 3 * time.Second
)

const (
	routerCount = 3
	workerCount = 4
	// allRouters stands for every router in a disruption.
	allRouters = -1
)

var worldCount atomic.Int64

// world is one deployment: routers as processes, the log and the workers as
// stand-ins, and proxies between them.
type world struct {
	dir     string
	binary  string
	network string // first three numbers of the routers' addresses
	began   time.Time
	store   *standin.LogServer
	routers []*router
	notes   *notes
	deadly  atomic.Bool // callers send the deadly prompt part
	uploads atomic.Bool // callers send long bodies

	mu       sync.Mutex // guards all below
	workers  []*worker
	next     int // number of the next worker
	sequence int // of entries of workers
	version  int
	keys     [accountCount]int // generation of each account's key
	prepaid  [accountCount]int64

	work conc.WaitGroup
}

// worker is a backend server with the proxy through which it is reached.
type worker struct {
	service string
	way     *proxy
	gone    bool // it leaves or has crashed; the world's lock guards it

	mu                     sync.Mutex // guards all below
	*standin.BackendServer            // set once
	grey                   string
}

// router is a router on a VM of its own, over all its lives.
type router struct {
	vm    standin.VM
	toLog *proxy
	world *world

	starting sync.Mutex // held while it is decided whether a life is to begin

	mu      sync.Mutex // guards all below
	cmd     *exec.Cmd
	over    chan struct{}
	wanted  bool // an end now would be its own
	stopped bool // by a signal, for a while
}

func newWorld(dir, binary string) (*world, error) {
	w := &world{
		dir: dir, binary: binary, store: standin.NewLogServer(), notes: newNotes(), version: 1,
		network: fmt.Sprintf("127.%d.%d", 10+os.Getpid()%200, worldCount.Add(1)%250),
	}
	for i := range w.prepaid {
		w.prepaid[i] = accounts[i].prepaid
	}
	w.publish()
	for range workerCount {
		if err := w.addWorker("svc"); err != nil {
			return nil, err
		}
	}
	if err := w.addWorker("other"); err != nil {
		return nil, err
	}
	for i := range routerCount {
		toLog, err := newProxy(w.store.Address())
		if err != nil {
			return nil, err
		}
		r := &router{toLog: toLog, world: w, vm: standin.VM{
			Node: fmt.Sprintf("router-%d", i), IP: fmt.Sprintf("%s.%d", w.network, 10+i), LogAddress: w.store.Address(),
			SettingsApplyTimeout: settingsBound, DrainTimeout: drainTimeout, GracePeriod: grace, SettleWindow: settle,
		}}
		w.routers = append(w.routers, r)
		if err := r.configure(); err != nil {
			return nil, err
		}
		if err := r.start(); err != nil {
			return nil, err
		}
	}
	return w, w.await(10*time.Second, func() bool {
		for _, r := range w.routers {
			if !r.ready() {
				return false
			}
		}
		return true
	})
}

func (w *world) await(limit time.Duration, done func() bool) error {
	for end := time.Now().Add(limit); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return errors.New("routers are not ready")
		}
	}
	return nil
}

// publish writes a version of the operators' settings.
func (w *world) publish() {
	w.store.AppendKeyed(platform.StreamOperator, platform.KeySettings, settingsOf(w.version, w.prepaid, w.keys).JSON())
}

// change publishes a new version.
func (w *world) change(edit func()) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	edit()
	w.version += 3
	w.publish()
	return time.Now()
}

func (w *world) addWorker(service string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	added := &worker{service: service}
	server, err := standin.NewBackendServer(fmt.Sprintf("i-%d", w.next), w.network+".100:0", func(conn net.Conn, r *http.Request, _ int) {
		added.answer(w.notes, conn, r, func(attempt string) { w.crashFor(added, attempt) })
	})
	if err != nil {
		return err
	}
	server.OnHead(func(conn net.Conn, r *http.Request) bool { return added.answerEarly(w.notes, conn, r) })
	w.next++
	added.mu.Lock()
	added.BackendServer = server
	added.mu.Unlock()
	if added.way, err = newProxy(server.Address); err != nil {
		return err
	}
	w.workers = append(w.workers, added)
	w.enter(added, standin.Ready)
	return nil
}

// enter writes a worker's entry. The lock is held.
func (w *world) enter(of *worker, state standin.State) {
	w.sequence++
	w.store.AppendKeyed(platform.StreamServers, of.ID, of.Entry(of.way.address(), of.service, state, w.sequence))
}

// worker returns one of the workers of the service that callers use. It waits while all are
// being replaced at the same time (seed 36119).
func (w *world) worker(n int) *worker {
	for {
		if serving := w.servingWorkers(); len(serving) > 0 {
			return serving[n%len(serving)]
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (w *world) servingWorkers() []*worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	var serving []*worker
	for _, each := range w.workers {
		if each.service == "svc" && !each.gone {
			serving = append(serving, each)
		}
	}
	return serving
}

func (w *world) close() {
	for _, r := range w.routers {
		r.kill()
		r.toLog.close()
	}
	w.work.Wait()
	for _, each := range w.workers {
		each.Close()
		each.way.close()
	}
	w.store.Close()
}

// configure writes the settings file.
func (r *router) configure() error {
	return errors.Wrap(os.WriteFile(r.settings(), []byte(r.vm.SettingsFile()), 0o644), "settings file")
}

func (r *router) settings() string { return filepath.Join(r.world.dir, r.vm.Node+".toml") }

// start begins a life of the router.
func (r *router) start() error {
	out, err := os.OpenFile(filepath.Join(r.world.dir, r.vm.Node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "log of a router")
	}
	defer out.Close()
	cmd := exec.Command(r.world.binary, "--settings", r.settings(), "--log-via", r.toLog.address())
	cmd.Stdout, cmd.Stderr = out, out
	// No process outlives a test program that ends without its clean-up.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, r.vm.Node)
	}
	over := make(chan struct{})
	r.cmd, r.over, r.wanted, r.stopped = cmd, over, true, false
	r.world.work.Go(func() {
		err := cmd.Wait()
		r.mu.Lock()
		own := r.cmd == cmd && r.wanted
		r.mu.Unlock()
		if own {
			r.world.notes.broken("%s ended by itself: %v", r.vm.Node, err)
		}
		close(over)
	})
	return nil
}

// signal sends a signal to the life that runs, if there is one.
func (r *router) signal(s syscall.Signal, ends bool) (over chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ends {
		r.wanted = false
	}
	select {
	case <-r.over: // the pid may be another's by now
	default:
		_ = r.cmd.Process.Signal(s) // it may have ended this moment
	}
	return r.over
}

func (r *router) kill() { <-r.signal(syscall.SIGKILL, true) }

// stop ends a life in order; one that takes longer than it may breaks a promise.
func (r *router) stop() {
	over := r.signal(syscall.SIGTERM, true)
	r.signal(syscall.SIGCONT, false)
	select {
	case <-over:
	case <-time.After(grace):
		r.world.notes.broken("%s did not stop within %v", r.vm.Node, grace)
		r.kill()
	}
}

var probes = &http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

func (r *router) ready() bool {
	reply, err := probes.Get("http://" + r.vm.ReadyAddress() + platform.PathReady)
	if err != nil {
		return false
	}
	_ = reply.Body.Close() // only the status counts
	return reply.StatusCode == http.StatusOK
}
