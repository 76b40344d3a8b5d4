package side

import (
	"context"
	"time"

	"github.com/camphorlever/camphorlever/internal/vmlist"
)

const (
	removalCheckInterval = time.Second
	leaveRetryDelay      = time.Second
	// readerDrainTimeout bounds the wait for routers that still read answers
	// of finished runs.
	readerDrainTimeout = 30 * time.Second
	deregisterTimeout  = 10 * time.Second
)

// Leave implements Leaver. No new key starts afterwards. Runs in progress
// continue, and the process serves their answers until it is stopped. Calls
// after the first have no effect.
func (p *Process) Leave(reason string) {
	p.leaveOnce.Do(func() {
		p.gate.Leave()
		p.settler.Expedite() // until the process ends
		p.log.Info().Str("reason", reason).Int("running", p.gate.Running()).Msg("leaving")
		close(p.leaving)
		p.workers.Go(p.writeLeaveRecord)
	})
}

// writeLeaveRecord writes the Leave record to the fleet stream, from which
// routers learn that the process is leaving. It retries until it succeeds.
func (p *Process) writeLeaveRecord() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p.workers.Go(func() {
		select {
		case <-p.done:
			cancel()
		case <-ctx.Done():
		}
	})
	for ctx.Err() == nil {
		if p.node.Leave(ctx) == nil {
			return
		}
		sleep(ctx, leaveRetryDelay)
	}
}

// watchForRemoval calls Leave when the VM list marks the VM as leaving, or when
// the backend server is removed from the settings. A list that cannot be read
// or does not contain the VM is ignored.
func (p *Process) watchForRemoval(ctx context.Context) {
	wasListed := false
	for ctx.Err() == nil {
		if snapshot, err := p.vms.VMs(ctx); err == nil {
			if vm, ok := snapshot.Find(p.options.VM); ok && vm.State == vmlist.Leaving {
				p.Leave("VM list")
			}
		}
		_, isListed := p.node.Settings().Servers[p.options.Server]
		if wasListed && !isListed {
			p.Leave("removed from the settings")
		}
		wasListed = wasListed || isListed
		sleep(ctx, removalCheckInterval)
	}
}

// drain waits for runs and their settlements, then for readers, and deregisters
// unless reason is set. It returns reason.
func (p *Process) drain(reason error) error {
	err := p.gate.Drain(context.Background(), func(unsettled int) {
		p.log.Info().Int("running", p.gate.Running()).Int("unsettled", unsettled).Msg("waiting for runs and settlements before stopping")
	})
	if err != nil {
		return err
	}
	p.log.Info().Msg("waiting for readers of answers before stopping")
	ctx, cancel := context.WithTimeout(context.Background(), readerDrainTimeout)
	defer cancel()
	if err := p.server.Shutdown(ctx); err != nil {
		p.log.Warn().Msg("disconnecting the remaining readers of answers")
	}
	if reason == nil {
		p.deregister()
	}
	p.shutDown()
	p.log.Info().Msg("stopped")
	return reason
}

// deregister retries until the record has been read back or the incarnation is
// sealed. Other processes need not seal an incarnation that has deregistered.
func (p *Process) deregister() {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
		err := p.node.Deregister(ctx)
		cancel()
		if err == nil {
			return
		}
		select {
		case <-p.node.Sealed():
			return // the other processes close the incarnation
		default:
		}
		p.log.Warn().Err(err).Msg("deregistration failed; retrying before stopping")
	}
}

// shutDown stops the server, the node and the controllers, and waits for them.
func (p *Process) shutDown() {
	p.leaveOnce.Do(func() {}) // a later Leave starts no goroutine
	close(p.done)
	// drain has already waited for the requests that are still open.
	_ = p.server.Close()
	p.node.Abandon()
	p.workers.Wait()
}
