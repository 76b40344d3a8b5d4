package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/stretchr/testify/require"

	fleetlog "github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/ledger"
	"github.com/camphorlever/camphorlever/internal/logservice"
	"github.com/camphorlever/camphorlever/internal/record"
	"github.com/camphorlever/camphorlever/internal/settings"
)

// seed writes the settings and the top-up into the log.
func (f *fleet) seed(models int) {
	account := settings.Account{KeyHashes: []settings.KeyHash{settings.HashSecret(secret)}}
	f.change("teams/"+settings.Path(team), settings.Team{
		Accounts:        map[ident.AccountID]settings.Account{"bell": account},
		Models:          []ident.ModelID{model},
		Services:        []ident.ServiceID{desk},
		Priority:        5,
		Weight:          1,
		MaxOutputTokens: 4096,
	})
	f.change("models/"+settings.Path(model), settings.Model{Version: "v1", ContextTokens: 16384, TemplateTokens: 4})
	f.change("services/"+settings.Path(desk), settings.Service{NonIdempotent: []string{http.MethodPost}, CostTokens: 10})
	for i := range models {
		id := fmt.Sprintf("model-%d", i)
		f.change("servers/"+settings.Path(id), settings.Server{VM: vmOf(id), DataCentre: "waco", Models: []ident.ModelID{model}, Slots: 16})
	}
	f.change("servers/desk-0", settings.Server{VM: vmOf("desk-0"), DataCentre: "waco", Services: []ident.ServiceID{desk}, Slots: 16})
}

// topUp adds tokens to the budget.
func (f *fleet) topUp(tokens int64) {
	f.topUps++
	top := ledger.TopUp{Team: team, ID: fmt.Sprint(f.topUps), Tokens: tokens, Author: settings.Bootstrap}
	rec, err := record.New(ledger.KindTopUp, top)
	require.NoError(f.t, err)
	f.append(ledger.StreamOf(ledger.ShardOf(team, shards)), rec, f.topUps)
}

func (f *fleet) change(path settings.Path, value any) {
	raw, err := json.Marshal(value)
	require.NoError(f.t, err)
	rec, err := record.New(settings.KindChange, settings.Change{ID: string(path), Path: path, Base: ident.NoOffset, Author: settings.Bootstrap, Value: raw})
	require.NoError(f.t, err)
	f.changes++
	f.append(settings.Stream, rec, f.changes)
}

func (f *fleet) append(stream logservice.Stream, rec record.Record, sequence uint64) {
	batch := record.Batch{Identity: record.Identity{Writer: operator, Sequence: sequence}, Records: []record.Record{rec}}
	raw, err := record.Marshal(batch)
	require.NoError(f.t, err)
	_, err = f.log.Append(f.ctx, stream, raw)
	require.NoError(f.t, err)
}

// members folds the fleet stream.
func (f *fleet) members() *fleetlog.View {
	page, err := f.log.Read(f.ctx, readAll("fleet"))
	require.NoError(f.t, err)
	state := fleetlog.New()
	for _, entry := range page.Entries {
		state.Apply(entry.Offset, entry.Data)
	}
	return state.View()
}

// incarnation returns the live router of a VM.
func (f *fleet) incarnation(vm ident.VMID) ident.Incarnation {
	for _, member := range f.members().Routers {
		if member.Registration.VM == vm {
			return member.Incarnation
		}
	}
	f.t.Fatalf("no router on %s", vm)
	return 0
}
