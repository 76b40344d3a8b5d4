package intake

import (
	"context"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// sweepPeriod is how often the kernel's buffers are measured.
	sweepPeriod = 100 * time.Millisecond
	// maxQueued is what the kernel may hold for a connection: twice socketBuffer in
	// each direction.
	maxQueued = 4 * socketBuffer
	// queuedShare is the share of the byte budget that the kernel's buffers may
	// take.
	queuedShare = 0.3
)

// Run closes the connections for which the kernel holds most, if it holds too much
// for all together, until the context ends.
func (b *Budget) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for _, victim := range b.sweep() {
				_ = victim.closeConn() // it may have ended meanwhile
			}
		}
	}
}

// sweep charges connections with requests for what the kernel holds for them, and
// returns those to close.
func (b *Budget) sweep() (victims []*Holder) {
	sizes := map[*Holder]int64{}
	for _, h := range b.busy() {
		sizes[h] = h.queuedBytes()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for h := range b.holders {
		b.setQueued(h, sizes[h])
	}
	for float64(b.queued) > queuedShare*float64(b.limit) {
		var victim *Holder
		for h := range b.holders {
			if h.queued > 0 && (victim == nil || h.queued > victim.queued) {
				victim = h
			}
		}
		b.abandon(victim, "gave_up_queued")
		b.setQueued(victim, 0)
		victims = append(victims, victim)
	}
	return victims
}

// busy returns the connections with requests, if there are enough to fill their
// part of the budget.
func (b *Budget) busy() []*Holder {
	b.mu.Lock()
	defer b.mu.Unlock()
	var busy []*Holder
	for h := range b.holders {
		if h.phase != silent && !h.abandoned {
			busy = append(busy, h)
		}
	}
	if float64(len(busy)*maxQueued) <= queuedShare*float64(b.limit) {
		return nil
	}
	return busy
}

// setQueued sets what a connection is charged for the kernel's buffers. The lock
// is held.
func (b *Budget) setQueued(h *Holder, n int64) {
	if !b.holders[h] {
		return
	}
	b.used += n - h.queued
	b.queued += n - h.queued
	h.queued = n
}

// queuedBytes returns how many bytes the kernel holds for the connection: received
// and not read, and written and not acknowledged.
func (c *conn) queuedBytes() int64 {
	inner := c.Conn
	for {
		wrapper, ok := inner.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		inner = wrapper.NetConn()
	}
	tcp, ok := inner.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	total := 0
	// An error means that the connection is closed; nothing is held then.
	_ = raw.Control(func(fd uintptr) {
		for _, request := range []uint{unix.SIOCINQ, unix.SIOCOUTQ} {
			if n, err := unix.IoctlGetInt(int(fd), request); err == nil {
				total += n
			}
		}
	})
	return int64(total)
}
