package settings

import (
	"fmt"
	"maps"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/ident"
)

// Replacement is a new value for a subtree, before it is published as a Change.
type Replacement struct {
	Path  Path
	Value []byte // JSON; empty removes the subtree
}

// Rejection is a replacement that would be refused.
type Rejection struct {
	Index int // in the list of replacements
	Err   error
}

// CheckAll validates replacements in their order, each against the tree that the ones
// before it leave, and returns the resulting tree and the rejections. A rejected value
// that can be decoded takes effect in the resulting tree, so that references to it are
// not rejected too.
func (t *Tree) CheckAll(replacements []Replacement) (*Tree, []Rejection) {
	next := t.clone()
	var rejections []Rejection
	for i, r := range replacements {
		err := next.checkReplacement(r)
		if err != nil {
			rejections = append(rejections, Rejection{Index: i, Err: err})
		}
		if err == nil || len(r.Value) > 0 {
			next.replace(r)
		}
	}
	clear(next.CallersByKey)
	next.buildIndexes()
	return next, rejections
}

// clone copies the tree without its indexes, except CallersByKey, which Check reads.
func (t *Tree) clone() *Tree {
	next := EmptyTree()
	next.Offset = t.Offset
	next.Fleet = t.Fleet
	maps.Copy(next.Teams, t.Teams)
	maps.Copy(next.Models, t.Models)
	maps.Copy(next.Services, t.Services)
	maps.Copy(next.Servers, t.Servers)
	maps.Copy(next.Operators, t.Operators)
	maps.Copy(next.CallersByKey, t.CallersByKey)
	return next
}

// checkReplacement applies the conditions of the administration interface and of the
// fold, except for versions and rights.
func (t *Tree) checkReplacement(r Replacement) error {
	if err := t.Check(r.Path, r.Value); err != nil {
		return err
	}
	if len(r.Value) > MaxValueBytes {
		return fieldError("", fmt.Sprintf("at most %d bytes", MaxValueBytes), fmt.Sprint(len(r.Value)))
	}
	if _, ok := operatorsAfter(t.Operators, r.Path, r.Value); !ok {
		return errors.New("the change would leave no operator with all rights")
	}
	return nil
}

// replace sets or removes a subtree and updates CallersByKey.
func (t *Tree) replace(r Replacement) {
	if !r.Path.Valid() {
		return
	}
	collection, name := r.Path.Split()
	switch collection {
	case string(PathFleet):
		t.Fleet = DefaultFleet()
	case collectionTeams:
		t.removeCallerKeys(ident.TeamID(name))
		delete(t.Teams, ident.TeamID(name))
	case collectionModels:
		delete(t.Models, ident.ModelID(name))
	case collectionServices:
		delete(t.Services, ident.ServiceID(name))
	case collectionServers:
		delete(t.Servers, ident.ServerID(name))
	case collectionOperators:
		delete(t.Operators, ident.OperatorID(name))
	}
	if len(r.Value) > 0 {
		t.setSubtree(r.Path, r.Value)
	}
	if collection == collectionTeams {
		t.indexCallerKeys(ident.TeamID(name))
	}
}

// removeCallerKeys removes the keys of a team's accounts from CallersByKey.
func (t *Tree) removeCallerKeys(id ident.TeamID) {
	for account, a := range t.Teams[id].Accounts {
		for _, hash := range a.KeyHashes {
			if t.CallersByKey[hash] == (Caller{Team: id, Account: account}) {
				delete(t.CallersByKey, hash)
			}
		}
	}
}
