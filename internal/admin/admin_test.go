package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/fleet"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/memlog"
	"github.com/camphorlever/camphorlever/internal/node"
	"github.com/camphorlever/camphorlever/internal/rpc"
	"github.com/camphorlever/camphorlever/internal/settings"
	"github.com/camphorlever/camphorlever/internal/vmlist"
)

// unreachablePeer stands for peers that do not reply.
type unreachablePeer struct{}

func (unreachablePeer) Caller(fleet.Member) rpc.Caller { return unreachablePeer{} }
func (unreachablePeer) Call(context.Context, string, any, any) error {
	return rpc.ErrNoReply
}
func (unreachablePeer) Close() error { return nil }

// operatorAna is the settings value of an operator with the rights to one team.
var operatorAna = `{"subtrees":["teams/waco"],"top_ups":["waco"],"key_hashes":["` + string(settings.HashSecret("ana")) + `"]}`

// fixture is the administration interface of one node on a log with fault injection.
type fixture struct {
	t       *testing.T
	log     *memlog.Log
	node    *node.Node
	handler http.Handler
}

func withFixture(t *testing.T, test func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		vms := vmlist.NewMemory(vmlist.VM{ID: "vm-1", DataCentre: "waco", State: vmlist.Live})
		log := memlog.New()
		n := node.New(node.Options{Role: fleet.RoleRouter, VM: "vm-1", DataCentre: "waco", Address: "r1", LedgerShards: 1}, log, vms, zerolog.Nop())
		defer n.Abandon()
		require.NoError(t, n.Start(t.Context()))
		time.Sleep(time.Second) // fake time: lets the node read its streams
		api := New(Config{Fleet: n, Ledger: n.Ledger(), Peers: unreachablePeer{}, BootstrapKey: settings.HashSecret("boot"), Ready: n.Ready, Logger: zerolog.Nop()})
		r := &fixture{t: t, log: log, node: n, handler: api.Handler()}
		r.put("boot", "operators/root", `{"name":"Root","subtrees":["*"],"top_ups":["*"],"key_hashes":["`+string(settings.HashSecret("root"))+`"]}`, -1, 200)
		r.put("root", "models/reader", `{"context_tokens":1000}`, -1, 200)
		r.put("root", "teams/waco", `{"models":["reader"],"accounts":{"web":{}}}`, -1, 200)
		r.put("root", "operators/ana", operatorAna, -1, 200)
		test(r)
	})
}

// call makes one call and returns the status and the decoded response.
func (r *fixture) call(key, method, path, body string) (int, map[string]any) {
	req := httptest.NewRequest(method, PathPrefix+"/"+path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+key)
	recorder := httptest.NewRecorder()
	r.handler.ServeHTTP(recorder, req)
	var document map[string]any
	require.NoError(r.t, json.Unmarshal(recorder.Body.Bytes(), &document), recorder.Body.String())
	return recorder.Code, document
}

// expect makes a call, requires its status and returns the decoded response.
func (r *fixture) expect(status int, key, method, path, body string) map[string]any {
	r.t.Helper()
	got, document := r.call(key, method, path, body)
	require.Equal(r.t, status, got, "%s %s: %v", method, path, document)
	return document
}

func (r *fixture) put(key, path, value string, base ident.Offset, status int) map[string]any {
	r.t.Helper()
	return r.putID(key, path, value, base, status, ident.NewNonce().String())
}

func (r *fixture) putID(key, path, value string, base ident.Offset, status int, id string) map[string]any {
	r.t.Helper()
	body, err := json.Marshal(map[string]any{"id": id, "base": base, "value": json.RawMessage(value)})
	require.NoError(r.t, err)
	return r.expect(status, key, http.MethodPut, "settings/"+path, string(body))
}

func (r *fixture) version(path string) ident.Offset {
	return ident.Offset(r.expect(200, "root", http.MethodGet, "settings/"+path, "")["version"].(float64))
}

func message(document map[string]any) string {
	return document["error"].(map[string]any)["message"].(string)
}

func TestInvalidCallsAreRefusedAndChangeNothing(t *testing.T) {
	withFixture(t, func(r *fixture) {
		before := r.node.Offsets().Settings
		cases := []struct {
			key, method, path, body string
			status                  int
			says                    string
		}{
			{"wrong", "GET", "status", "", 401, "not known"},
			{"boot", "GET", "status", "", 401, "not known"}, // operators exist now
			{"root", "GET", "settings/teams/nobody", "", 404, "nothing at"},
			{"root", "GET", "nowhere", "", 404, "no such path"},
			{"root", "PUT", "settings/teams/waco", `{`, 400, "body"},
			{"root", "PUT", "settings/teams/waco", `{"id":"x","base":1,"value":{},"extra":1}`, 400, "extra"},
			{"root", "PUT", "settings/teams/waco", `{"id":"x","value":{}}`, 400, "base"},
			{"root", "PUT", "settings/teams/waco", `{"base":1,"value":{}}`, 400, "id"},
			{"root", "PUT", "settings/teams/waco", `{"id":"x","base":1,"value":{"caution":2}}`, 400, "caution: want a number from 0 to 1"},
			{"root", "PUT", "settings/teams/waco", `{"id":"x","base":1,"value":{"models":["gone"]}}`, 400, "models[0]"},
			{"root", "PUT", "settings/teams/waco", `{"id":"x","base":1,"value":{"wieght":2}}`, 400, "wieght"},
			{"root", "PUT", "settings/nothing/x", `{"id":"x","base":1,"value":{}}`, 400, "path"},
			{"root", "PUT", "settings/models/reader", `{"id":"x","base":1,"value":null}`, 400, "still named by teams/waco"},
			{"ana", "PUT", "settings/models/reader", `{"id":"x","base":1,"value":{}}`, 403, "no right"},
			{"ana", "PUT", "settings/teams/other", `{"id":"x","base":1,"value":{"models":["gone"]}}`, 403, "no right"},
			{"ana", "POST", "topups", `{"id":"p","team":"elsewhere","tokens":5}`, 404, "no team"},
			{"ana", "POST", "topups", `{"id":"p","team":"waco","tokens":-5}`, 400, "tokens"},
			{"ana", "POST", "topups", `{"team":"waco","tokens":5}`, 400, "id"},
			{"ana", "POST", "destroyed", `{"up_to":1}`, 403, "all rights"},
			{"root", "POST", "destroyed", `{"up_to":1}`, 400, "which runs"},
			{"root", "POST", "servers/gone/drain", "", 404, "registered"},
			{"ana", "POST", "servers/gone/drain", "", 403, "no right"},
			{"root", "POST", "keys", `{"team":"waco","account":"none"}`, 404, "client account"},
		}
		for _, c := range cases {
			document := r.expect(c.status, c.key, c.method, c.path, c.body)
			require.Contains(r.t, message(document), c.says, c.path+" "+c.body)
		}
		require.Equal(r.t, before, r.node.Offsets().Settings)
	})
}

func TestConflictReportsTheAcceptedChange(t *testing.T) {
	withFixture(t, func(r *fixture) {
		base := r.version("teams/waco")
		r.put("ana", "teams/waco", `{"models":["reader"],"priority":3}`, base, 200)
		lost := r.put("root", "teams/waco", `{"models":["reader"],"priority":7}`, base, 409)
		require.Contains(r.t, message(lost), "ana")
		require.Contains(r.t, message(lost), `"priority":3`)
		history := r.expect(200, "root", http.MethodGet, "history/teams/waco", "")["changes"].([]any)
		require.Len(r.t, history, 2, "a refused change is not part of the history")
	})
}

func TestDryRunReturnsDiffAndChangesNothing(t *testing.T) {
	withFixture(t, func(r *fixture) {
		base := r.version("teams/waco")
		body := `{"id":"x","base":` + strconv.Itoa(int(base)) + `,"value":{"models":["reader"],"accounts":{"web":{}},"weight":4}}`
		document := r.expect(200, "ana", http.MethodPut, "settings/teams/waco?dry_run=true", body)
		require.Equal(r.t, "weight", document["diff"].([]any)[0].(map[string]any)["field"])
		require.Equal(r.t, base, r.version("teams/waco"))
	})
}

func TestRetryWithSameIDResolvesUnknownOutcome(t *testing.T) {
	withFixture(t, func(r *fixture) {
		base := r.version("teams/waco")
		r.log.SetDown(true)
		value := `{"models":["reader"],"priority":1}`
		unknown := r.putID("ana", "teams/waco", value, base, 502, "change-1")
		require.Equal(r.t, "unknown", unknown["error"].(map[string]any)["ran"])
		topUp := `{"id":"payment-1","team":"waco","tokens":500}`
		r.expect(502, "ana", http.MethodPost, "topups", topUp)
		r.log.SetDown(false)
		time.Sleep(time.Minute)
		require.Equal(r.t, true, r.putID("ana", "teams/waco", value, base, 200, "change-1")["repeated"])
		r.put("root", "operators/ana", strings.Replace(operatorAna, "teams/waco", "teams/other", 1), r.version("operators/ana"), 200)
		require.Equal(r.t, true, r.putID("ana", "teams/waco", value, base, 200, "change-1")["repeated"], "a repeated change is accepted although the right to it was removed")
		document := r.expect(200, "ana", http.MethodPost, "topups", topUp)
		require.Equal(r.t, true, document["repeated"])
		require.EqualValues(r.t, 500, document["budget"].(map[string]any)["top_ups"], "the top-up applies once")
	})
}

func TestKeysAreStoredHashed(t *testing.T) {
	withFixture(t, func(r *fixture) {
		secret := r.expect(200, "ana", http.MethodPost, "keys", `{"team":"waco","account":"web"}`)["secret"].(string)
		caller := r.node.Settings().CallersByKey[settings.HashSecret(secret)]
		require.Equal(r.t, settings.Caller{Team: "waco", Account: "web"}, caller)
		team := r.node.Settings().Teams["waco"]
		require.Equal(r.t, settings.DefaultTeam().Priority, team.Priority, "a new key changes nothing else")
		require.Equal(r.t, settings.DefaultTeam().Weight, team.Weight)
		raw, err := json.Marshal(r.expect(200, "root", http.MethodGet, "settings/teams/waco", ""))
		require.NoError(r.t, err)
		require.NotContains(r.t, string(raw), secret)
	})
}

func TestOperatorRateLimitDoesNotAffectOthers(t *testing.T) {
	withFixture(t, func(r *fixture) {
		start := time.Now()
		const calls = 100
		for range calls {
			r.expect(200, "ana", http.MethodPost, "topups", `{"id":"`+ident.NewNonce().String()+`","team":"waco","tokens":1}`)
		}
		flood := time.Since(start)
		require.Greater(r.t, flood, time.Second*(calls-operatorBurst-5)/operatorRate)
		start = time.Now()
		r.expect(200, "root", http.MethodPost, "topups", `{"id":"other","team":"waco","tokens":1}`)
		require.Less(r.t, time.Since(start), time.Second)
	})
}
