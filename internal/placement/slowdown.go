package placement

import "slices"

// computeSlowdowns sets each candidate's slowdown against the median latency
// ratio. With fewer than three candidates of known speed all stay at 1.
func computeSlowdowns(candidates []candidate) {
	var buffer [64]float64
	ratios := buffer[:0]
	for i := range candidates {
		candidates[i].slowdown = 1
		if candidates[i].freshness > 0 {
			ratios = append(ratios, candidates[i].latencyRatio)
		}
	}
	if len(ratios) < 3 {
		return
	}
	slices.Sort(ratios)
	median := ratios[len(ratios)/2]
	for i := range candidates {
		v := &candidates[i]
		if v.freshness == 0 || v.latencyRatio < slowThreshold*median {
			continue
		}
		// The slowdown decays without new samples, so that a slow server is
		// tried again from time to time.
		v.slowdown = 1 + (min(v.latencyRatio/median, maxSlowdown)-1)*v.freshness
	}
}
