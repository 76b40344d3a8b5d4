package budget

import (
	"math"
	"time"
)

// Averaging times of the demand rate. The larger of the two averages counts:
// the short one follows a rise, the long one remembers a lull's other side.
const (
	demandShort = 15 * time.Second
	demandLong  = 5 * time.Minute
	boundDecay  = 10 * time.Minute // of the largest recent bound
)

// demand follows how fast a team spends at this router.
type demand struct {
	used   int64 // tokens since the last tick
	bound  float64
	short  float64 // tokens a second
	long   float64
	ticked time.Time
	first  time.Time
}

// boundStep is by how much each run lets the largest recent bound decay.
const boundStep = 0.02

// use counts a run that is over.
func (d *demand) use(actual, bound int64) {
	d.used += actual
	d.bound = max(float64(bound), d.bound*(1-boundStep))
}

// tick moves the averages on.
func (d *demand) tick(now time.Time) {
	if d.ticked.IsZero() {
		d.ticked, d.first = now, now
		return
	}
	dt := now.Sub(d.ticked)
	if dt <= 0 {
		return
	}
	rate := float64(d.used) / dt.Seconds()
	d.short += (rate - d.short) * blend(dt, min(demandShort, now.Sub(d.first)))
	d.long += (rate - d.long) * blend(dt, min(demandLong, now.Sub(d.first)))
	d.bound *= math.Exp(-dt.Seconds() / boundDecay.Seconds())
	d.used = 0
	d.ticked = now
}

// ledgerDemand follows how fast the ledger bills a team. It stands still while
// nothing is read of the ledger.
type ledgerDemand struct {
	demand
	total int64 // when last looked at
}

// look takes the billed total over.
func (d *ledgerDemand) look(now time.Time, total int64) {
	d.used += max(total-d.total, 0)
	d.total = total
	d.tick(now)
}

// blend is the weight of a sample of length dt in an average over span.
func blend(dt, span time.Duration) float64 {
	if span <= dt {
		return 1
	}
	return 1 - math.Exp(-dt.Seconds()/span.Seconds())
}

// rate returns tokens a second.
func (d *demand) rate() float64 {
	return max(d.short, d.long)
}
