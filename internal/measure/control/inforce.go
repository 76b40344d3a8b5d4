package control

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/measure"
	"github.com/camphorlever/camphorlever/internal/node"
	"github.com/camphorlever/camphorlever/internal/record"
	"github.com/camphorlever/camphorlever/internal/settings"
)

// Changes of settings that are timed, with a log that answers promptly and with
// one that takes slowDelay for each call.
const (
	changesMeasured     = 40
	slowChangesMeasured = 10
	slowDelay           = 500 * time.Millisecond
)

// measureInForce times changes from the operator's submission to the moment at
// which the last process has them in force.
func measureInForce(ctx context.Context, emit measure.Emit, d deployment) error {
	c, err := startCluster(ctx, d)
	if err != nil {
		return err
	}
	defer c.stop()
	name := "settings.in_force_ms." + d.name
	emit(name+".processes", float64(len(c.nodes)), "processes")
	base, err := c.timeChanges(ctx, emit, name, changesMeasured, ident.NoOffset)
	if err != nil {
		return err
	}
	c.log.SetDelay(slowDelay)
	_, err = c.timeChanges(ctx, emit, name+".slow_log", slowChangesMeasured, base)
	return err
}

// timeChanges makes changes one after the other and returns the last version.
func (c *cluster) timeChanges(ctx context.Context, emit measure.Emit, name string, changes int, base ident.Offset) (ident.Offset, error) {
	var times []time.Duration
	for i := range changes {
		began := time.Now()
		version, err := c.change(ctx, i, base)
		if err != nil {
			return base, err
		}
		if err := c.awaitVersion(ctx, version); err != nil {
			return base, err
		}
		times = append(times, time.Since(began))
		base = version
	}
	slices.Sort(times)
	emit(name+".p50", milliseconds(times[len(times)/2]), "ms")
	emit(name+".max", milliseconds(times[len(times)-1]), "ms")
	return base, nil
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

func (c *cluster) change(ctx context.Context, i int, base ident.Offset) (ident.Offset, error) {
	r, err := record.New(settings.KindChange, settings.Change{
		ID:     ident.NewNonce().String(),
		Path:   "teams/a",
		Base:   base,
		Author: settings.Bootstrap,
		Value:  fmt.Appendf(nil, `{"name":"change %d","models":["reader"],"weight":2}`, i),
	})
	if err != nil {
		return 0, err
	}
	verdicts, err := c.nodes[i%len(c.routers)].SubmitSettings(ctx, r)
	if err != nil {
		return 0, err
	}
	if verdicts[0].Outcome != settings.Accepted {
		return 0, errors.Errorf("change %d had outcome %d", i, verdicts[0].Outcome)
	}
	return verdicts[0].Version, nil
}

// awaitVersion returns once every node has a version in force.
func (c *cluster) awaitVersion(ctx context.Context, version ident.Offset) error {
	var work conc.WaitGroup
	var mu sync.Mutex // guards failed
	var failed error
	for _, n := range c.nodes {
		work.Go(func() {
			if err := inForce(ctx, n, version); err != nil {
				mu.Lock()
				failed = err
				mu.Unlock()
			}
		})
	}
	work.Wait()
	return failed
}

// inForce waits until what the node's parts read is at least a version. It
// gives the node no hint that there is one.
func inForce(ctx context.Context, n *node.Node, version ident.Offset) error {
	for {
		changed := n.Changed()
		if n.Settings().Offset >= version {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
