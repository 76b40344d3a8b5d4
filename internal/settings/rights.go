package settings

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// AllPaths in an operator's subtrees means every path.
const AllPaths Path = "*"

// AllTeams in an operator's top-ups means every team.
const AllTeams ident.TeamID = "*"

// Bootstrap is the operator whose key stands in the routers' settings files.
// It has all rights while the settings name no operator.
const Bootstrap ident.OperatorID = "bootstrap"

// PathFleet is the path of the settings that concern no single team.
const PathFleet Path = "fleet"

// Collections of subtrees.
const (
	collectionTeams     = "teams"
	collectionModels    = "models"
	collectionServices  = "services"
	collectionServers   = "servers"
	collectionOperators = "operators"
)

// maxNameBytes bounds the last element of a path.
const maxNameBytes = 128

// Split returns the collection and the name of a path. The name of PathFleet
// is empty.
func (p Path) Split() (collection, name string) {
	collection, name, _ = strings.Cut(string(p), "/")
	return collection, name
}

// Valid reports whether the path names a subtree.
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

// validName allows letters, digits and "-_.:@"; model names may have slashes.
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
	teams := operators[author].TopUps
	return slices.Contains(teams, AllTeams) || slices.Contains(teams, team)
}

// anyAdministrator reports whether an operator with a key has all rights.
func anyAdministrator(operators map[ident.OperatorID]Operator) bool {
	for _, o := range operators {
		if len(o.KeyHashes) > 0 && slices.Contains(o.Subtrees, AllPaths) {
			return true
		}
	}
	return false
}

// decodeOperator decodes an operator's subtree; one that cannot be decoded has
// no rights.
func decodeOperator(value []byte) Operator {
	var o Operator
	if err := json.Unmarshal(value, &o); err != nil {
		return Operator{}
	}
	return o
}
