package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Verdict is the decision on a request.
type Verdict struct {
	Blocked    bool
	Part       string        // because of which the request is withheld
	Crashes    int           // that are known of it
	RetryAfter time.Duration // until the part is tried again
}

// Check returns whether a request with the given parts is withheld now.
func (t *Tracker) Check(parts []string) Verdict {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	verdict, _ := t.judge(parts, now)
	return verdict
}

// judge returns the decision on a request and the suspects of which it is a trial if it
// is sent. The caller holds the lock.
func (t *Tracker) judge(parts []string, now time.Time) (Verdict, []*suspect) {
	if !t.grouped {
		t.groupSuspects()
	}
	if t.quarantined == 0 {
		return Verdict{}, nil
	}
	inRequest := t.countGroups(parts)
	var trials []*suspect
	for _, part := range parts {
		s := t.suspects[part]
		if s == nil || !s.isQuarantined() {
			continue
		}
		switch t.explain(s.group, inRequest) {
		case explainedByMore:
			continue
		case explainedInTurn:
		case unexplained:
			if now.Before(s.releaseAt) {
				return blocked(s, s.releaseAt.Sub(now)), nil
			}
		}
		if s.trial != nil {
			return blocked(s, trialRetryAfter), nil
		}
		trials = append(trials, s)
	}
	return Verdict{}, trials
}

func blocked(s *suspect, wait time.Duration) Verdict {
	return Verdict{Blocked: true, Part: s.evidence.Part, Crashes: len(s.evidence.Crashes), RetryAfter: wait + rand.N(trialRetryAfter)}
}

// group is the parts with the same crashes, such as all new parts of a long session. They
// cannot be told apart, so each is judged like the others.
type group struct {
	evidence    *Evidence // of one of them
	members     int
	quarantined bool // all or none are
}

// groupSuspects updates what is derived from the suspects. The caller holds the lock.
func (t *Tracker) groupSuspects() {
	t.grouped, t.quarantined, t.groups = true, 0, nil
	byCrashes := map[string]*group{}
	for _, s := range t.suspects {
		s.group = nil
		if s.isQuarantined() {
			t.quarantined++
		}
		if len(s.evidence.Crashes) < 2 {
			continue
		}
		key := groupKey(s)
		g := byCrashes[key]
		if g == nil {
			g = &group{evidence: &s.evidence, quarantined: s.isQuarantined()}
			byCrashes[key] = g
			t.groups = append(t.groups, g)
		}
		g.members++
		s.group = g
	}
}

// groupKey returns a text that is the same for suspects of one group.
func groupKey(s *suspect) string {
	crashes := make([]string, 0, len(s.evidence.Crashes)+1)
	for _, c := range s.evidence.Crashes {
		crashes = append(crashes, fmt.Sprintf("%s/%d/%d", c.Server, c.StartedMS, c.Depth))
	}
	slices.Sort(crashes)
	return strings.Join(append(crashes, fmt.Sprint(s.isQuarantined())), " ")
}

// groupCounts counts the parts of a request by group, and keeps what is known of the groups.
type groupCounts struct {
	members      map[*group]int
	explanations map[*group]explanation
}

// countGroups counts the parts of a request that are in a group. The caller holds the lock.
func (t *Tracker) countGroups(parts []string) groupCounts {
	counts := groupCounts{members: map[*group]int{}, explanations: map[*group]explanation{}}
	seen := map[*suspect]bool{}
	for _, part := range parts {
		if s := t.suspects[part]; s != nil && s.group != nil && !seen[s] {
			seen[s] = true
			counts.members[s.group]++
		}
	}
	return counts
}

// explanation tells whether the crashes of a part may have had another cause.
type explanation uint8

const (
	unexplained     explanation = iota
	explainedInTurn             // by another, as that may be by it: one of its requests will tell
	explainedByMore             // another part was there at these crashes and at others
)

// explain reports whether another part, which a request does not have, may be the cause of
// the crashes of a group. Several others together are not taken for it: each part that the
// cause was in requests with is suspected at some of the crashes. The caller holds the lock.
func (t *Tracker) explain(g *group, inRequest groupCounts) explanation {
	if g == nil {
		return unexplained
	}
	result, known := inRequest.explanations[g]
	if known {
		return result
	}
	for _, other := range t.groups {
		if inRequest.members[other] == other.members {
			continue
		}
		if result = max(result, explainedBy(g, other)); result == explainedByMore {
			break
		}
	}
	inRequest.explanations[g] = result
	return result
}

// explainedBy reports whether a part of another group, or another one of the same group, may
// be the cause of the crashes of a group.
func explainedBy(g, other *group) explanation {
	rest := g.evidence.clone()
	deepest := rest.remove(other.evidence)
	switch {
	case len(rest.Crashes) == 0 && len(other.evidence.Crashes) > len(g.evidence.Crashes) && other.quarantined:
		return explainedByMore
	case rest.depth() <= deepest && rest.successive() < quarantineDepth && 2*len(rest.Crashes) < len(g.evidence.Crashes):
		// The few that are left came before the other part was suspected, for a reason
		// of their own.
		return explainedInTurn
	default:
		return unexplained
	}
}
