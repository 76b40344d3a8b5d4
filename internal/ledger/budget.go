package ledger

import (
	"math"
	"slices"
	"sort"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// maxTokens bounds the sum of a team's top-ups, so that sums over the budgets of
// several teams cannot overflow an int64.
const maxTokens = math.MaxInt64 / 1024

// Budget is the token account of one team as the fold sees it. All amounts are
// in tokens.
type Budget struct {
	TopUps      int64 // prepaid in total
	Billed      int64 // by settled runs
	Outstanding int64 // in the grants of all holders, not yet billed or returned
	Free        int64 // TopUps - Billed - Outstanding; never negative

	// Overrun counts the tokens that settlements requested beyond their
	// grant. A run is admitted only if its token bound fits the grant, and
	// it is cut off at the bound, so Overrun is zero unless a process
	// violates that rule.
	Overrun int64
	// Late counts the tokens of settlements against closed grants or for runs
	// of closed gates. They come from a side process that was partitioned,
	// sealed and given up by every router and later reconnects; no caller
	// received its answers.
	Late int64
}

// Grant is the part of a team's tokens that is assigned to one holder. No field
// ever decreases, so that a holder that missed a verdict can derive the result
// of its records from the totals.
type Grant struct {
	Holder   ident.Incarnation `msgpack:"h"`
	Granted  int64             `msgpack:"g"` // sum of all draws
	Returned int64             `msgpack:"r"`
	Billed   int64             `msgpack:"b"` // by settled runs that were charged to the grant
	// BorrowerBills splits off the part of Billed for runs that other routers
	// began with tokens they borrowed. It is sorted by router; router 0 stands
	// for an unknown router.
	BorrowerBills []BorrowerBill `msgpack:"f,omitempty"`
}

// BorrowerBill is the number of tokens billed to a grant for the runs of one
// borrower.
type BorrowerBill struct {
	Router ident.Incarnation `msgpack:"r"`
	Billed int64             `msgpack:"b"`
}

// MaxBilledBy returns an upper bound of the tokens billed to the grant for the
// settled runs of a router other than the holder. Runs of unknown routers count
// in full.
func (g Grant) MaxBilledBy(router ident.Incarnation) int64 {
	var billed int64
	for _, f := range g.BorrowerBills {
		if f.Router == router || f.Router == 0 {
			billed += f.Billed
		}
	}
	return billed
}

// Outstanding returns the tokens of the grant that are neither returned nor
// billed.
func (g Grant) Outstanding() int64 {
	return g.Granted - g.Returned - g.Billed
}

// budget is the fold's state of one team. The amounts are those of Budget.
type budget struct {
	topUps      int64
	billed      int64
	outstanding int64 // sum over grants
	overrun     int64
	late        int64
	grants      []Grant // sorted by holder; an entry is deleted only when its holder is closed
	topUpIDs    window[struct{}]
}

func newBudget() *budget {
	return &budget{topUpIDs: newWindow[struct{}](TopUpWindow)}
}

// freeTokens returns Budget.Free.
func (b *budget) freeTokens() int64 {
	return b.topUps - b.billed - b.outstanding
}

// find returns the index of a holder's grant, or the index at which it would be
// inserted and false.
func (b *budget) find(holder ident.Incarnation) (int, bool) {
	i := sort.Search(len(b.grants), func(i int) bool { return b.grants[i].Holder >= holder })
	return i, i < len(b.grants) && b.grants[i].Holder == holder
}

// grant returns a holder's grant, or nil if it has none.
func (b *budget) grant(holder ident.Incarnation) *Grant {
	i, ok := b.find(holder)
	if !ok {
		return nil
	}
	return &b.grants[i]
}

// draw moves free tokens into a holder's grant and creates the grant if needed.
func (b *budget) draw(holder ident.Incarnation, tokens int64) {
	i, ok := b.find(holder)
	if !ok {
		b.grants = slices.Insert(b.grants, i, Grant{Holder: holder})
	}
	b.grants[i].Granted += tokens
	b.outstanding += tokens
}

// bill turns outstanding tokens of a grant into billed ones. The bill is also
// recorded per borrower if a router other than the holder began the run.
func (b *budget) bill(grant *Grant, router ident.Incarnation, tokens int64) {
	grant.Billed += tokens
	if router != grant.Holder && tokens > 0 {
		grant.addBorrowerBill(router, tokens)
	}
	b.outstanding -= tokens
	b.billed += tokens
}

// addBorrowerBill adds tokens to the bill of a borrower.
func (g *Grant) addBorrowerBill(router ident.Incarnation, tokens int64) {
	i := sort.Search(len(g.BorrowerBills), func(i int) bool { return g.BorrowerBills[i].Router >= router })
	if i == len(g.BorrowerBills) || g.BorrowerBills[i].Router != router {
		g.BorrowerBills = slices.Insert(g.BorrowerBills, i, BorrowerBill{Router: router})
	}
	g.BorrowerBills[i].Billed += tokens
}

// closeGrants deletes the grants of the holders from first to last and frees
// their outstanding tokens.
func (b *budget) closeGrants(first, last ident.Incarnation) {
	from, _ := b.find(first)
	to := from
	for to < len(b.grants) && b.grants[to].Holder <= last {
		b.outstanding -= b.grants[to].Outstanding()
		to++
	}
	b.grants = slices.Delete(b.grants, from, to)
}

func (b *budget) view() Budget {
	return Budget{
		TopUps:      b.topUps,
		Billed:      b.billed,
		Outstanding: b.outstanding,
		Free:        b.freeTokens(),
		Overrun:     b.overrun,
		Late:        b.late,
	}
}
