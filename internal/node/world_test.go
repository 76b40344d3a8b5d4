package node

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/memlog"
	"github.com/camphorlever/camphorlever/internal/record"
	"github.com/camphorlever/camphorlever/internal/rpc"
	"github.com/camphorlever/camphorlever/internal/settings"
	"github.com/camphorlever/camphorlever/internal/vmlist"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// world is a log, a VM list and the nodes on them, in one bubble of fake time.
type world struct {
	t     *testing.T
	log   *memlog.Log
	vms   *vmlist.Memory
	mu    sync.Mutex // guards nodes and ended
	nodes map[string]*Node
	ended map[*Node]bool
}

// inWorld runs a test in a bubble and stops the nodes that are left.
func inWorld(t *testing.T, test func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, log: memlog.New(), vms: vmlist.NewMemory(), nodes: map[string]*Node{}, ended: map[*Node]bool{}}
		defer w.stop()
		test(t, w)
	})
}

func (w *world) stop() {
	for _, n := range w.nodes {
		if !w.ended[n] {
			n.Abandon()
		}
	}
}

// add makes a node on a VM of its own.
func (w *world) add(role fleet.Role, name string, witnesses ...SealBarrier) *Node {
	vm := ident.VMID("vm-" + name)
	w.vms.Put(vmlist.VM{ID: vm, DataCentre: "dc", State: vmlist.Live})
	n := New(Options{
		Role:         role,
		VM:           vm,
		DataCentre:   "dc",
		Address:      name,
		Server:       ident.ServerID(name),
		LedgerShards: 2,
		Peers:        []string{"r1", "r2"},
		Dial:         func(address, _ string) rpc.Caller { return caller{w: w, address: address} },
	}, w.log, w.vms, zerolog.Nop())
	for _, witness := range witnesses {
		n.AddSealBarrier(witness)
	}
	w.mu.Lock()
	w.nodes[name] = n
	w.mu.Unlock()
	return n
}

func (w *world) start(role fleet.Role, name string, witnesses ...SealBarrier) *Node {
	n := w.add(role, name, witnesses...)
	require.NoError(w.t, n.Start(within(w.t, 30*time.Second)))
	return n
}

// kill ends a node as a crash does, and takes its VM off the list.
func (w *world) kill(n *Node) {
	w.crash(n)
	w.vms.Delete(n.options.VM)
}

func (w *world) crash(n *Node) {
	n.Abandon()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended[n] = true
}

func within(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// caller calls a node's service in memory.
type caller struct {
	w       *world
	address string
}

func (c caller) Call(_ context.Context, method string, args, reply any) error {
	c.w.mu.Lock()
	n := c.w.nodes[c.address]
	gone := c.w.ended[n]
	c.w.mu.Unlock()
	if n == nil || gone {
		return rpc.ErrNotSent
	}
	switch args := args.(type) {
	case *wire.StateArgs:
		return n.Service().State(args, reply.(*wire.StateReply))
	case *wire.PingArgs:
		return n.Service().Ping(args, reply.(*wire.PingReply))
	}
	return errors.New(method)
}

func (caller) Close() error { return nil }

func changeRecord(t *testing.T, id string, path settings.Path, base ident.Offset, author ident.OperatorID, value string) record.Record {
	r, err := record.New(settings.KindChange, settings.Change{ID: id, Path: path, Base: base, Author: author, Value: []byte(value)})
	require.NoError(t, err)
	return r
}

// eventually waits for a condition in fake time.
func eventually(t *testing.T, limit time.Duration, holds func() bool, what string) {
	t.Helper()
	for waited := time.Duration(0); waited < limit; waited += 100 * time.Millisecond {
		if holds() {
			return
		}
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
	}
	t.Fatalf("not within %v: %s", limit, what)
}
