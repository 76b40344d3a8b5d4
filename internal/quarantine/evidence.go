package quarantine

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"
)

// Crash is the crash of one incarnation of a server that had not begun to answer a
// request with the part.
type Crash struct {
	Server    string `json:"server"`
	StartedMS int64  `json:"started_ms"` // start of the incarnation in Unix milliseconds
	// Depth is 1, or one more than that of an earlier crash which the router knew
	// when it sent the request. Crashes with one cause outside the requests, such as
	// a rack that loses power, have the same depth.
	Depth int `json:"depth"`
}

func (c Crash) sameIncarnation(other Crash) bool {
	return c.Server == other.Server && c.StartedMS == other.StartedMS
}

// Evidence is what is known against one prompt part.
type Evidence struct {
	Part string `json:"part"`
	// Epoch increases when the part is cleared. Evidence of an earlier epoch is void.
	Epoch   int64   `json:"epoch"`
	Crashes []Crash `json:"crashes"`
}

// maxCrashes limits the crashes that are kept for one part.
const maxCrashes = 32

// merge adds the evidence of another router and reports whether any was new.
func (e *Evidence) merge(other Evidence) (changed bool) {
	switch {
	case other.Epoch < e.Epoch:
		return false
	case other.Epoch > e.Epoch:
		e.Epoch, e.Crashes, changed = other.Epoch, nil, true
	}
	for _, crash := range other.Crashes {
		changed = e.add(crash) || changed
	}
	return changed
}

// add adds a crash, or raises the depth of a known one. It reports whether anything
// changed.
func (e *Evidence) add(crash Crash) bool {
	for i := range e.Crashes {
		if e.Crashes[i].sameIncarnation(crash) {
			deeper := crash.Depth > e.Crashes[i].Depth
			e.Crashes[i].Depth = max(e.Crashes[i].Depth, crash.Depth)
			return deeper
		}
	}
	if len(e.Crashes) < maxCrashes {
		e.Crashes = append(e.Crashes, crash)
		return true
	}
	if crash.Depth <= e.depth() {
		return false
	}
	e.Crashes[0] = crash // one of many of a moment
	return true
}

// depth returns the largest depth of the crashes; zero if there are none.
func (e *Evidence) depth() int {
	deepest := 0
	for _, crash := range e.Crashes {
		deepest = max(deepest, crash.Depth)
	}
	return deepest
}

// successive returns how many crashes followed one another, each caused by a request that
// was sent after the one before was known.
func (e *Evidence) successive() int {
	depths := make([]int, 0, len(e.Crashes))
	for _, crash := range e.Crashes {
		depths = append(depths, crash.Depth)
	}
	slices.Sort(depths)
	return len(slices.Compact(depths))
}

// remove removes the crashes of other evidence, and returns the largest depth of those; zero
// if there were none.
func (e *Evidence) remove(other *Evidence) int {
	deepest := 0
	e.Crashes = slices.DeleteFunc(e.Crashes, func(crash Crash) bool {
		found := slices.ContainsFunc(other.Crashes, crash.sameIncarnation)
		if found {
			deepest = max(deepest, crash.Depth)
		}
		return found
	})
	return deepest
}

// includes reports whether e has all crashes of other evidence with at least their depth.
func (e *Evidence) includes(other *Evidence) bool {
	for _, crash := range other.Crashes {
		i := slices.IndexFunc(e.Crashes, crash.sameIncarnation)
		if i < 0 || e.Crashes[i].Depth < crash.Depth {
			return false
		}
	}
	return true
}

// clone returns a copy that shares nothing.
func (e *Evidence) clone() Evidence {
	c := *e
	c.Crashes = slices.Clone(e.Crashes)
	return c
}

func encodeEvidence(e Evidence) ([]byte, error) {
	raw, err := json.Marshal(e)
	return raw, errors.Wrap(err, "encode evidence")
}

// decodeEvidence decodes the evidence against a part. It fails if it is malformed or
// about another part.
func decodeEvidence(part string, raw []byte) (Evidence, error) {
	var e Evidence
	if err := json.Unmarshal(raw, &e); err != nil {
		return Evidence{}, errors.Wrap(err, "decode evidence")
	}
	if err := e.check(); err != nil {
		return Evidence{}, err
	}
	if e.Part != part {
		return Evidence{}, errors.Errorf("evidence under the key %q is about part %q", part, e.Part)
	}
	return e, nil
}

// check reports values that no router sends.
func (e *Evidence) check() error {
	if e.Part == "" || len(e.Part) > maxPartID || e.Epoch < 0 || len(e.Crashes) > maxCrashes {
		return errors.Errorf("evidence against part %.80q is malformed", e.Part)
	}
	return nil
}
