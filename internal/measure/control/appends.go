package control

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/camphorlever/camphorlever/internal/budget"
	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/measure"
	"github.com/camphorlever/camphorlever/internal/memlog"
	"github.com/camphorlever/camphorlever/internal/record"
	"github.com/camphorlever/camphorlever/internal/settings"
)

// Times of the load.
const (
	warmUp   = 4 * time.Second
	loadSpan = 12 * time.Second
	seed     = 11
)

// measureAppends runs a deployment's load and counts what it appends.
func measureAppends(ctx context.Context, emit measure.Emit, d deployment) error {
	c, err := startCluster(ctx, d)
	if err != nil {
		return err
	}
	defer c.stop()
	for team := range d.teams {
		if err := c.topUp(ctx, teamID(team)); err != nil {
			return err
		}
	}
	refused := c.load(ctx, d, warmUp, seed)
	before := countEntries(ctx, c.log)
	began, used := time.Now(), processorTime()
	refused += c.load(ctx, d, loadSpan, seed+1)
	seconds := time.Since(began).Seconds()
	used = processorTime() - used
	after := countEntries(ctx, c.log)
	name := "ledger.appends_per_s." + d.name
	emit(name, (after.ledgerAppends-before.ledgerAppends)/seconds, "appends_per_s")
	emit("log.appends_per_s."+d.name, (after.appends-before.appends)/seconds, "appends_per_s")
	emit("log.bytes_per_s."+d.name, (after.bytes-before.bytes)/seconds, "bytes_per_s")
	emit("log.requests_per_s."+d.name, float64(d.workers)*d.requests, "requests_per_s")
	// The load and the log in memory are part of it, so it is an upper bound.
	emit("control.cpu_per_process."+d.name, used.Seconds()/seconds/float64(len(c.nodes))*100, "percent_of_core")
	emit("log.refused."+d.name, float64(refused), "requests")
	for _, reason := range slices.Sorted(maps.Keys(after.records)) {
		emit("log.records_per_s."+d.name+"."+reason, (after.records[reason]-before.records[reason])/seconds, "records_per_s")
		emit("log.record_bytes_per_s."+d.name+"."+reason, (after.recordBytes[reason]-before.recordBytes[reason])/seconds, "bytes_per_s")
	}
	return ctx.Err()
}

func teamID(i int) ident.TeamID {
	return ident.TeamID(fmt.Sprintf("team-%d", i))
}

// load sends requests at random times with the deployment's rate. A request
// takes a reservation at a random router and is settled at a random side
// process a moment later.
func (c *cluster) load(ctx context.Context, d deployment, span time.Duration, seed uint64) (refused int) {
	random := rand.New(rand.NewPCG(seed, 0))
	rate := float64(d.workers) * d.requests
	for end := time.Now().Add(span); time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		team := teamID(random.IntN(d.teams))
		r := c.routers[random.IntN(len(c.routers))]
		reservation, refusal := r.grants.Acquire(ctx, team, d.bound)
		if refusal != nil {
			refused++
			continue
		}
		c.settle(c.sides[random.IntN(len(c.sides))], r, reservation, team, d.tokens)
	}
	return refused
}

func (c *cluster) settle(w *worker, r *router, reservation budget.Reservation, team ident.TeamID, tokens int64) {
	w.runs++
	gate := w.node.Incarnation()
	w.settler.Settle(ledger.Settle{
		Team:            team,
		Account:         "account",
		Holder:          reservation.Holder(),
		Run:             ident.RunID{Gate: gate, Number: w.runs},
		Key:             ident.HashKey(team, fmt.Sprintf("%d/%d", gate, w.runs)),
		Tokens:          tokens,
		LowestUnsettled: w.runs,
		Router:          r.node.Incarnation(),
	}, func() {})
	r.grants.Settle(reservation, tokens)
}

// entryCounts is what stands in the log, by stream and reason.
type entryCounts struct {
	appends       float64
	ledgerAppends float64
	bytes         float64
	records       map[string]float64
	recordBytes   map[string]float64
}

// countEntries reads the whole log, so that what every process wrote counts.
func countEntries(ctx context.Context, log *memlog.Log) entryCounts {
	counts := entryCounts{records: map[string]float64{}, recordBytes: map[string]float64{}}
	for stream := range log.Stats() {
		isLedger := strings.HasPrefix(string(stream), "ledger/")
		for from := ident.Offset(0); ; {
			page, err := log.Read(ctx, logservice.ReadRequest{Stream: stream, From: from})
			if err != nil || len(page.Entries) == 0 {
				break
			}
			for _, entry := range page.Entries {
				counts.entry(stream, entry, isLedger)
			}
			from += ident.Offset(len(page.Entries))
		}
	}
	return counts
}

func (c *entryCounts) entry(stream logservice.Stream, entry logservice.Entry, isLedger bool) {
	c.appends++
	c.bytes += float64(len(entry.Data))
	if isLedger {
		c.ledgerAppends++
	}
	batch, err := record.Unmarshal(entry.Data)
	if err != nil {
		return
	}
	for _, r := range batch.Records {
		reason := reasonOf(stream, r.Kind)
		c.records[reason]++
		c.recordBytes[reason] += float64(len(r.Body))
	}
}

var ledgerReasons = map[record.Kind]string{
	ledger.KindTopUp:      "top_up",
	ledger.KindDraw:       "draw",
	ledger.KindReturn:     "return",
	ledger.KindSettle:     "settle",
	ledger.KindClaim:      "claim",
	ledger.KindClose:      "close",
	ledger.KindCheckpoint: "checkpoint",
}

var fleetReasons = map[record.Kind]string{
	fleet.KindRegister:    "register",
	fleet.KindDeregister:  "deregister",
	fleet.KindSeal:        "seal",
	fleet.KindAcknowledge: "acknowledge",
	fleet.KindCheckpoint:  "checkpoint",
}

// reasonOf names what a record was written for.
func reasonOf(stream logservice.Stream, kind record.Kind) string {
	reasons := ledgerReasons
	name := "ledger"
	switch stream {
	case fleet.Stream:
		reasons, name = fleetReasons, "fleet"
	case settings.Stream:
		return "settings.kind_" + fmt.Sprint(kind)
	}
	if reason, ok := reasons[kind]; ok {
		return name + "." + reason
	}
	return name + ".kind_" + fmt.Sprint(kind)
}
