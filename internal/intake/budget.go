package intake

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/counter"
)

// ErrFull is the error of a reservation for which nothing can be given up, or of
// a request that was given up itself. The request has not run.
var ErrFull = errors.New("too many bytes of clients are held")

// phase is what a connection is doing.
type phase uint8

const (
	// silent: nothing of a request has arrived. A connection that has completed
	// requests is idle.
	silent phase = iota
	receiving
	// complete: a whole request has arrived and is handled. It is not given up,
	// since it may have run.
	complete
)

// Budget holds the byte budget of a process. It is safe for concurrent use.
type Budget struct {
	limit  int64
	events *counter.Set
	now    func() time.Time

	givenUp atomic.Int64

	mu        sync.Mutex // guards all below and the fields of holders
	used      int64
	queued    int64 // part of used: what the kernel holds for connections
	responses int64 // part of used: reserved by TryReserve
	holders   map[*Holder]bool
	groups    map[string]*group
}

// group is the use of the budgets by one address, or by one account once a
// request's key is verified.
type group struct {
	held    int64
	holders int
}

// Holder is a connection that draws on a budget. A nil Holder draws on none.
type Holder struct {
	budget      *Budget
	listener    *Listener // nil in tests
	address     string
	giveUp      func() // ends the reading of the connection
	closeConn   func() error
	queuedBytes func() int64 // what the kernel holds
	writing     atomic.Int64 // when the write in progress began, in Unix ns; zero if there is none

	// Guarded by the lock of the budget.
	group     string
	held      int64 // besides connBytes
	phase     phase
	served    bool      // has completed a request
	since     time.Time // when the phase began
	progress  time.Time // when bytes were last reserved
	abandoned bool
	queued    int64 // what the kernel holds
}

// NewBudget returns a budget for a VM.
func NewBudget(limits Limits) *Budget {
	return &Budget{limit: limits.byteBudget(), events: counter.NewSet("intake"), now: time.Now, holders: map[*Holder]bool{}, groups: map[string]*group{}}
}

// Used returns the number of bytes that are reserved.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Limit returns the size of the budget.
func (b *Budget) Limit() int64 { return b.limit }

// GivenUp returns how many requests and connections were given up or refused so
// far.
func (b *Budget) GivenUp() int64 { return b.givenUp.Load() }

func (b *Budget) countGivenUp(event string) {
	b.givenUp.Add(1)
	b.events.Inc(event)
}

// open adds a connection.
func (b *Budget) open(address string, l *Listener, giveUp func()) *Holder {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	h := &Holder{budget: b, listener: l, address: address, group: address, giveUp: giveUp, since: now, progress: now}
	b.holders[h] = true
	b.used += connBytes
	b.groupOf(h).holders++
	return h
}

// close removes a connection with all that it holds. Repeated calls have no
// effect.
func (h *Holder) close() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.holders[h] {
		return
	}
	b.setQueued(h, 0)
	delete(b.holders, h)
	b.release(h)
	b.used -= connBytes
	b.leaveGroup(h)
}

// groupOf returns the group of a holder. The lock is held.
func (b *Budget) groupOf(h *Holder) *group {
	if b.groups[h.group] == nil {
		b.groups[h.group] = &group{}
	}
	return b.groups[h.group]
}

// leaveGroup removes a holder from its group. The lock is held.
func (b *Budget) leaveGroup(h *Holder) {
	g := b.groupOf(h)
	g.held -= h.held
	if g.holders--; g.holders == 0 {
		delete(b.groups, h.group)
	}
}

// release returns all bytes that a holder holds. The lock is held.
func (b *Budget) release(h *Holder) {
	b.used -= h.held
	b.groupOf(h).held -= h.held
	h.held = 0
}

// SetAccount counts the request to an account, whose key was verified, instead
// of its address.
func (h *Holder) SetAccount(name string) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.join(h, "account "+name)
}

// join moves a holder to a group. The lock is held.
func (b *Budget) join(h *Holder, name string) {
	if h.group == name || !b.holders[h] {
		return
	}
	b.leaveGroup(h)
	h.group = name
	g := b.groupOf(h)
	g.holders++
	g.held += h.held
}

// Reserve reserves bytes until the end of the request. If they do not fit, it
// gives up requests that have not arrived whole. It returns ErrFull if the request
// itself is the one to give up, or was given up.
func (h *Holder) Reserve(n int64) error {
	if h == nil {
		return nil
	}
	victims, err := h.reserve(n)
	for _, victim := range victims {
		victim.giveUp()
	}
	return err
}

// reserve does the same, and returns the requests to give up.
func (h *Holder) reserve(n int64) (victims []*Holder, err error) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.abandoned || !b.holders[h] {
		return nil, ErrFull
	}
	b.add(h, n)
	for b.used > b.limit {
		victim := b.byteVictim()
		if victim == nil || victim == h {
			b.add(h, -n)
			b.countGivenUp("refused")
			h.abandoned = h.phase != complete
			return victims, ErrFull
		}
		b.abandon(victim, "gave_up_bytes")
		victims = append(victims, victim)
	}
	h.progress = b.now()
	return victims, nil
}

// responseShare is the share of the budget that buffered responses may take. With
// queuedShare it leaves some for requests, since responses cannot be given up.
const responseShare = 0.3

// TryReserve reserves bytes for a response if they fit without giving anything up.
// Release must follow if it returns true.
func (b *Budget) TryReserve(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.limit || float64(b.responses+n) > responseShare*float64(b.limit) {
		return false
	}
	b.used += n
	b.responses += n
	return true
}

// Release returns bytes that TryReserve has reserved.
func (b *Budget) Release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	b.responses -= n
}

// Shrink returns a part of the bytes that the request holds.
func (h *Holder) Shrink(n int64) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.add(h, -min(n, h.held))
}

// add changes what a holder holds. The lock is held.
func (b *Budget) add(h *Holder, n int64) {
	b.used += n
	h.held += n
	b.groupOf(h).held += n
}

// abandon marks a request as given up: its bytes count as free. The lock is held.
func (b *Budget) abandon(h *Holder, event string) {
	h.abandoned = true
	b.release(h)
	b.countGivenUp(event)
}

// stallWeight is how much longer than the time since its last bytes a request
// counts, so that of two that are in progress the larger one is given up.
const stallWeight = 100 * time.Millisecond

// byteVictim returns the unfinished request to give up: one of the group that
// holds most, and among these one that is large or makes no progress. It returns
// nil if there is none. The lock is held.
func (b *Budget) byteVictim() *Holder {
	var victim *Holder
	var victimGroup int64
	var victimScore float64
	now := b.now()
	for h := range b.holders {
		if h.phase != receiving || h.abandoned || h.held == 0 {
			continue
		}
		g, score := b.groupOf(h).held, float64(h.held)*(stallWeight+now.Sub(h.progress)).Seconds()
		if victim == nil || g > victimGroup || g == victimGroup && score > victimScore {
			victim, victimGroup, victimScore = h, g, score
		}
	}
	return victim
}

// connVictim returns the connection of a listener to close in favour of a new
// one: one whose request is not complete, or else one that is idle between
// requests, or else one whose client does not read its response. Among these it
// is one of the group with most connections, that has been so for the longest
// time. It returns nil if there is none. The lock is held.
func (b *Budget) connVictim(l *Listener, except *Holder) *Holder {
	var victim *Holder
	now := b.now()
	for h := range b.holders {
		if h == except || h.listener != l || h.abandoned || h.phase == complete && !h.isUnread(now) {
			continue
		}
		if victim == nil || b.closesBefore(h, victim) {
			victim = h
		}
	}
	return victim
}

func (b *Budget) closesBefore(h, other *Holder) bool {
	if h.value() != other.value() {
		return h.value() < other.value()
	}
	if n, m := b.groupOf(h).holders, b.groupOf(other).holders; n != m {
		return n > m
	}
	return h.since.Before(other.since)
}

// value orders connections by what their end would cost.
func (h *Holder) value() int {
	switch {
	case h.phase == complete:
		return 2
	case h.phase == silent && h.served:
		return 1
	default:
		return 0
	}
}

// unreadAfter is how long a write may take before the client counts as one that
// does not read.
const unreadAfter = time.Second

// isUnread reports whether the client does not read its response.
func (h *Holder) isUnread(now time.Time) bool {
	began := h.writing.Load()
	return began != 0 && now.UnixNano()-began > int64(unreadAfter)
}

// setPhase records what a connection does.
func (h *Holder) setPhase(p phase) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.phase == p {
		return
	}
	// A connection that begins to send keeps its time: silence before counts.
	if !(p == receiving && h.phase == silent && !h.served) {
		h.since = h.budget.now()
	}
	h.phase = p
}

// Complete marks that the request has arrived whole. It returns ErrFull if it was
// given up before.
func (h *Holder) Complete() error {
	if h == nil {
		return nil
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.abandoned {
		return ErrFull
	}
	h.phase, h.since = complete, b.now()
	return nil
}

func (h *Holder) err() error {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.abandoned {
		return ErrFull
	}
	return nil
}

// endHandling returns the bytes of a request. It reports whether all of its body
// was read.
func (h *Holder) endHandling() (whole bool) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.holders[h] {
		b.release(h)
	}
	return h.phase == complete
}

// endRequest makes a connection wait for its next request.
func (h *Holder) endRequest() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.holders[h] {
		b.join(h, h.address)
		h.phase, h.served, h.since = silent, true, b.now()
	}
}
