// Package audit reads the ledger streams from a log service and sums up what was
// billed. It folds the streams itself, independently of the routers: the only code
// that it shares with the fleet is the fold.
package audit

import (
	"context"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/record"
)

// Run is a billed run.
type Run struct {
	Team   ident.TeamID
	Key    ident.Key
	Run    ident.RunID
	Tokens int64
}

// Report is the state of all shards of the ledger.
type Report struct {
	Runs       []Run
	Teams      map[ident.TeamID]ledger.Budget
	OpenGrants map[ident.TeamID][]ledger.Grant // grants with outstanding tokens
}

// Read folds all shards from their beginning to their current end. It fails if the
// log no longer retains the beginning of a shard.
func Read(ctx context.Context, log logservice.Log, shards int) (Report, error) {
	report := Report{Teams: map[ident.TeamID]ledger.Budget{}, OpenGrants: map[ident.TeamID][]ledger.Grant{}}
	for shard := range shards {
		if err := report.foldShard(ctx, log, shard, shards); err != nil {
			return report, errors.WithMessagef(err, "ledger shard %d", shard)
		}
	}
	return report, nil
}

// Overspend returns the number of tokens billed beyond top-ups plus those of
// settlements that exceeded their grant or came too late, summed over all teams.
func (r Report) Overspend() int64 {
	var sum int64
	for _, team := range r.Teams {
		sum += max(0, team.Billed-team.TopUps) + team.Overrun + team.Late
	}
	return sum
}

// OutstandingTokens returns the number of outstanding tokens in grants, summed over
// all teams.
func (r Report) OutstandingTokens() int64 {
	var sum int64
	for _, team := range r.Teams {
		sum += team.Outstanding
	}
	return sum
}

// TimesBilled returns the number of billed runs with the key.
func (r Report) TimesBilled(key ident.Key) int {
	count := 0
	for _, run := range r.Runs {
		if run.Key == key {
			count++
		}
	}
	return count
}

// foldShard folds the stream of one shard into the report.
func (r *Report) foldShard(ctx context.Context, log logservice.Log, shard, shards int) error {
	state := ledger.New(shard, shards)
	for from := ident.Offset(0); ; {
		page, err := log.Read(ctx, logservice.ReadRequest{Stream: ledger.StreamOf(shard), From: from})
		if err != nil {
			return err
		}
		if len(page.Entries) == 0 {
			break
		}
		for _, entry := range page.Entries {
			r.collectRuns(state.Apply(entry.Offset, entry.Data), entry.Data)
			from = entry.Offset + 1
		}
	}
	state.ForEachTeam(func(team ident.TeamID, budget ledger.Budget) {
		r.Teams[team] = budget
		for _, grant := range state.Grants(team) {
			if grant.Outstanding() > 0 {
				r.OpenGrants[team] = append(r.OpenGrants[team], grant)
			}
		}
	})
	return nil
}

// collectRuns adds the billed runs of one batch to the report. A batch that cannot
// be decoded was refused by the fold too.
func (r *Report) collectRuns(verdicts []ledger.Verdict, data []byte) {
	batch, err := record.Unmarshal(data)
	if err != nil {
		return
	}
	for i, rec := range batch.Records {
		billed := i < len(verdicts) && verdicts[i].Outcome == ledger.Accepted && verdicts[i].Tokens > 0
		if rec.Kind != ledger.KindSettle || !billed {
			continue
		}
		if s, err := record.Decode[ledger.Settle](rec); err == nil {
			r.Runs = append(r.Runs, Run{Team: s.Team, Key: s.Key, Run: s.Run, Tokens: verdicts[i].Tokens})
		}
	}
}
