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

// cluster is a log, a VM list and the nodes that use them, in one synctest
// bubble.
type cluster struct {
	t     *testing.T
	log   *memlog.Log
	vms   *vmlist.Memory
	mu    sync.Mutex // guards nodes and ended
	nodes map[string]*Node
	ended map[*Node]bool
}

// withCluster runs a test in a synctest bubble and stops the remaining nodes
// afterwards.
func withCluster(t *testing.T, test func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, log: memlog.New(), vms: vmlist.NewMemory(), nodes: map[string]*Node{}, ended: map[*Node]bool{}}
		defer c.stopAll()
		test(t, c)
	})
}

func (c *cluster) stopAll() {
	for _, n := range c.nodes {
		if !c.ended[n] {
			n.Abandon()
		}
	}
}

// newNode creates a node, which is not started, on a VM of its own.
func (c *cluster) newNode(role fleet.Role, name string, barriers ...SealBarrier) *Node {
	vm := ident.VMID("vm-" + name)
	c.vms.Put(vmlist.VM{ID: vm, DataCentre: "dc", State: vmlist.Live})
	n := New(Options{
		Role:         role,
		VM:           vm,
		DataCentre:   "dc",
		Address:      name,
		Server:       ident.ServerID(name),
		LedgerShards: 2,
		Peers:        []string{"r1", "r2"},
		Dial:         func(address, _ string) rpc.Caller { return memoryCaller{cluster: c, address: address} },
	}, c.log, c.vms, zerolog.Nop())
	for _, barrier := range barriers {
		n.AddSealBarrier(barrier)
	}
	c.mu.Lock()
	c.nodes[name] = n
	c.mu.Unlock()
	return n
}

func (c *cluster) start(role fleet.Role, name string, barriers ...SealBarrier) *Node {
	n := c.newNode(role, name, barriers...)
	require.NoError(c.t, n.Start(withTimeout(c.t, 30*time.Second)))
	return n
}

// crashAndDeleteVM stops a node without deregistering it and deletes its VM from
// the list.
func (c *cluster) crashAndDeleteVM(n *Node) {
	c.crash(n)
	c.vms.Delete(n.options.VM)
}

func (c *cluster) crash(n *Node) {
	n.Abandon()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended[n] = true
}

func withTimeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// memoryCaller calls the net/rpc methods of a node in memory.
type memoryCaller struct {
	cluster *cluster
	address string
}

func (c memoryCaller) Call(_ context.Context, method string, args, reply any) error {
	c.cluster.mu.Lock()
	n := c.cluster.nodes[c.address]
	ended := c.cluster.ended[n]
	c.cluster.mu.Unlock()
	if n == nil || ended {
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

func (memoryCaller) Close() error { return nil }

func changeRecord(t *testing.T, id string, path settings.Path, base ident.Offset, author ident.OperatorID, value string) record.Record {
	r, err := record.New(settings.KindChange, settings.Change{ID: id, Path: path, Base: base, Author: author, Value: []byte(value)})
	require.NoError(t, err)
	return r
}

// eventually waits in fake time until a condition holds.
func eventually(t *testing.T, limit time.Duration, condition func() bool, description string) {
	t.Helper()
	for waited := time.Duration(0); waited < limit; waited += 100 * time.Millisecond {
		if condition() {
			return
		}
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
	}
	t.Fatalf("condition not met within %v: %s", limit, description)
}
