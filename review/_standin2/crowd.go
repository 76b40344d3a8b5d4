package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/camphorlever/camphorlever/platform/standin"
)

func init() { cases["crowd"] = crowd }

// The machine is a `frontend` of acbbl-faro.
const (
	crowdMemoryMB  = 134
	crowdLinkBytes = 125e6 // a second, 1,000 Mbit/s
	crowdMachines  = 2
	crowdConns     = 1000 // at each machine
	crowdAhead     = 2000 // requests sent ahead on one connection
	crowdEnds      = 3    // ends of a process for which the day counts 0
	crowdEnd       = 30 * time.Second
)

// crowd: clients send many requests ahead on their connections and don't read the answers. The
// platform kills a process that is over its memory. It reports whether processes ended so three
// times on both machines.
func crowd(w *world) bool {
	var limit syscall.Rlimit
	check(syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit))
	if need := uint64(2*crowdMachines*crowdConns + 500); limit.Cur < need {
		cannotRun("%d descriptors are allowed, %d are needed", limit.Cur, need)
	}
	w.memoryMB = crowdMemoryMB
	w.publish(standin.Settings{Version: 3, Services: []string{"registro"}, TokensPerEvent: 3,
		Routes:   []standin.Route{{Prefix: "cambio", Kind: standin.NonIdempotent, Service: "registro", Timeout: 1500 * time.Millisecond}},
		Accounts: []standin.Account{{Name: "tenant", APIKey: "key", PrepaidTokens: 100_000_000}},
	}.JSON())
	var runs sync.Map
	worker := w.server("i-1", "registro", 1, func(c net.Conn, r *http.Request, _ int) {
		f := standin.ParseForwardedRequest(r)
		w.note("i-1 runs %s", f.AttemptID)
		runs.Store(f.AttemptID, true)
		time.Sleep(30 * time.Millisecond)
		_, _ = io.WriteString(c, standin.CompleteResponse(f.AttemptID, 200, "done"))
	})
	defer worker.Close()
	for i := range crowdMachines {
		w.addRouter(fmt.Sprintf("front-%d", i+1))
	}
	w.awaitReady()
	time.Sleep(2 * time.Second)
	ended := make(chan struct{})
	var all sync.WaitGroup
	var lost atomic.Int64
	ends := make([]int, crowdMachines)
	peaks := make([]int64, crowdMachines)
	began := time.Now()
	for i, r := range w.routers {
		all.Go(func() { ends[i], peaks[i] = w.limitMemory(r, ended) })
		all.Go(func() { w.ordinary(r, i, &runs, &lost, ended) })
		if !w.trouble {
			continue
		}
		link := &link{}
		for range crowdConns {
			all.Go(func() { sendAhead(r, link, ended) })
		}
	}
	if w.trouble {
		w.printf("%d clients at each machine send %d requests ahead and read no answers", crowdConns, crowdAhead)
	}
	time.Sleep(crowdEnd - time.Since(began))
	close(ended)
	all.Wait()
	both := true
	for i, r := range w.routers {
		w.printf("%s: %d times over its memory of %d MB, at most %.0f MB", r.node, ends[i], crowdMemoryMB, float64(peaks[i])/(1<<20))
		both = both && ends[i] >= crowdEnds
	}
	w.printf("%d orders of ordinary clients were run and got no answer", lost.Load())
	return both
}

// limitMemory does to a process what the platform does: it kills it when it is over its memory,
// with the bytes that were received and not yet read, and starts it again.
func (w *world) limitMemory(r *router, ended <-chan struct{}) (ends int, peak int64) {
	for {
		select {
		case <-ended:
			return ends, peak
		case <-time.After(10 * time.Millisecond):
		}
		resident, unread := residentBytes(r.cmd.Process.Pid), unreadBytes(r.ip, 8227)
		peak = max(peak, resident+unread)
		if resident+unread <= crowdMemoryMB<<20 {
			continue
		}
		ends++
		w.note("%s holds %.0f MB, and %.0f MB are received and not yet read: it is killed", r.node, float64(resident)/(1<<20), float64(unread)/(1<<20))
		r.signal(syscall.SIGKILL)
		<-r.over
		time.Sleep(500 * time.Millisecond)
		r.start()
	}
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) int64 {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// unreadBytes returns how many bytes were received on the connections at an address and not yet
// read.
func unreadBytes(ip string, port int) (total int64) {
	b := net.ParseIP(ip).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", b[3], b[2], b[1], b[0], port)
	file, err := os.Open("/proc/net/tcp")
	check(err)
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > 4 && fields[1] == local && fields[3] == "01" {
			_, received, _ := strings.Cut(fields[4], ":")
			n, _ := strconv.ParseInt(received, 16, 64)
			total += n
		}
	}
	return total
}

// ordinary sends an order every 0.1 s and reads its answer.
func (w *world) ordinary(r *router, client int, runs *sync.Map, lost *atomic.Int64, ended <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-ended:
			return
		case <-time.After(100 * time.Millisecond):
		}
		attempt := fmt.Sprintf("%04x%012x", client+1, n)
		a := w.send(r, call{attempt: attempt, path: "/cambio/1", deadline: 1500 * time.Millisecond})
		if _, ran := runs.Load(attempt); ran && a.status == 0 {
			lost.Add(1)
		}
	}
}

// link is a machine's link in the direction towards it.
type link struct {
	mu   sync.Mutex
	free time.Time // when the link has carried what was sent so far
}

// carry waits until the link has carried a number of bytes.
func (l *link) carry(n int) {
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / crowdLinkBytes * float64(time.Second)))
	wait := l.free.Sub(now)
	l.mu.Unlock()
	time.Sleep(wait)
}

// sendAhead sends requests on connections without reading the answers.
func sendAhead(r *router, l *link, ended <-chan struct{}) {
	request := "GET /nowhere/1 HTTP/1.1\r\nHost: " + standin.Host + "\r\nX-Camphorlever-Attempt-Id: 1\r\n" + strings.Repeat("a: b\r\n", 20) + "\r\n"
	const piece = 20 // requests
	requests := []byte(strings.Repeat(request, piece))
	for {
		select {
		case <-ended:
			return
		default:
		}
		c, err := dial(r)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		_ = c.(*net.TCPConn).SetReadBuffer(4096)
		_ = c.(*net.TCPConn).SetWriteBuffer(8192)
		_ = c.SetDeadline(time.Now().Add(6 * time.Second))
		for sent := 0; sent < crowdAhead; sent += piece {
			l.carry(len(requests))
			if _, err := c.Write(requests); err != nil {
				break
			}
		}
		c.Close()
	}
}
