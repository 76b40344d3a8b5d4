package node

import (
	"context"
	"errors"
	"fmt"
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
	mu    sync.Mutex // guards nodes
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
func (w *world) add(role fleet.Role, name string, witnesses ...Witness) *Node {
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
		n.AddWitness(witness)
	}
	w.mu.Lock()
	w.nodes[name] = n
	w.mu.Unlock()
	return n
}

func (w *world) start(role fleet.Role, name string, witnesses ...Witness) *Node {
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
	c.w.mu.Unlock()
	if n == nil {
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

func TestNodesRegisterAndShareSettings(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		r1 := w.start(fleet.RoleRouter, "r1")
		s1 := w.start(fleet.RoleSide, "s1")
		require.NoError(t, r1.Ready())
		require.NoError(t, s1.Ready())
		verdicts, err := r1.SubmitSettings(within(t, time.Second),
			changeRecord(t, "c1", "models/m", ident.NoOffset, settings.Bootstrap, `{"version":"1"}`))
		require.NoError(t, err)
		require.Equal(t, settings.Accepted, verdicts[0].Outcome)
		require.NoError(t, s1.CatchUp(within(t, time.Second), r1.Offsets()))
		require.Equal(t, "1", s1.Settings().Models["m"].Version)
		require.Len(t, s1.Members().Routers, 1)
		require.NoError(t, s1.Stop(within(t, time.Second)))
		w.ended[s1] = true
		require.NoError(t, r1.CatchUp(within(t, time.Second), wire.Offsets{Fleet: 2}))
		require.True(t, r1.Members().Closed(s1.Incarnation()), fmt.Sprint(r1.Members()))
	})
}

// releases is a witness that agrees once it is told to.
type releases chan struct{}

func (r releases) Release(ctx context.Context, _ ident.Incarnation) error {
	select {
	case <-r:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func TestGoneVMIsSealedAndClosedOnlyAfterAcknowledgements(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		agree := make(releases)
		r1 := w.start(fleet.RoleRouter, "r1")
		r2 := w.start(fleet.RoleRouter, "r2")
		s1 := w.start(fleet.RoleSide, "s1", agree)
		time.Sleep(5 * time.Second) // the list is seen with all VMs
		gone := r2.Incarnation()
		w.kill(r2)
		eventually(t, time.Minute, func() bool { return s1.Members().Sealed(gone) }, "sealed")
		time.Sleep(time.Hour)
		require.False(t, r1.Members().Closed(gone))
		close(agree)
		eventually(t, time.Minute, func() bool { return r1.Members().Closed(gone) }, "closed")
	})
}
