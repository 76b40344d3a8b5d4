package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// longPromptCrashes sends generations of long sessions, whose prompts have a tainted part
// behind many others, and sound ones of the same session.
func longPromptCrashes(w *world) (bool, error) {
	parts := 70 // before the tainted one
	if n, err := strconv.Atoi(os.Getenv("PARTS")); err == nil {
		parts = n
	}
	return repeatedCrashes(w, parts, 30, 700*time.Millisecond, false)
}

// darkCrashes sends generations with a tainted part, at which workers fall silent until
// they start again.
func darkCrashes(w *world) (bool, error) {
	return repeatedCrashes(w, 1, 11, 3600*time.Millisecond, os.Getenv("DARK") != "0")
}

// repeatedCrashes sends tainted and sound generations, whose prompts have a number of parts
// in common, and counts the tainted ones that reach workers.
func repeatedCrashes(w *world, parts, tries int, gap time.Duration, dark bool) (bool, error) {
	var arrivals arrivals
	var workers []*fragileWorker
	for i := range workerCount {
		f, err := w.newFragileWorker(fmt.Sprint("i-", i+1), w.trouble, dark)
		if err != nil {
			return false, err
		}
		f.arrived = arrivals.add
		workers = append(workers, f)
	}
	w.publish(generationSettings(false))
	r, err := w.startRouter(w.store.Address())
	if err != nil {
		return false, err
	}
	if err := r.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(settleWindow + 500*time.Millisecond)
	session := []string{soundPart}
	for i := range parts - 1 {
		session = append(session, fmt.Sprintf("%08x", 0x10000000+i))
	}
	tainted := append(append([]string{}, session...), taintedPart)
	var all sync.WaitGroup
	var cut, sound atomic.Int64
	stop := make(chan struct{})
	all.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(300 * time.Millisecond):
			}
			all.Go(func() {
				sound.Add(1)
				if status := r.prompt(fmt.Sprint("sound-", i), session...); status != http.StatusOK {
					cut.Add(1)
				}
			})
		}
	})
	for i := range tries {
		all.Go(func() { r.prompt(fmt.Sprint("tainted-", i), tainted...) })
		time.Sleep(gap)
	}
	close(stop)
	all.Wait()
	crashes, late := crashTimesOf(workers), 0
	if len(crashes) >= 5 {
		late = arrivals.after(crashes[4].Add(settleWindow))
	}
	w.add("%d crashes; %d of %d sound requests failed", len(crashes), cut.Load(), sound.Load())
	w.add("%d requests with the tainted part reached workers later than settle_window_ms after the fifth crash", late)
	return late > 3, nil
}

// settleWindow is settle_window_ms of the routers' settings.
const settleWindow = 3 * time.Second

// arrivals is when requests with the tainted part reached workers.
type arrivals struct {
	mu    sync.Mutex // guards times
	times []time.Time
}

func (a *arrivals) add(prefix string) {
	if !strings.Contains(prefix, taintedPart) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, time.Now())
}

// after returns how many requests arrived after a time.
func (a *arrivals) after(t time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, at := range a.times {
		if at.After(t) {
			n++
		}
	}
	return n
}
