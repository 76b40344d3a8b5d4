package side

import (
	"context"
	"time"

	"github.com/camphorlever/camphorlever/internal/vmlist"
)

const (
	leavingInterval = time.Second
	leaveRetry      = time.Second
	// readersTimeout bounds the wait for routers that still read answers of
	// runs which are over.
	readersTimeout    = 30 * time.Second
	deregisterTimeout = 10 * time.Second
)

// Leave implements Leaver: from now on no new key starts here. Runs in
// progress go on, and the process serves their answers until it is stopped.
func (p *Process) Leave(reason string) {
	p.leave.Do(func() {
		p.gate.Leave()
		p.settler.Urgent() // for good
		p.log.Info().Str("reason", reason).Int("running", p.gate.Running()).Msg("leaving")
		close(p.announced)
		p.work.Go(p.announce)
	})
}

// announce writes the Leave record, so that routers need not ask to know.
func (p *Process) announce() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p.work.Go(func() {
		select {
		case <-p.stopped:
			cancel()
		case <-ctx.Done():
		}
	})
	for ctx.Err() == nil {
		if p.node.Leave(ctx) == nil {
			return
		}
		pauseFor(ctx, leaveRetry)
	}
}

// watchLeaving leaves when the VM list or the settings say so. A list that
// cannot be read or does not name the VM says nothing.
func (p *Process) watchLeaving(ctx context.Context) {
	configured := false
	for ctx.Err() == nil {
		if snapshot, err := p.vms.VMs(ctx); err == nil {
			if vm, ok := snapshot.Find(p.options.VM); ok && vm.State == vmlist.Leaving {
				p.Leave("VM list")
			}
		}
		_, listed := p.node.Settings().Servers[p.options.Server]
		if configured && !listed {
			p.Leave("removed from the settings")
		}
		configured = configured || listed
		pauseFor(ctx, leavingInterval)
	}
}

// stop waits for the runs and their settlements, then for the readers, and
// deregisters.
func (p *Process) stop(reason error) error {
	err := p.gate.Drain(context.Background(), func(unsettled int) {
		p.log.Info().Int("running", p.gate.Running()).Int("unsettled", unsettled).Msg("stop waits for runs and settlements")
	})
	if err != nil {
		return err
	}
	p.log.Info().Msg("stop waits for readers of answers")
	ctx, cancel := context.WithTimeout(context.Background(), readersTimeout)
	defer cancel()
	if err := p.server.Shutdown(ctx); err != nil {
		p.log.Warn().Msg("readers were disconnected")
	}
	if reason == nil {
		p.deregister()
	}
	p.abandon()
	p.log.Info().Msg("stopped")
	return reason
}

// deregister repeats until the record was read back: a life that has
// deregistered holds nothing up.
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
			return // others have to decide about it now
		default:
		}
		p.log.Warn().Err(err).Msg("stop waits for the log to deregister")
	}
}

// abandon ends everything that still runs.
func (p *Process) abandon() {
	p.leave.Do(func() {}) // no announcement starts from here on
	close(p.stopped)
	// Requests that are left have been waited for.
	_ = p.server.Close()
	p.node.Abandon()
	p.work.Wait()
}
