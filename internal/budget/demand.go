package budget

import (
	"math"
	"time"
)

// Averaging windows of the demand rate. The larger of the two averages counts:
// the short one follows a rise, the long one remembers the demand from before a
// lull.
const (
	shortWindow = 15 * time.Second
	longWindow  = 5 * time.Minute
	boundDecay  = 10 * time.Minute // time constant of the largest recent bound
)

// demandRate estimates the rate at which a team spends tokens at this router.
type demandRate struct {
	used         int64 // tokens since lastTick
	recentBound  float64
	shortAverage float64 // tokens per second
	longAverage  float64
	lastTick     time.Time
	firstTick    time.Time
}

// boundDecayPerRun is the fraction by which each run lets the largest recent
// bound decay.
const boundDecayPerRun = 0.02

// recordRun counts the tokens of a completed run and its bound.
func (d *demandRate) recordRun(actual, bound int64) {
	d.used += actual
	d.recentBound = max(float64(bound), d.recentBound*(1-boundDecayPerRun))
}

// tick updates the averages with the tokens used since the last call.
func (d *demandRate) tick(now time.Time) {
	if d.lastTick.IsZero() {
		d.lastTick, d.firstTick = now, now
		return
	}
	dt := now.Sub(d.lastTick)
	if dt <= 0 {
		return
	}
	rate := float64(d.used) / dt.Seconds()
	d.shortAverage += (rate - d.shortAverage) * sampleWeight(dt, min(shortWindow, now.Sub(d.firstTick)))
	d.longAverage += (rate - d.longAverage) * sampleWeight(dt, min(longWindow, now.Sub(d.firstTick)))
	d.recentBound *= math.Exp(-dt.Seconds() / boundDecay.Seconds())
	d.used = 0
	d.lastTick = now
}

// ledgerDemand estimates the rate at which the ledger bills a team. It does not
// change while no records of the ledger are read.
type ledgerDemand struct {
	demandRate
	lastTotal int64 // billed tokens at the last observation
}

// observe updates the rate from the billed total.
func (d *ledgerDemand) observe(now time.Time, total int64) {
	d.used += max(total-d.lastTotal, 0)
	d.lastTotal = total
	d.tick(now)
}

// sampleWeight returns the weight of a sample of length dt in an exponential
// average over span.
func sampleWeight(dt, span time.Duration) float64 {
	if span <= dt {
		return 1
	}
	return 1 - math.Exp(-dt.Seconds()/span.Seconds())
}

// rate returns the demand in tokens per second.
func (d *demandRate) rate() float64 {
	return max(d.shortAverage, d.longAverage)
}
