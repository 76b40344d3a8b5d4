package explain

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const logs = `
12.1 n1 {"node":"n1","time":1000,"message":"settings in force","settings":4}
12.2 n1 {"node":"n1","time":2000,"message":"budget entries cannot be written, requests are served from local balances"}
no line of a router {broken
12.3 n2 {"node":"n2","time":2000,"message":"budget entries cannot be written, requests are served from local balances"}
12.4 n1 {"node":"n1","time":2500,"account":"other","tokens":5,"message":"tokens drawn"}
12.5 n1 {"node":"n1","time":2600,"account":"maps","tokens":50,"message":"tokens drawn"}
12.6 n1 {"node":"n1","time":3010,"request":"r1","at":9.5,"outcome":"budget_unreachable","status":503,"message":"request ended"}
12.6 n1 {"node":"n1","time":3010,"request":"r1","at":0.2,"route":"r","account":"maps","settings":4,"message":"route chosen"}
12.6 n1 {"node":"n1","time":3010,"request":"r1","at":9.1,"account":"maps","bound":900,"hand":12,"log_away":1000.4,"message":"tokens unreachable"}
12.7 n1 {"node":"n1","time":4000,"message":"settings in force","settings":5}
`

func TestReportListsLinesInOrder(t *testing.T) {
	report, err := Read("r1", strings.NewReader(logs))
	require.NoError(t, err)
	var out bytes.Buffer
	require.NoError(t, report.Print(&out))
	require.Equal(t, `request r1 at n1, 1970-01-01T00:00:03Z
what the router had learned before:
      -2000 ms  settings in force  settings=4
      -1000 ms  budget entries cannot be written, requests are served from local balances
       -400 ms  tokens drawn  account=maps  tokens=50
what it decided:
        0.2 ms  route chosen  account=maps  route=r  settings=4
        9.1 ms  tokens unreachable  account=maps  bound=900  hand=12  log_away=1000.4
        9.5 ms  request ended  outcome=budget_unreachable  status=503
cause: The router had too few of the account's tokens and could not draw more: see log_away, and when budget entries could not be written.
`, out.String())
}

func TestReadReturnsErrNotFoundForUnknownRequest(t *testing.T) {
	_, err := Read("r9", strings.NewReader(logs), strings.NewReader(""))
	require.ErrorIs(t, err, ErrNotFound)
}
