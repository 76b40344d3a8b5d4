package options

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

type peer struct {
	Address string `json:"address"`
	Weight  int8   `json:"weight"`
}

type process struct {
	VM      string          `json:"vm"`
	Shards  int             `json:"shards"`
	Ratio   float64         `json:"ratio"`
	Service bool            `json:"service"`
	Peers   []peer          `json:"peers"`
	Named   map[string]peer `json:"named"`
	Hidden  string          `json:"-"`
}

func (p *process) Validate() error {
	return Required("vm", p.VM)
}

func TestDecodeReportsPathAndExpectation(t *testing.T) {
	cases := []struct{ name, document, want string }{
		{"unknown", `{"vm":"a","shrds":1}`, "shrds: want one of the fields named, peers, ratio, service, shards, vm, got an unknown field"},
		{"unknown below a list", `{"vm":"a","peers":[{},{"port":1}]}`, "peers[1].port: want one of the fields address, weight, got an unknown field"},
		{"unknown below a map", `{"vm":"a","named":{"x":{"port":1}}}`, "named.x.port: want one of the fields address, weight, got an unknown field"},
		{"other case", `{"VM":"a"}`, "VM: want one of the fields named, peers, ratio, service, shards, vm, got an unknown field"},
		{"hidden", `{"vm":"a","Hidden":"x"}`, "Hidden: want one of the fields named, peers, ratio, service, shards, vm, got an unknown field"},
		{"string for a number", `{"vm":"a","shards":"4"}`, "shards: want a whole number, got a string"},
		{"fraction", `{"vm":"a","shards":4.5}`, "shards: want a whole number, got 4.5"},
		{"number for a string", `{"vm":7}`, "vm: want a string, got 7"},
		{"null", `{"vm":null}`, "vm: want a string, got null"},
		{"number for a bool", `{"vm":"a","service":1}`, "service: want true or false, got 1"},
		{"bool for a number", `{"vm":"a","ratio":true}`, "ratio: want a number, got true"},
		{"object for a list", `{"vm":"a","peers":{}}`, "peers: want a list, got an object"},
		{"list for an object", `{"vm":"a","named":[]}`, "named: want an object, got a list"},
		{"list for the document", `[]`, "document: want an object, got a list"},
		{"too large", `{"vm":"a","peers":[{"weight":300}]}`, "peers.weight: want a value that fits int8, got number 300"},
		{"repeated", `{"vm":"a","vm":"b"}`, "vm: want one value, got a repeated field"},
		{"trailing data", `{"vm":"a"} {}`, "document: want nothing after the end of the document"},
		{"cut off", `{"vm":"a"`, "document: want valid JSON, got unexpected EOF"},
		{"empty", ``, "document: want valid JSON, got unexpected EOF"},
		{"rule", `{"vm":" "}`, "vm: want a non-empty string"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.EqualError(t, Decode([]byte(c.document), &process{}), c.want)
		})
	}
}

func TestLoadKeepsValuesOfMissingFields(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(file, []byte(`{"vm":"a","peers":[{"address":"x"}]}`), 0o600))
	got := process{Shards: 8}
	require.NoError(t, Load(file, &got))
	require.Equal(t, process{VM: "a", Shards: 8, Peers: []peer{{Address: "x"}}}, got)
	require.NoError(t, Decode([]byte(`{"vm":"a","peers":null,"named":null}`), &process{}))
	require.ErrorContains(t, Load(file+"x", &got), "read settings")
}
