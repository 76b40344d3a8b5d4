package ledger

import (
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/record"
)

// applyRecord applies one record of an accepted batch to the state.
func (s *State) applyRecord(writer ident.Incarnation, r record.Record) Verdict {
	if r.Level > s.level {
		return s.verdictFor(RefusedLevel)
	}
	switch r.Kind {
	case KindTopUp:
		return decodeAndApply(s, r, s.topUp)
	case KindDraw:
		return decodeAndApply(s, r, func(body Draw) Verdict { return s.draw(writer, body) })
	case KindReturn:
		return decodeAndApply(s, r, func(body Return) Verdict { return s.returnTokens(writer, body) })
	case KindSettle:
		return decodeAndApply(s, r, func(body Settle) Verdict { return s.settle(writer, body) })
	case KindClaim:
		return decodeAndApply(s, r, s.claim)
	case KindWithdrawClaim:
		return decodeAndApply(s, r, func(body WithdrawClaim) Verdict { return s.withdrawClaim(writer, body) })
	case KindClose:
		return decodeAndApply(s, r, s.close)
	case KindRaiseLevel:
		return decodeAndApply(s, r, s.raiseLevel)
	case KindCheckpoint:
		return s.verdictFor(Accepted) // a checkpoint repeats the state and changes nothing
	default:
		return s.verdictFor(RefusedInvalid)
	}
}

// decodeAndApply decodes a record's body and applies it. A body that cannot be
// decoded is refused with RefusedInvalid.
func decodeAndApply[T any](s *State, r record.Record, apply func(T) Verdict) Verdict {
	body, err := record.Decode[T](r)
	if err != nil {
		return s.verdictFor(RefusedInvalid)
	}
	return apply(body)
}

// verdictFor returns a verdict without tokens at the current offset.
func (s *State) verdictFor(outcome Outcome) Verdict {
	return Verdict{Outcome: outcome, Offset: s.offset}
}

// acceptedWith returns the verdict of a record that moved the given tokens.
func (s *State) acceptedWith(tokens int64) Verdict {
	return Verdict{Outcome: Accepted, Tokens: tokens, Offset: s.offset}
}

// owns reports whether a team belongs to this shard.
func (s *State) owns(team ident.TeamID) bool {
	return team != "" && ShardOf(team, s.shards) == s.shard
}

// topUp adds tokens to a team's budget unless its ID was applied before. The
// sum of a team's top-ups is bounded by maxTokens.
func (s *State) topUp(r TopUp) Verdict {
	if !s.owns(r.Team) || r.Tokens <= 0 || r.Tokens > maxTokens || r.ID == "" {
		return s.verdictFor(RefusedInvalid)
	}
	b := s.budgets[r.Team]
	if b == nil {
		b = newBudget()
	}
	id := ident.HashKey(r.Team, r.ID)
	if _, known := b.topUpIDs.get(id); known {
		return s.verdictFor(Repeated)
	}
	if b.topUps > maxTokens-r.Tokens {
		return s.verdictFor(RefusedInvalid)
	}
	b.topUpIDs.put(id, struct{}{})
	b.topUps += r.Tokens
	s.budgets[r.Team] = b
	return s.acceptedWith(r.Tokens)
}

// draw moves free tokens into the writer's grant: as many as requested and
// free, but at least Minimum and at least one.
func (s *State) draw(writer ident.Incarnation, r Draw) Verdict {
	if !s.owns(r.Team) || r.Requested <= 0 || r.Minimum < 0 || r.Minimum > r.Requested {
		return s.verdictFor(RefusedInvalid)
	}
	b := s.budgets[r.Team]
	if b == nil {
		return s.verdictFor(Exhausted)
	}
	tokens := min(r.Requested, b.freeTokens())
	if tokens < max(r.Minimum, 1) {
		return s.verdictFor(Exhausted)
	}
	b.draw(writer, tokens)
	return s.acceptedWith(tokens)
}

// returnTokens moves outstanding tokens of the writer's grant back to the free
// ones.
func (s *State) returnTokens(writer ident.Incarnation, r Return) Verdict {
	b := s.budgets[r.Team]
	if b == nil || r.Tokens <= 0 {
		return s.verdictFor(RefusedInvalid)
	}
	grant := b.grant(writer)
	if grant == nil || grant.Outstanding() < r.Tokens {
		return s.verdictFor(RefusedInvalid)
	}
	grant.Returned += r.Tokens
	b.outstanding -= r.Tokens
	return s.acceptedWith(r.Tokens)
}

// settle bills a run. A settlement that exceeds its grant is billed only up to
// the outstanding tokens of the grant and the rest is counted as Overrun, so
// that the budget is never exceeded, even by a faulty process.
func (s *State) settle(writer ident.Incarnation, r Settle) Verdict {
	if !s.owns(r.Team) || r.Run.Gate == 0 || r.Run.Number == 0 || r.Tokens < 0 || r.Tokens > maxTokens {
		return s.verdictFor(RefusedInvalid)
	}
	b := s.budgets[r.Team]
	if b == nil {
		return s.verdictFor(RefusedInvalid)
	}
	gateClosed := s.Closed(r.Run.Gate)
	if !gateClosed && s.Settled(r.Run) {
		return s.verdictFor(Repeated)
	}
	if gateClosed || s.Closed(r.Holder) {
		b.late += r.Tokens
		return s.verdictFor(RefusedClosed)
	}
	s.markSettled(r.Run.Gate, r.Run.Number, r.Run.Number)
	if writer == r.Run.Gate {
		s.lowestUnsettled = max(s.lowestUnsettled, r.LowestUnsettled)
	}
	if _, known := s.billed.get(r.Key); known {
		return s.verdictFor(AlreadyBilled)
	}
	return s.acceptedWith(s.bill(b, r))
}

// markSettled records the runs of a gate from first to last as settled.
func (s *State) markSettled(gate ident.Incarnation, first, last uint64) {
	runs := s.settled[gate]
	if runs == nil {
		runs = &rangeSet{}
		s.settled[gate] = runs
	}
	runs.add(first, last)
}

// applyLowestUnsettled marks all runs below the highest LowestUnsettled of a
// gate's own batch as settled. It runs after the whole batch has been applied,
// so that the settlements of the same batch are still billed.
func (s *State) applyLowestUnsettled(gate ident.Incarnation) {
	if s.lowestUnsettled > 1 && !s.Closed(gate) {
		s.markSettled(gate, 1, s.lowestUnsettled-1)
	}
	s.lowestUnsettled = 0
}

// bill charges a run to its grant and returns how many tokens were billed. A
// key counts as billed only if tokens were billed: after a run that failed
// without using any, the next run of the key is billed.
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
		s.recordBill(r.Key, KeyBill{Run: r.Run, Holder: r.Holder, Tokens: tokens, Offset: s.offset})
	}
	return tokens
}

// recordBill stores the bill of a key. If that evicts an older bill, the horizon
// advances to the offset of the evicted one.
func (s *State) recordBill(key ident.Key, bill KeyBill) {
	if evicted, wasFull := s.billed.put(key, bill); wasFull {
		s.horizon = evicted.Offset
	}
}

// claim records the gate of a key unless the key is already claimed or the gate
// is closed.
func (s *State) claim(r Claim) Verdict {
	if !s.owns(r.Team) || r.Gate == 0 || r.Key == (ident.Key{}) {
		return s.verdictFor(RefusedInvalid)
	}
	if holder, known := s.claims.get(r.Key); known {
		return Verdict{Outcome: AlreadyClaimed, Gate: holder.Gate, Offset: holder.Offset}
	}
	if s.closed.contains(uint64(r.Gate)) {
		return s.verdictFor(RefusedClosed)
	}
	s.claims.put(r.Key, ClaimHolder{Gate: r.Gate, Offset: s.offset})
	return Verdict{Outcome: Accepted, Gate: r.Gate, Offset: s.offset}
}

// withdrawClaim deletes a claim. Only the gate that holds the claim may do so.
func (s *State) withdrawClaim(writer ident.Incarnation, r WithdrawClaim) Verdict {
	holder, known := s.claims.get(r.Key)
	if !known || holder.Gate != writer {
		return s.verdictFor(RefusedInvalid)
	}
	s.claims.remove(r.Key)
	return Verdict{Outcome: Accepted, Gate: writer, Offset: s.offset}
}

// close frees the grants of the incarnations from Holder to Through and deletes
// what the state holds about them.
func (s *State) close(r Close) Verdict {
	last := max(r.Holder, r.Through)
	if r.Holder == 0 || (r.Through != 0 && r.Through < r.Holder) {
		return s.verdictFor(RefusedInvalid)
	}
	if r.Through == 0 && s.closed.contains(uint64(r.Holder)) {
		return s.verdictFor(Repeated)
	}
	s.closed.add(uint64(r.Holder), uint64(last))
	for _, b := range s.budgets {
		b.closeGrants(r.Holder, last)
	}
	deleteIncarnations(s.lastSequences, r.Holder, last)
	deleteIncarnations(s.settled, r.Holder, last)
	return s.verdictFor(Accepted)
}

// deleteIncarnations deletes the entries of the incarnations from first to last.
func deleteIncarnations[V any](m map[ident.Incarnation]V, first, last ident.Incarnation) {
	for incarnation := range m {
		if first <= incarnation && incarnation <= last {
			delete(m, incarnation)
		}
	}
}

// raiseLevel raises the format level; it never lowers it.
func (s *State) raiseLevel(r RaiseLevel) Verdict {
	if r.Level <= s.level {
		return s.verdictFor(Repeated)
	}
	s.level = r.Level
	return s.verdictFor(Accepted)
}
