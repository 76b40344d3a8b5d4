package configcheck

import (
	"fmt"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/settings"
)

// treeCheck is what the findings about the project's own settings work on.
type treeCheck struct {
	tree  *settings.Tree // as it would be after the file was applied
	named map[settings.Path]bool
}

// treeFinding is a kind of finding.
type treeFinding struct {
	id       string
	severity Severity
	find     func(c *treeCheck, report reporter)
}

// treeFindings report only paths below the subtrees that the file names.
var treeFindings = []treeFinding{
	{"account-without-key", Warning, findTeamAccountsWithoutKey},
	{"duplicate-key", Error, findTeamDuplicateKeys},
	{"service-without-team", Warning, findServicesWithoutTeam},
	{"service-without-server", Warning, findServicesWithoutServer},
	{"model-without-team", Warning, findModelsWithoutTeam},
	{"model-without-server", Warning, findModelsWithoutServer},
	{"output-limit-without-effect", Warning, findOutputLimits},
}

// checkOwn adds the findings about a document of the project's own format, a map of
// subtrees, and the losses of service. Active may be nil.
func checkOwn(r *Report, doc, active *document) {
	before := settings.EmptyTree()
	if active != nil {
		before, _ = before.CheckAll(replacements(active)) // it is in force, whatever the checks say
	}
	changes := replacements(doc)
	after, rejections := before.CheckAll(changes)
	for _, rejection := range rejections {
		path := changes[rejection.Index].Path
		if !path.Valid() { // the error is about the path itself, not about a field below it
			rejection.Err = errors.New(rejection.Err.Error())
		}
		r.refuse(doc, string(path), rejection.Err)
	}
	c := &treeCheck{tree: after, named: map[settings.Path]bool{}}
	for _, change := range changes {
		c.named[change.Path] = true
	}
	for _, kind := range treeFindings {
		kind.find(c, func(path, format string, args ...any) {
			r.Findings = append(r.Findings, Finding{
				Severity: kind.severity, ID: kind.id, Path: path, Line: doc.lineOf(path), Message: fmt.Sprintf(format, args...),
			})
		})
	}
	if active == nil {
		return
	}
	if n := countUnnamed(active, c.named); n > 0 {
		r.AddFinding(Note, "subtrees-not-named", fmt.Sprintf("%d subtrees in force are not in the file and stay as they are", n))
	}
	r.Losses = append(r.Losses, treeLosses(before, after)...)
}

// replacements returns the changes that applying a document makes. A null removes.
func replacements(doc *document) []settings.Replacement {
	changes := make([]settings.Replacement, 0, len(doc.members))
	for _, m := range doc.members {
		change := settings.Replacement{Path: settings.Path(m.name), Value: m.value}
		if string(m.value) == "null" {
			change.Value = nil
		}
		changes = append(changes, change)
	}
	return changes
}

func countUnnamed(active *document, named map[settings.Path]bool) int {
	n := 0
	for _, m := range active.members {
		if !named[settings.Path(m.name)] {
			n++
		}
	}
	return n
}

// Paths of subtrees.

func teamPath(id ident.TeamID) settings.Path { return settings.Path("teams/" + string(id)) }

func modelPath(id ident.ModelID) settings.Path { return settings.Path("models/" + string(id)) }

func servicePath(id ident.ServiceID) settings.Path { return settings.Path("services/" + string(id)) }

func accountPath(c settings.Caller) string {
	return fmt.Sprintf("%s.accounts.%s", teamPath(c.Team), c.Account)
}

// forEachAccount calls visit for the enabled accounts of the teams in the file.
func (c *treeCheck) forEachAccount(visit func(settings.Caller, settings.Account)) {
	for _, id := range slices.Sorted(maps.Keys(c.tree.Teams)) {
		if !c.named[teamPath(id)] {
			continue
		}
		accounts := c.tree.Teams[id].Accounts
		for _, name := range slices.Sorted(maps.Keys(accounts)) {
			if !accounts[name].Disabled {
				visit(settings.Caller{Team: id, Account: name}, accounts[name])
			}
		}
	}
}

func findTeamAccountsWithoutKey(c *treeCheck, report reporter) {
	c.forEachAccount(func(caller settings.Caller, a settings.Account) {
		if len(a.KeyHashes) == 0 {
			report(accountPath(caller), "the account has no key")
		}
	})
}

// findTeamDuplicateKeys finds keys that two accounts of one file have. Routers refuse a
// key that an account of another team has; within one change of a team they do not.
func findTeamDuplicateKeys(c *treeCheck, report reporter) {
	first := map[settings.KeyHash]settings.Caller{}
	c.forEachAccount(func(caller settings.Caller, a settings.Account) {
		for i, hash := range a.KeyHashes {
			owner, ok := first[hash]
			if !ok {
				first[hash] = caller
				continue
			}
			if owner.Team == caller.Team && owner != caller {
				report(fmt.Sprintf("%s.key_hashes[%d]", accountPath(caller), i), "account %s has the same key", owner.Account)
			}
		}
	})
}

func findServicesWithoutTeam(c *treeCheck, report reporter) {
	used := map[ident.ServiceID]bool{}
	for _, team := range c.tree.Teams {
		for _, id := range team.Services {
			used[id] = true
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.tree.Services)) {
		if !used[id] && c.named[servicePath(id)] {
			report(string(servicePath(id)), "no team may call the service")
		}
	}
}

func findServicesWithoutServer(c *treeCheck, report reporter) {
	for _, id := range slices.Sorted(maps.Keys(c.tree.Services)) {
		if len(c.tree.ServersByService[id]) == 0 && c.named[servicePath(id)] {
			report(string(servicePath(id)), "no server has the service")
		}
	}
}

func findModelsWithoutTeam(c *treeCheck, report reporter) {
	used := map[ident.ModelID]bool{}
	for _, team := range c.tree.Teams {
		for _, id := range team.Models {
			used[id] = true
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.tree.Models)) {
		if !used[id] && c.named[modelPath(id)] {
			report(string(modelPath(id)), "no team may use the model")
		}
	}
}

func findModelsWithoutServer(c *treeCheck, report reporter) {
	for _, id := range slices.Sorted(maps.Keys(c.tree.Models)) {
		if len(c.tree.ServersByModel[id]) == 0 && c.named[modelPath(id)] {
			report(string(modelPath(id)), "no server has the model")
		}
	}
}

// findOutputLimits finds limits of teams that the fleet's limit makes ineffective.
func findOutputLimits(c *treeCheck, report reporter) {
	for _, id := range slices.Sorted(maps.Keys(c.tree.Teams)) {
		limit, fleet := c.tree.Teams[id].MaxOutputTokens, c.tree.Fleet.MaxOutputTokens
		if limit > fleet && c.named[teamPath(id)] {
			report(string(teamPath(id))+".max_output_tokens", "%d has no effect: the fleet's limit is %d", limit, fleet)
		}
	}
}

// treeLosses returns what has service in the first tree and not in the second.
func treeLosses(before, after *settings.Tree) []Loss {
	var losses []Loss
	add := func(path, format string, args ...any) {
		losses = append(losses, Loss{Path: path, Reason: fmt.Sprintf(format, args...)})
	}
	for _, id := range slices.Sorted(maps.Keys(before.Teams)) {
		teamLosses(id, before, after, add)
	}
	for _, id := range slices.Sorted(maps.Keys(before.Models)) {
		if len(before.ServersByModel[id]) > 0 && len(after.ServersByModel[id]) == 0 {
			add(string(modelPath(id)), "no server has the model any more")
		}
	}
	for _, id := range slices.Sorted(maps.Keys(before.Services)) {
		if len(before.ServersByService[id]) > 0 && len(after.ServersByService[id]) == 0 {
			add(string(servicePath(id)), "no server has the service any more")
		}
	}
	return losses
}

func teamLosses(id ident.TeamID, before, after *settings.Tree, add reporter) {
	old, next := before.Teams[id], after.Teams[id]
	if _, ok := after.Teams[id]; !ok {
		add(string(teamPath(id)), "the team is removed")
		return
	}
	for _, name := range slices.Sorted(maps.Keys(old.Accounts)) {
		caller := settings.Caller{Team: id, Account: name}
		valid, lost := 0, 0
		for _, hash := range old.Accounts[name].KeyHashes {
			if before.CallersByKey[hash] != caller {
				continue
			}
			valid++
			if after.CallersByKey[hash] != caller {
				lost++
			}
		}
		account, exists := next.Accounts[name]
		switch {
		case lost == 0:
		case !exists:
			add(accountPath(caller), "the account is removed")
		case account.Disabled:
			add(accountPath(caller), "the account is disabled")
		default:
			add(accountPath(caller), "%d of its %d keys are removed", lost, valid)
		}
	}
	for _, model := range old.Models {
		if !slices.Contains(next.Models, model) {
			add(string(teamPath(id))+".models", "the team may not use model %s any more", model)
		}
	}
	for _, service := range old.Services {
		if !slices.Contains(next.Services, service) {
			add(string(teamPath(id))+".services", "the team may not call service %s any more", service)
		}
	}
}
