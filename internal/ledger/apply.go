package ledger

import (
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/record"
)

// applyRecord folds one record of an accepted batch.
func (s *State) applyRecord(writer ident.Incarnation, r record.Record) Verdict {
	if r.Level > s.level {
		return s.verdict(RefusedLevel)
	}
	switch r.Kind {
	case KindTopUp:
		return decoded(s, r, s.topUp)
	case KindDraw:
		return decoded(s, r, func(body Draw) Verdict { return s.draw(writer, body) })
	case KindReturn:
		return decoded(s, r, func(body Return) Verdict { return s.returnTokens(writer, body) })
	case KindSettle:
		return decoded(s, r, func(body Settle) Verdict { return s.settle(writer, body) })
	case KindClaim:
		return decoded(s, r, s.claim)
	case KindWithdrawClaim:
		return decoded(s, r, func(body WithdrawClaim) Verdict { return s.void(writer, body) })
	case KindClose:
		return decoded(s, r, s.close)
	case KindRaiseLevel:
		return decoded(s, r, s.raiseLevel)
	case KindCheckpoint:
		return s.verdict(Accepted) // it repeats the state, it does not change it
	default:
		return s.verdict(RefusedInvalid)
	}
}

// decoded decodes a record's body and applies it; a body that cannot be
// decoded is refused.
func decoded[T any](s *State, r record.Record, apply func(T) Verdict) Verdict {
	body, err := record.Decode[T](r)
	if err != nil {
		return s.verdict(RefusedInvalid)
	}
	return apply(body)
}

func (s *State) verdict(outcome Outcome) Verdict {
	return Verdict{Outcome: outcome, Offset: s.offset}
}

func (s *State) granted(tokens int64) Verdict {
	return Verdict{Outcome: Accepted, Tokens: tokens, Offset: s.offset}
}

// owns reports whether a team belongs to this shard.
func (s *State) owns(team ident.TeamID) bool {
	return team != "" && ShardOf(team, s.shards) == s.shard
}

func (s *State) topUp(r TopUp) Verdict {
	if !s.owns(r.Team) || r.Tokens <= 0 || r.Tokens > maxTokens || r.ID == "" {
		return s.verdict(RefusedInvalid)
	}
	b := s.budgets[r.Team]
	if b == nil {
		b = newBudget()
	}
	id := ident.HashKey(r.Team, r.ID)
	if _, known := b.topUpIDs.get(id); known {
		return s.verdict(Repeated)
	}
	if b.topUps > maxTokens-r.Tokens {
		return s.verdict(RefusedInvalid)
	}
	b.topUpIDs.put(id, struct{}{})
	b.topUps += r.Tokens
	s.budgets[r.Team] = b
	return s.granted(r.Tokens)
}

func (s *State) draw(writer ident.Incarnation, r Draw) Verdict {
	if !s.owns(r.Team) || r.Requested <= 0 || r.Minimum < 0 || r.Minimum > r.Requested {
		return s.verdict(RefusedInvalid)
	}
	b := s.budgets[r.Team]
	if b == nil {
		return s.verdict(Exhausted)
	}
	tokens := min(r.Requested, b.free())
	if tokens < max(r.Minimum, 1) {
		return s.verdict(Exhausted)
	}
	b.draw(writer, tokens)
	return s.granted(tokens)
}

func (s *State) returnTokens(writer ident.Incarnation, r Return) Verdict {
	b := s.budgets[r.Team]
	if b == nil || r.Tokens <= 0 {
		return s.verdict(RefusedInvalid)
	}
	grant := b.grant(writer)
	if grant == nil || grant.Outstanding() < r.Tokens {
		return s.verdict(RefusedInvalid)
	}
	grant.Returned += r.Tokens
	b.outstanding -= r.Tokens
	return s.granted(r.Tokens)
}

// settle bills a run. A settlement beyond its grant is billed as far as the
// grant goes: the limit holds even against a process that breaks the rules,
// and the rest is counted as Overrun.
func (s *State) settle(writer ident.Incarnation, r Settle) Verdict {
	if !s.owns(r.Team) || r.Run.Gate == 0 || r.Run.Number == 0 || r.Tokens < 0 || r.Tokens > maxTokens {
		return s.verdict(RefusedInvalid)
	}
	b := s.budgets[r.Team]
	if b == nil {
		return s.verdict(RefusedInvalid)
	}
	gateClosed := s.Closed(r.Run.Gate)
	if !gateClosed && s.Settled(r.Run) {
		return s.verdict(Repeated)
	}
	if gateClosed || s.Closed(r.Holder) {
		b.late += r.Tokens
		return s.verdict(RefusedClosed)
	}
	s.markSettled(r.Run.Gate, r.Run.Number, r.Run.Number)
	if writer == r.Run.Gate {
		s.floor = max(s.floor, r.LowestUnsettled)
	}
	if _, known := s.billed.get(r.Key); known {
		return s.verdict(AlreadyBilled)
	}
	return s.granted(s.bill(b, r))
}

// markSettled remembers the runs of a gate from first to last.
func (s *State) markSettled(gate ident.Incarnation, first, last uint64) {
	runs := s.settled[gate]
	if runs == nil {
		runs = &rangeSet{}
		s.settled[gate] = runs
	}
	runs.add(first, last)
}

// raiseFloor applies the highest floor of a batch of the gate itself, once all
// of the batch is folded.
func (s *State) raiseFloor(gate ident.Incarnation) {
	if s.floor > 1 && !s.Closed(gate) {
		s.markSettled(gate, 1, s.floor-1)
	}
	s.floor = 0
}

// bill takes a run's tokens from its grant and returns how many were billed.
// A key counts as billed only once tokens were: a run that failed without any
// leaves the bill to its successor.
func (s *State) bill(b *budget, r Settle) int64 {
	grant := b.grant(r.Holder)
	if grant == nil {
		b.overrun += r.Tokens
		return 0
	}
	tokens := min(r.Tokens, grant.Outstanding())
	b.overrun += r.Tokens - tokens
	b.bill(grant, r.Router, tokens)
	if tokens > 0 && r.Key != (ident.Key{}) {
		s.remember(r.Key, KeyBill{Run: r.Run, Holder: r.Holder, Tokens: tokens, Offset: s.offset})
	}
	return tokens
}

// remember keeps the bill of a key and moves the horizon to what it displaces.
func (s *State) remember(key ident.Key, bill KeyBill) {
	if forgotten, full := s.billed.put(key, bill); full {
		s.horizon = forgotten.Offset
	}
}

func (s *State) claim(r Claim) Verdict {
	if !s.owns(r.Team) || r.Gate == 0 || r.Key == (ident.Key{}) {
		return s.verdict(RefusedInvalid)
	}
	if holder, known := s.claims.get(r.Key); known {
		return Verdict{Outcome: AlreadyClaimed, Gate: holder.Gate, Offset: holder.Offset}
	}
	if s.closed.has(uint64(r.Gate)) {
		return s.verdict(RefusedClosed)
	}
	s.claims.put(r.Key, ClaimHolder{Gate: r.Gate, Offset: s.offset})
	return Verdict{Outcome: Accepted, Gate: r.Gate, Offset: s.offset}
}

func (s *State) void(writer ident.Incarnation, r WithdrawClaim) Verdict {
	holder, known := s.claims.get(r.Key)
	if !known || holder.Gate != writer {
		return s.verdict(RefusedInvalid)
	}
	s.claims.remove(r.Key)
	return Verdict{Outcome: Accepted, Gate: writer, Offset: s.offset}
}

func (s *State) close(r Close) Verdict {
	last := max(r.Holder, r.Through)
	if r.Holder == 0 || (r.Through != 0 && r.Through < r.Holder) {
		return s.verdict(RefusedInvalid)
	}
	if r.Through == 0 && s.closed.has(uint64(r.Holder)) {
		return s.verdict(Repeated)
	}
	s.closed.add(uint64(r.Holder), uint64(last))
	for _, b := range s.budgets {
		b.closeGrants(r.Holder, last)
	}
	forget(s.marks, r.Holder, last)
	forget(s.settled, r.Holder, last)
	return s.verdict(Accepted)
}

// forget drops the entries of closed incarnations.
func forget[V any](m map[ident.Incarnation]V, first, last ident.Incarnation) {
	for incarnation := range m {
		if first <= incarnation && incarnation <= last {
			delete(m, incarnation)
		}
	}
}

func (s *State) raiseLevel(r RaiseLevel) Verdict {
	if r.Level <= s.level {
		return s.verdict(Repeated)
	}
	s.level = r.Level
	return s.verdict(Accepted)
}
