package settings

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// AllPaths in Operator.Subtrees means every path.
const AllPaths Path = "*"

// AllTeams in Operator.TopUpTeams means every team.
const AllTeams ident.TeamID = "*"

// Bootstrap is the operator whose key is in the routers' settings files. It has
// all rights as long as the settings contain no operator, and none afterwards.
const Bootstrap ident.OperatorID = "bootstrap"

// PathFleet is the path of the fleet-wide settings.
const PathFleet Path = "fleet"

// Collections of subtrees: the first element of a path.
const (
	collectionTeams     = "teams"
	collectionModels    = "models"
	collectionServices  = "services"
	collectionServers   = "servers"
	collectionOperators = "operators"
)

// maxNameBytes is the maximum length of a name in a path, in bytes.
const maxNameBytes = 128

// Split returns the collection and the name of a path, which are separated by the
// first slash. The name of PathFleet is empty.
func (p Path) Split() (collection, name string) {
	collection, name, _ = strings.Cut(string(p), "/")
	return collection, name
}

// Valid reports whether the path is well-formed: a known collection with a valid
// name, or PathFleet.
func (p Path) Valid() bool {
	if p == PathFleet {
		return true
	}
	collection, name := p.Split()
	switch collection {
	case collectionTeams, collectionModels, collectionServices, collectionServers, collectionOperators:
		return validName(name, collection == collectionModels)
	default:
		return false
	}
}

// validName reports whether a name consists of ASCII letters, digits and "-_.:@".
// If slashes is set, as for model names, it may contain slashes too.
func validName(name string, slashes bool) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for _, r := range name {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !letter && !strings.ContainsRune("-_.:@", r) && (!slashes || r != '/') {
			return false
		}
	}
	return true
}

// MayChange reports whether an operator may change a subtree.
func MayChange(operators map[ident.OperatorID]Operator, author ident.OperatorID, path Path) bool {
	if len(operators) == 0 {
		return author == Bootstrap
	}
	subtrees := operators[author].Subtrees
	return slices.Contains(subtrees, AllPaths) || slices.Contains(subtrees, path)
}

// MayTopUp reports whether an operator may top up a team's budget.
func MayTopUp(operators map[ident.OperatorID]Operator, author ident.OperatorID, team ident.TeamID) bool {
	if len(operators) == 0 {
		return author == Bootstrap
	}
	teams := operators[author].TopUpTeams
	return slices.Contains(teams, AllTeams) || slices.Contains(teams, team)
}

// anyAdministrator reports whether at least one operator that has a key may change
// every subtree.
func anyAdministrator(operators map[ident.OperatorID]Operator) bool {
	for _, o := range operators {
		if len(o.KeyHashes) > 0 && slices.Contains(o.Subtrees, AllPaths) {
			return true
		}
	}
	return false
}

// decodeOperator decodes an operator's subtree. An operator whose value cannot be
// decoded has no rights.
func decodeOperator(value []byte) Operator {
	var o Operator
	if err := json.Unmarshal(value, &o); err != nil {
		return Operator{}
	}
	return o
}
