package peers

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// SettingsSource returns the value of the settings in force if their version is newer
// than the given one, nil otherwise.
type SettingsSource func(version int64) []byte

// settingsTimeout bounds one request for newer settings. A router that starts waits for it.
const settingsTimeout = 300 * time.Millisecond

// SettingsArgs asks for settings that are newer than a version.
type SettingsArgs struct{ Version int64 }

// SettingsReply holds newer settings; none if Value is empty.
type SettingsReply struct{ Value []byte }

// ServeSettings has the methods return the settings of source. It must be called before
// the methods are served.
func (m *Methods) ServeSettings(source SettingsSource) { m.settings = source }

// Settings returns this router's settings if they are newer than the caller's.
func (m *Methods) Settings(args *SettingsArgs, reply *SettingsReply) error {
	return contained(func() error {
		if m.settings != nil {
			reply.Value = m.settings(args.Version)
		}
		return nil
	})
}

// NewerSettings asks a number of other routers, chosen at random, for settings that are newer
// than a version, and calls receive with each, one at a time.
func (c *Client) NewerSettings(ctx context.Context, version int64, count int, receive func(value []byte)) {
	others := c.peerSet.Others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	names := make([]string, 0, count)
	for _, m := range others[:min(len(others), count)] {
		names = append(names, m.Node)
	}
	ctx, cancel := context.WithTimeout(ctx, settingsTimeout)
	defer cancel()
	var calls conc.WaitGroup
	var mu sync.Mutex // serializes the calls of receive
	for _, peer := range c.named(names) {
		calls.Go(func() {
			var reply SettingsReply
			if peer.client.Call(ctx, Service+".Settings", &SettingsArgs{Version: version}, &reply) != nil || len(reply.Value) == 0 {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			receive(reply.Value)
		})
	}
	calls.Wait()
}
