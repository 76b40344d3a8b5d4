// Package capacity measures slopes: how processor time, memory and bytes grow
// with the number of budgets, members, teams and records. From them it works
// out what each role would need at the target size.
package capacity

import (
	"context"
	"runtime"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/camphorlever/camphorlever/internal/measure"
)

// Group is the group of figures named capacity.*.
var Group = measure.Group{Name: "capacity", Run: run}

// Bytes in the units of the report.
const (
	bytesPerMiB = 1 << 20
	bytesPerKB  = 1000
)

// point is one measurement at a size.
type point struct {
	size  float64
	value float64
}

// line is a least-squares fit through points: value = base + slope*size.
type line struct {
	base  float64
	slope float64
	r2    float64
}

func fit(points []point) line {
	xs := make([]float64, len(points))
	ys := make([]float64, len(points))
	for i, p := range points {
		xs[i] = p.size
		ys[i] = p.value
	}
	base, slope := stat.LinearRegression(xs, ys, nil, false)
	return line{base: base, slope: slope, r2: stat.RSquared(xs, ys, nil, base, slope)}
}

func (l line) at(size float64) float64 {
	return l.base + l.slope*size
}

// emit prints the points and the fit of one slope.
func (l line) emit(emit measure.Emit, name, unit string, points []point) {
	for _, p := range points {
		emit(name+".at_"+count(p.size), p.value, unit)
	}
	emit(name+".base", l.base, unit)
	emit(name+".slope", l.slope, unit+"_each")
	emit(name+".r2", l.r2, "ratio")
}

// heapOf returns how many bytes stay allocated by what build returns.
func heapOf(build func() any) float64 {
	before := heap()
	kept := build()
	after := heap()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// nsPer returns the time of one call of f, in nanoseconds, over n calls: the
// best of a few rounds, since everything else on the machine only adds.
func nsPer(n int, f func(i int)) float64 {
	const rounds = 3
	best := time.Duration(1<<63 - 1)
	for range rounds {
		start := time.Now()
		for i := range n {
			f(i)
		}
		best = min(best, time.Since(start))
	}
	return float64(best.Nanoseconds()) / float64(n)
}

func run(ctx context.Context, emit measure.Emit) error {
	var s slopes
	steps := []func(measure.Emit, *slopes) error{
		ledgerSlopes,
		fleetSlopes,
		settingsSlopes,
	}
	for _, step := range steps {
		if err := ctx.Err(); err != nil {
			return err
		}
		if err := step(emit, &s); err != nil {
			return err
		}
	}
	roles(emit, s)
	return nil
}
