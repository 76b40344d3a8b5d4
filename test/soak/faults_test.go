package soak

import (
	"context"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/camphorlever/camphorlever/platform"
	"github.com/camphorlever/camphorlever/platform/standin"
)

// logPaths are the calls of routers to the log.
var logPaths = []string{standin.PathAppend, standin.PathRead, standin.PathNewest}

// play runs a schedule under load and returns the promises that were broken.
func (w *world) play(s Schedule) []string {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var impatient atomic.Bool
	w.began = time.Now()
	w.callers(ctx, s.Seed, &impatient)
	var faults conc.WaitGroup
	for _, f := range s.Faults {
		faults.Go(func() {
			time.Sleep(time.Until(w.began.Add(time.Duration(f.At) * time.Millisecond)))
			w.apply(f, &impatient)
		})
	}
	time.Sleep(time.Until(w.began.Add(loadFor)))
	faults.Wait() // a stop may take longer
	w.recover()
	cancel()
	time.Sleep(100 * time.Millisecond)
	closed := time.Now()
	w.close()
	broken := w.check()
	if s.OnlyPlanned {
		broken = append(broken, w.notes.checkPreempted(closed)...)
	}
	return broken
}

// apply does one fault from its beginning to its end.
func (w *world) apply(f Fault, impatient *atomic.Bool) {
	span := time.Duration(f.For) * time.Millisecond
	r := w.routers[f.N%routerCount]
	switch f.Kind {
	case kill, killAll, pause, stop, reload:
		w.signal(f, span)
	case logCut, logReset, logDelay:
		defer w.notes.disrupts(f.N % routerCount)()
		w.harmLog(r.toLog, f, span)
	case logFault:
		defer w.notes.disrupts(allRouters)()
		w.failLog(standin.Fault(f.Way), span)
	case restore:
		defer w.notes.disrupts(allRouters)()
		// The copy has what was there before the load.
		age := min(time.Duration(f.Age)*time.Millisecond, time.Since(w.began))
		lost := w.store.Restore(w.store.CopyOfAge(age), span)
		time.Sleep(span + time.Second)
		w.mu.Lock()
		w.store.WriteAgain(lost)
		w.mu.Unlock()
	case forget:
		w.store.Trim(platform.StreamBudgets)
		w.store.Trim(platform.StreamServers)
		w.store.Trim(platform.StreamOperator)
	case workerCut:
		defer w.worker(f.N).way.cut(f.Way)()
		time.Sleep(span)
	case grey:
		worker := w.worker(f.N)
		worker.setGrey(f.Way)
		time.Sleep(span)
		worker.setGrey("")
	case crash, leave, reuse:
		w.replace(f)
	case topUp:
		w.change(func() {
			for i := range w.prepaid {
				w.prepaid[i] += w.prepaid[i] / 2
			}
		})
	case revoke:
		account := f.N % accountCount
		var old int
		at := w.change(func() { old = w.keys[account]; w.keys[account]++ })
		w.notes.revoked(account, old, at)
	case foreign:
		w.store.AppendRaw(platform.StreamServers, []byte{9, 'x'})
		w.store.AppendKeyed(platform.StreamServers, "i-77", standin.MalformedEntry)
		w.store.AppendKeyed(platform.StreamOperator, "unknown", "no settings")
	case deadly:
		w.deadly.Store(true)
		time.Sleep(span)
		w.deadly.Store(false)
	case uploads:
		w.uploads.Store(true)
		time.Sleep(span)
		w.uploads.Store(false)
	case impatience:
		impatient.Store(true)
		time.Sleep(span)
		impatient.Store(false)
	}
}

// signal does what is done to processes.
func (w *world) signal(f Fault, span time.Duration) {
	if f.Kind == killAll {
		defer w.notes.disrupts(allRouters)()
		for _, r := range w.routers {
			r.kill()
		}
		time.Sleep(span)
		for _, r := range w.routers {
			r.again()
		}
		return
	}
	r := w.routers[f.N%routerCount]
	defer w.notes.disrupts(f.N % routerCount)()
	switch f.Kind {
	case kill:
		r.kill()
		time.Sleep(span)
		r.again()
	case stop:
		r.stop()
		r.again()
	case pause:
		r.signal(syscall.SIGSTOP, false)
		time.Sleep(span)
		r.signal(syscall.SIGCONT, false)
	case reload:
		r.signal(syscall.SIGHUP, false)
	}
}

// again starts a router that is down. Faults overlap: another one may have done
// so already.
func (r *router) again() {
	r.starting.Lock()
	defer r.starting.Unlock()
	r.mu.Lock()
	running := true
	select {
	case <-r.over:
		running = false
	default:
	}
	r.mu.Unlock()
	if running {
		return
	}
	if err := r.start(); err != nil {
		r.world.notes.broken("%v", err)
	}
}

func (w *world) harmLog(p *proxy, f Fault, span time.Duration) {
	switch f.Kind {
	case logCut:
		end := p.cut(f.Way)
		time.Sleep(span)
		end()
		p.reset() // what was held up is lost
	case logReset:
		p.reset()
	case logDelay:
		p.slow(30 * time.Millisecond)
		time.Sleep(span)
		p.slow(0)
	}
}

func (w *world) failLog(fault standin.Fault, span time.Duration) {
	for _, path := range logPaths {
		if (fault == standin.ReplyLost || fault == standin.DelayedAppend) && path != standin.PathAppend {
			continue
		}
		w.store.SetFault(path, fault)
	}
	time.Sleep(span)
	for _, path := range logPaths {
		w.store.SetFault(path, "")
	}
}

// replace takes a worker away and brings another one.
func (w *world) replace(f Fault) {
	old := w.worker(f.N)
	if f.Kind == leave {
		w.mu.Lock()
		w.enter(old, standin.Draining)
		old.gone = true // it serves on to the end, for those that do not know yet
		w.mu.Unlock()
		w.notes.left(old.ID, time.Now())
	} else {
		w.mu.Lock()
		old.gone = true
		w.mu.Unlock()
		old.Close()
		old.way.reset()
	}
	if err := w.addWorker("svc"); err != nil {
		w.notes.broken("%v", err)
		return
	}
	if f.Kind != reuse {
		if f.Kind == crash {
			time.Sleep(time.Second) // until its entry lapses
			w.store.AppendKeyed(platform.StreamServers, old.ID, "")
		}
		return
	}
	// Another service's worker answers at the address while the old entry
	// still stands.
	if err := w.addWorker("other"); err != nil {
		w.notes.broken("%v", err)
		return
	}
	w.mu.Lock()
	successor := w.workers[len(w.workers)-1]
	old.way.turn(successor.Address)
	w.mu.Unlock()
	time.Sleep(time.Second)
	w.store.AppendKeyed(platform.StreamServers, old.ID, "")
}

// crashFor crashes a worker because of a request, and brings another one.
func (w *world) crashFor(old *worker, attempt string) {
	w.mu.Lock()
	was := old.gone
	old.gone = true
	w.mu.Unlock()
	w.notes.deadlySent(attempt, time.Now())
	if was {
		return
	}
	w.notes.crashed(time.Now())
	old.Close()
	old.way.close()
	w.work.Go(func() {
		time.Sleep(500 * time.Millisecond)
		if err := w.addWorker("svc"); err != nil {
			w.notes.broken("%v", err)
		}
		time.Sleep(500 * time.Millisecond) // until its entry lapses
		w.store.AppendKeyed(platform.StreamServers, old.ID, "")
	})
}

// recover ends what is left of faults and looks whether requests are served
// again after the time that a disruption may take.
func (w *world) recover() {
	for _, r := range w.routers {
		r.signal(syscall.SIGCONT, false)
		r.again()
	}
	time.Sleep(settle)
	w.notes.recoveryBegins(time.Now())
	time.Sleep(time.Second)
}
