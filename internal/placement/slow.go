package placement

import "slices"

// markSlow fills in how much slower than the median each candidate is.
func markSlow(views []view) {
	var buffer [64]float64
	paces := buffer[:0]
	for i := range views {
		views[i].slow = 1
		if views[i].fresh > 0 {
			paces = append(paces, views[i].pace)
		}
	}
	if len(paces) < 3 {
		return
	}
	slices.Sort(paces)
	median := paces[len(paces)/2]
	for i := range views {
		v := &views[i]
		if v.fresh == 0 || v.pace < slowRatio*median {
			continue
		}
		// The slowness fades while nobody samples it, so that the server is
		// tried again now and then.
		v.slow = 1 + (min(v.pace/median, maxSlow)-1)*v.fresh
	}
}
