package peers

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/rpc"
	"github.com/camphorlever/camphorlever/internal/watch"
	"github.com/camphorlever/camphorlever/internal/wire"
)

// snapshotRouter is a router that has a snapshot once it has loaded one.
type snapshotRouter struct {
	client   *Client
	snapshot atomic.Pointer[watch.Snapshot]
}

func (r *snapshotRouter) Snapshots(logservice.Stream) (watch.Snapshot, bool, error) {
	if s := r.snapshot.Load(); s != nil {
		return *s, true, nil
	}
	return watch.Snapshot{}, false, nil
}

// startSnapshotRouters starts routers in data centres of the given sizes.
func startSnapshotRouters(t *testing.T, sizes ...int) []*snapshotRouter {
	var routers []*snapshotRouter
	var members []Member
	for dc, size := range sizes {
		for i := range size {
			r := &snapshotRouter{}
			control := rpc.NewServer("key")
			require.NoError(t, control.Register(Service, NewMethods(&countingLender{}, r.Snapshots, nil)))
			mux := http.NewServeMux()
			mux.Handle(wire.PathRPC, control)
			server := httptest.NewServer(mux)
			t.Cleanup(server.CloseClientConnections)
			routers = append(routers, r)
			members = append(members, Member{Node: fmt.Sprintf("dc%d-%d", dc, i), DataCentre: fmt.Sprint(dc), Address: strings.TrimPrefix(server.URL, "http://")})
		}
	}
	for i, r := range routers {
		peerSet := NewPeerSet(members[i], "routers", zerolog.Nop())
		peerSet.Reset(entriesOf(t, members))
		r.client = NewClient(peerSet, "key")
	}
	return routers
}

func entriesOf(t *testing.T, members []Member) []logservice.KeyedEntry {
	var entries []logservice.KeyedEntry
	for _, m := range members {
		raw, err := msgpack.Marshal(&m)
		require.NoError(t, err)
		entries = append(entries, logservice.KeyedEntry{Key: m.Node, Value: raw})
	}
	return entries
}

// TestFewRoutersReadTheLogWhenAllStart: 48 routers in three data centres start at the
// same time. Two of each data centre read the log, the others get its entries from
// them and from each other.
func TestFewRoutersReadTheLogWhenAllStart(t *testing.T) {
	routers := startSnapshotRouters(t, 16, 16, 16)
	var reads atomic.Int64
	var starts conc.WaitGroup
	begun := time.Now()
	for _, r := range routers {
		starts.Go(func() {
			snapshot, found := r.client.Fetch(context.Background(), "servers")
			if !found {
				reads.Add(1)
				time.Sleep(100 * time.Millisecond) // the log is slow while many read it
				snapshot = watch.Snapshot{Position: logservice.Position{Offset: 7}, Data: []byte("entries")}
			}
			r.snapshot.Store(&snapshot)
		})
	}
	starts.Wait()
	require.LessOrEqual(t, reads.Load(), int64(3*snapshotLoaders))
	require.Less(t, time.Since(begun), minSnapshotWait)
	for _, r := range routers {
		require.EqualValues(t, 7, r.snapshot.Load().Position.Offset)
	}
}

// TestRestartedRouterGetsSnapshotFromNeighbour: also a router that would read the log
// when all start asks first.
func TestRestartedRouterGetsSnapshotFromNeighbour(t *testing.T) {
	routers := startSnapshotRouters(t, 4)
	for _, r := range routers[1:] {
		r.snapshot.Store(&watch.Snapshot{Position: logservice.Position{Offset: 9}})
	}
	snapshot, found := routers[0].client.Fetch(context.Background(), "servers")
	require.True(t, found)
	require.EqualValues(t, 9, snapshot.Position.Offset)
}

// TestRouterAloneReadsTheLog: a router without others in its data centre does not
// wait for any.
func TestRouterAloneReadsTheLog(t *testing.T) {
	routers := startSnapshotRouters(t, 1, 3)
	begun := time.Now()
	_, found := routers[0].client.Fetch(context.Background(), "servers")
	require.False(t, found)
	require.Less(t, time.Since(begun), time.Second)
}

// TestWaitForSnapshotIsBounded: the routers that should read the log never get an
// answer from it.
func TestWaitForSnapshotIsBounded(t *testing.T) {
	routers := startSnapshotRouters(t, 5)
	var waits conc.WaitGroup
	for _, r := range routers {
		waits.Go(func() {
			begun := time.Now()
			_, found := r.client.Fetch(context.Background(), "servers")
			require.False(t, found)
			require.Less(t, time.Since(begun), maxSnapshotWait+snapshotTimeout)
		})
	}
	waits.Wait()
}
