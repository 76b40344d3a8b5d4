package ledger

import (
	"math"
	"slices"
	"sort"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// maxTokens bounds a team's top-ups, so that sums of budgets cannot overflow.
const maxTokens = math.MaxInt64 / 1024

// Budget is what the ledger knows of one team's tokens.
type Budget struct {
	TopUps      int64 // paid for
	Billed      int64 // settled runs
	Outstanding int64 // in the grants of all holders
	Free        int64 // TopUps - Billed - Outstanding; never negative

	// Overrun is what settlements asked for beyond their grant. A run is
	// admitted only if its bound fits the grant and cut off at the bound, so
	// it stays zero unless a process breaks that rule.
	Overrun int64
	// Late is what settlements asked for from closed grants, or for runs of
	// closed gates. A side process that was cut off, sealed and abandoned by
	// every router adds to it when it comes back; its answers reached nobody.
	Late int64
}

// Grant is the tokens of one team in the hands of one holder. All fields only
// ever grow, so that a holder that missed a verdict can read the result of
// its records from them.
type Grant struct {
	Holder   ident.Incarnation `msgpack:"h"`
	Granted  int64             `msgpack:"g"` // by draws
	Returned int64             `msgpack:"r"`
	Billed   int64             `msgpack:"b"` // settled runs under it
	// BorrowerBills is the part of Billed for runs that others than the holder
	// began under loans, sorted by router. Router 0 stands for unknown ones.
	BorrowerBills []BorrowerBill `msgpack:"f,omitempty"`
}

// BorrowerBill is what the runs of one borrower cost a grant.
type BorrowerBill struct {
	Router ident.Incarnation `msgpack:"r"`
	Billed int64             `msgpack:"b"`
}

// MaxBilledBy returns the most that the settled runs of a router other than the
// holder can have cost the grant.
func (g Grant) MaxBilledBy(router ident.Incarnation) int64 {
	var billed int64
	for _, f := range g.BorrowerBills {
		if f.Router == router || f.Router == 0 {
			billed += f.Billed
		}
	}
	return billed
}

// Outstanding is what is left of the grant.
func (g Grant) Outstanding() int64 {
	return g.Granted - g.Returned - g.Billed
}

// budget is the state of one team.
type budget struct {
	topUps      int64
	billed      int64
	outstanding int64 // sum over grants
	overrun     int64
	late        int64
	grants      []Grant // sorted by holder; a grant stays until it is closed
	topUpIDs    window[struct{}]
}

func newBudget() *budget {
	return &budget{topUpIDs: newWindow[struct{}](TopUpWindow)}
}

func (b *budget) free() int64 {
	return b.topUps - b.billed - b.outstanding
}

// find returns the index of a holder's grant, or where it would stand.
func (b *budget) find(holder ident.Incarnation) (int, bool) {
	i := sort.Search(len(b.grants), func(i int) bool { return b.grants[i].Holder >= holder })
	return i, i < len(b.grants) && b.grants[i].Holder == holder
}

// grant returns a holder's grant, nil if there is none.
func (b *budget) grant(holder ident.Incarnation) *Grant {
	i, ok := b.find(holder)
	if !ok {
		return nil
	}
	return &b.grants[i]
}

// draw moves free tokens into a holder's grant.
func (b *budget) draw(holder ident.Incarnation, tokens int64) {
	i, ok := b.find(holder)
	if !ok {
		b.grants = slices.Insert(b.grants, i, Grant{Holder: holder})
	}
	b.grants[i].Granted += tokens
	b.outstanding += tokens
}

// bill moves tokens of a grant to the billed ones.
func (b *budget) bill(grant *Grant, router ident.Incarnation, tokens int64) {
	grant.Billed += tokens
	if router != grant.Holder && tokens > 0 {
		grant.addForeign(router, tokens)
	}
	b.outstanding -= tokens
	b.billed += tokens
}

// addForeign adds to the bill of a borrower.
func (g *Grant) addForeign(router ident.Incarnation, tokens int64) {
	i := sort.Search(len(g.BorrowerBills), func(i int) bool { return g.BorrowerBills[i].Router >= router })
	if i == len(g.BorrowerBills) || g.BorrowerBills[i].Router != router {
		g.BorrowerBills = slices.Insert(g.BorrowerBills, i, BorrowerBill{Router: router})
	}
	g.BorrowerBills[i].Billed += tokens
}

// closeGrants frees the grants of the holders from first to last.
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
		Free:        b.free(),
		Overrun:     b.overrun,
		Late:        b.late,
	}
}
