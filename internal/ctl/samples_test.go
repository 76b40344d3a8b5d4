package ctl

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/options"
	"github.com/camphorlever/camphorlever/internal/router"
	"github.com/camphorlever/camphorlever/internal/settings"
	"github.com/camphorlever/camphorlever/internal/side"
)

// TestSamplesAreComplete reads the samples strictly and checks that whatever
// they refer to is there, and that they have the sizes of their deployments.
func TestSamplesAreComplete(t *testing.T) {
	for name, size := range map[string]struct{ models, services, accounts, dataCentres int }{
		"hollister-vance": {12, 3, 10, 3},
		"asociacion":      {18, 3, 10, 3},
	} {
		t.Run(name, func(t *testing.T) {
			dir := "../../samples/" + name + "/"
			raw, err := os.ReadFile(dir + "settings.json")
			require.NoError(t, err)
			members, err := orderedMembers(raw)
			require.NoError(t, err)
			tree := settings.EmptyTree()
			for _, m := range members {
				require.NoError(t, decodeSubtree(tree, m), m.path)
			}
			models, services, accounts, centres := 0, 0, 0, map[ident.DataCentreID]bool{}
			for id, s := range tree.Servers {
				centres[s.DataCentre] = true
				models += min(1, len(s.Models))
				services += min(1, len(s.Services))
				requireKnown(t, tree, string(id), s.Models, s.Services)
			}
			for id, team := range tree.Teams {
				accounts += len(team.Accounts)
				requireKnown(t, tree, string(id), team.Models, team.Services)
			}
			require.Equal(t, size, struct{ models, services, accounts, dataCentres int }{models, services, accounts, len(centres)})
			r, s := router.DefaultOptions(), side.DefaultOptions()
			require.NoError(t, options.Load(dir+"router.json", &r))
			require.NoError(t, options.Load(dir+"side.json", &s))
			require.Contains(t, tree.Servers, s.Server)
			require.Equal(t, tree.Servers[s.Server].VM, s.VM)
			require.Equal(t, tree.Servers[s.Server].ChecksFences, s.ChecksFences)
			prompts, err := os.ReadFile(dir + "prompts.json")
			require.NoError(t, err)
			require.NoError(t, json.Unmarshal(prompts, &[]string{}))
		})
	}
}

func requireKnown(t *testing.T, tree *settings.Tree, who string, models []ident.ModelID, services []ident.ServiceID) {
	for _, m := range models {
		require.Contains(t, tree.Models, m, who)
	}
	for _, s := range services {
		require.Contains(t, tree.Services, s, who)
	}
}

// decodeSubtree adds one subtree to a tree.
func decodeSubtree(tree *settings.Tree, m member) error {
	collection, id, _ := strings.Cut(m.path, "/")
	switch collection {
	case "fleet":
		return options.Decode(m.value, &tree.Fleet)
	case "teams":
		return into(tree.Teams, ident.TeamID(id), m.value)
	case "models":
		return into(tree.Models, ident.ModelID(id), m.value)
	case "services":
		return into(tree.Services, ident.ServiceID(id), m.value)
	case "servers":
		return into(tree.Servers, ident.ServerID(id), m.value)
	}
	return &options.FieldError{Path: m.path, Want: "a path of the settings"}
}

func into[K comparable, V any](subtrees map[K]V, id K, raw []byte) error {
	var value V
	err := options.Decode(raw, &value)
	subtrees[id] = value
	return err
}
