package settings

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"

	"github.com/pkg/errors"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/options"
)

// MaxPriority is the least urgent priority; 0 is the most urgent.
const MaxPriority = 9

// Upper limits of the settings. The suffix S means seconds.
const (
	maxWeight         = 1000
	maxSlots          = 4096
	maxHorizonS       = 24 * 3600
	maxTimeoutS       = 24 * 3600
	maxRetentionS     = 24 * 3600
	maxBodyBytes      = 64 << 20
	maxBufferBytes    = 16 << 30
	maxOutputTokens   = 1 << 20
	maxContextTokens  = 1 << 24
	maxTemplateTokens = 1 << 12
	maxCostTokens     = 1 << 30
	maxLoadsPerMin    = 1000
)

// Roles of a backend server.
const (
	RoleMixed   = "mixed"
	RolePrefill = "prefill"
	RoleDecode  = "decode"
)

// Check validates a new value for a path against the other subtrees of the tree.
// An empty value stands for the removal of the subtree. An invalid value gives an
// *options.FieldError, the removal of a subtree that is in use a plain error.
func (t *Tree) Check(path Path, value []byte) error {
	if !path.Valid() {
		return fieldError("path", `"fleet", or teams/, models/, services/, servers/ or operators/ with a name`, string(path))
	}
	collection, name := path.Split()
	if len(value) == 0 {
		return t.checkRemoval(collection, name)
	}
	switch collection {
	case collectionTeams:
		return decodeAndCheck(value, DefaultTeam(), func(v Team) error {
			return t.checkTeam(ident.TeamID(name), v)
		})
	case collectionModels:
		return decodeAndCheck(value, Model{ContextTokens: defaultContextTokens}, checkModel)
	case collectionServices:
		return decodeAndCheck(value, Service{}, checkService)
	case collectionServers:
		return decodeAndCheck(value, Server{Slots: defaultSlots}, t.checkServer)
	case collectionOperators:
		return decodeAndCheck(value, Operator{}, checkOperator)
	default:
		return decodeAndCheck(value, DefaultFleet(), checkFleet)
	}
}

// decodeAndCheck decodes a value over the defaults, refusing unknown fields, and
// checks the result.
func decodeAndCheck[T any](value []byte, defaults T, check func(T) error) error {
	if err := options.Decode(value, &defaults); err != nil {
		return err
	}
	return check(defaults)
}

// fieldError returns the error of a field: the wanted and the actual value.
func fieldError(path, want, got string) error {
	return &options.FieldError{Path: path, Want: want, Got: got}
}

// checkRange requires a number from low to high.
func checkRange(path string, value, low, high int64) error {
	if value >= low && value <= high {
		return nil
	}
	return fieldError(path, fmt.Sprintf("a number from %d to %d", low, high), fmt.Sprint(value))
}

// firstError returns the first error that is not nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// checkNames requires that every name of a list is a key of a map. Kind names
// what is referred to, for the error message.
func checkNames[K ~string, V any](path string, names []K, existing map[K]V, kind string) error {
	for i, name := range names {
		if _, ok := existing[name]; !ok {
			return fieldError(fmt.Sprintf("%s[%d]", path, i), "the name of a "+kind+" in the settings", string(name))
		}
	}
	return nil
}

func (t *Tree) checkTeam(id ident.TeamID, v Team) error {
	err := firstError(
		checkRange("priority", int64(v.Priority), 0, MaxPriority),
		checkRange("weight", int64(v.Weight), 1, maxWeight),
		checkRange("max_output_tokens", int64(v.MaxOutputTokens), 0, maxOutputTokens),
		checkNames("models", v.Models, t.Models, "model"),
		checkNames("services", v.Services, t.Services, "service"),
	)
	if err != nil {
		return err
	}
	if v.Caution < 0 || v.Caution > 1 {
		return fieldError("caution", "a number from 0 to 1", fmt.Sprint(v.Caution))
	}
	for account, a := range v.Accounts {
		if err := t.checkAccount(id, account, a); err != nil {
			return err
		}
	}
	return nil
}

// checkAccount checks the name and key hashes of a client account. It refuses a
// key that belongs to another client account.
func (t *Tree) checkAccount(team ident.TeamID, account ident.AccountID, a Account) error {
	path := "accounts." + string(account)
	if !validName(string(account), false) {
		return fieldError(path, "a name of letters, digits and -_.:@", string(account))
	}
	for i, hash := range a.KeyHashes {
		hashPath := fmt.Sprintf("%s.key_hashes[%d]", path, i)
		if err := checkHash(hashPath, hash); err != nil {
			return err
		}
		owner, used := t.CallersByKey[hash]
		if used && owner != (Caller{Team: team, Account: account}) {
			return fieldError(hashPath, "a key that no other client account has", "one in use")
		}
	}
	return nil
}

// checkHash requires a hexadecimal SHA-256. The error does not contain the value, which
// may be a key that was entered instead of its hash.
func checkHash(path string, hash KeyHash) error {
	raw, err := hex.DecodeString(string(hash))
	if err != nil || len(raw) != 32 {
		return fieldError(path, "64 hexadecimal digits, the SHA-256 of a key", fmt.Sprintf("%d other characters", len(hash)))
	}
	return nil
}

func checkModel(v Model) error {
	return firstError(
		checkRange("context_tokens", int64(v.ContextTokens), 1, maxContextTokens),
		checkRange("template_tokens", int64(v.TemplateTokens), 0, maxTemplateTokens),
	)
}

func checkService(v Service) error {
	methods := []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}
	for i, method := range v.NonIdempotent {
		if !slices.Contains(methods, method) {
			return fieldError(fmt.Sprintf("once[%d]", i), "an HTTP method in capitals", method)
		}
	}
	return checkRange("cost_tokens", v.CostTokens, 0, maxCostTokens)
}

func (t *Tree) checkServer(v Server) error {
	switch {
	case v.VM == "":
		return fieldError("vm", "the name of a VM", "nothing")
	case v.DataCentre == "":
		return fieldError("data_centre", "the name of a data centre", "nothing")
	case !slices.Contains([]string{"", RoleMixed, RolePrefill, RoleDecode}, v.Role):
		return fieldError("role", `"mixed", "prefill" or "decode"`, v.Role)
	}
	return firstError(
		checkRange("slots", int64(v.Slots), 1, maxSlots),
		checkNames("models", v.Models, t.Models, "model"),
		checkNames("services", v.Services, t.Services, "service"),
		t.checkAdapters(v),
	)
}

// checkAdapters requires that each adapter belongs to one of the server's models.
func (t *Tree) checkAdapters(v Server) error {
	for i, adapter := range v.Adapters {
		belongs := slices.ContainsFunc(v.Models, func(model ident.ModelID) bool {
			return slices.Contains(t.Models[model].Adapters, adapter)
		})
		if !belongs {
			return fieldError(fmt.Sprintf("adapters[%d]", i), "an adapter of one of the server's models", string(adapter))
		}
	}
	return nil
}

func checkOperator(v Operator) error {
	for i, path := range v.Subtrees {
		if path != AllPaths && !path.Valid() {
			return fieldError(fmt.Sprintf("subtrees[%d]", i), `the path of a subtree or "*"`, string(path))
		}
	}
	for i, hash := range v.KeyHashes {
		if err := checkHash(fmt.Sprintf("key_hashes[%d]", i), hash); err != nil {
			return err
		}
	}
	return nil
}

func checkFleet(v Fleet) error {
	return firstError(
		checkRange("outage_horizon_s", int64(v.OutageHorizonS), 1, maxHorizonS),
		checkRange("max_body_bytes", int64(v.MaxBodyBytes), 1, maxBodyBytes),
		checkRange("max_output_tokens", int64(v.MaxOutputTokens), 1, maxOutputTokens),
		checkRange("request_timeout_s", int64(v.RequestTimeoutS), 1, maxTimeoutS),
		checkRange("weight_loads_per_min", int64(v.WeightLoadsPerMin), 1, maxLoadsPerMin),
		checkRange("answer_buffer_bytes", int64(v.AnswerBufferBytes), 1, maxBufferBytes),
		checkRange("answer_retention_s", int64(v.AnswerRetentionS), 0, maxRetentionS),
	)
}

// checkRemoval refuses to remove a model or service that another subtree refers
// to.
func (t *Tree) checkRemoval(collection, name string) error {
	switch collection {
	case collectionModels:
		return t.checkUnused(name, func(v Team) bool { return slices.Contains(v.Models, ident.ModelID(name)) },
			func(v Server) bool { return slices.Contains(v.Models, ident.ModelID(name)) })
	case collectionServices:
		return t.checkUnused(name, func(v Team) bool { return slices.Contains(v.Services, ident.ServiceID(name)) },
			func(v Server) bool { return slices.Contains(v.Services, ident.ServiceID(name)) })
	default:
		return nil
	}
}

// checkUnused fails if a team or server refers to the name.
func (t *Tree) checkUnused(name string, usedByTeam func(Team) bool, usedByServer func(Server) bool) error {
	for id, v := range t.Teams {
		if usedByTeam(v) {
			return errors.Errorf("%s is still named by teams/%s", name, id)
		}
	}
	for id, v := range t.Servers {
		if usedByServer(v) {
			return errors.Errorf("%s is still named by servers/%s", name, id)
		}
	}
	return nil
}
