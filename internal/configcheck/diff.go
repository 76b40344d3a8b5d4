package configcheck

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/wI2L/jsondiff"

	"github.com/camphorlever/camphorlever/internal/catalog"
)

// Kinds of differences.
const (
	kindAdded   = "added"
	kindRemoved = "removed"
	kindChanged = "changed"
)

// shownDigits is the length of the digests that stand for keys of callers in reports,
// which are often pasted into tickets.
const shownDigits = 12

// compare adds the differences from the version in force.
func (r *Report) compare(doc, active *document, names catalog.Names) {
	k := keyer{names: names, own: r.Format == Own}
	before, after := k.document(active), k.document(doc)
	if k.own {
		keepUnnamed(before, after)
	}
	patch, err := jsondiff.CompareWithoutMarshal(before, after)
	if err != nil {
		r.AddFinding(Error, "not-compared", "the comparison with the version in force failed: "+err.Error())
		return
	}
	for _, op := range patch {
		d := Difference{Path: pathOf(op.Path)}
		if !strings.HasSuffix(d.Path, "]") { // the path of an element says it all
			d.Before, d.After = scalar(op.OldValue), scalar(op.Value)
		}
		switch op.Type {
		case jsondiff.OperationAdd:
			d.Kind = kindAdded
		case jsondiff.OperationRemove:
			d.Kind = kindRemoved
		default:
			d.Kind = kindChanged
		}
		r.Differences = append(r.Differences, d)
	}
	slices.SortStableFunc(r.Differences, func(a, b Difference) int { return cmp.Compare(a.Path, b.Path) })
}

// keepUnnamed takes over the subtrees in force that a file does not name: applying the
// file leaves them alone. A null in the file removes a subtree.
func keepUnnamed(before, after map[string]any) {
	for path, value := range before {
		if _, named := after[path]; !named {
			after[path] = value
		}
	}
	for path, value := range after {
		if value == nil {
			delete(after, path)
		}
	}
}

// keyer converts lists to objects whose member names identify the elements, so that the
// comparison does not depend on their order. The member names are in brackets.
type keyer struct {
	names catalog.Names
	own   bool
}

func (k keyer) document(doc *document) map[string]any {
	dec := json.NewDecoder(bytes.NewReader(doc.raw))
	dec.UseNumber() // token counts may not fit a float64
	var value map[string]any
	_ = dec.Decode(&value) // parse has accepted the document
	if k.own {
		for name, v := range value {
			if trimmed := strings.Trim(name, "/"); trimmed != name {
				delete(value, name)
				value[trimmed] = v
			}
		}
	}
	object, _ := k.value("", value).(map[string]any)
	return object
}

// value converts the value of a member with a name.
func (k keyer) value(name string, v any) any {
	switch v := v.(type) {
	case map[string]any:
		object := make(map[string]any, len(v))
		for inner, value := range v {
			object[inner] = k.value(inner, value)
		}
		return object
	case []any:
		return k.list(name, v)
	case string:
		if k.isSecret(name) {
			return digest(v)
		}
		return v
	case json.Number:
		if k.isSecret(name) {
			return digest(v.String())
		}
		return v
	default:
		return v
	}
}

// list converts a list. Elements with the same identity are numbered from the second.
func (k keyer) list(name string, elements []any) map[string]any {
	object := make(map[string]any, len(elements))
	numbers := map[string]int{} // last number by identity, so that many equal ones cost no search
	for i, element := range elements {
		first := k.identity(name, element, i)
		id := first
		for object[id] != nil {
			numbers[first]++
			id = fmt.Sprintf("%s#%d]", strings.TrimSuffix(first, "]"), numbers[first]+1)
		}
		object[id] = true
		if !isScalar(element) {
			object[id] = k.value(name, element)
		}
	}
	return object
}

// isSecret reports whether a member holds keys of callers. It includes other spellings:
// decoders ignore case, and misspelt members are listed as differences too.
func (k keyer) isSecret(name string) bool {
	return strings.EqualFold(name, k.names.AccountKeys) || strings.Contains(strings.ToLower(name), "key")
}

// identity returns the member name of a list's element.
func (k keyer) identity(list string, element any, i int) string {
	switch e := element.(type) {
	case map[string]any:
		for _, field := range k.names.Identity {
			if name, ok := e[field].(string); ok {
				return "[" + name + "]"
			}
		}
		return fmt.Sprintf("[%d]", i)
	case []any:
		return fmt.Sprintf("[%d]", i)
	default:
		return fmt.Sprintf("[%v]", k.value(list, e))
	}
}

// digest returns what stands for a caller's key in reports: the beginning of its
// SHA-256, which the project's own format has instead of the key.
func digest(key string) string {
	sum := key
	if raw, err := hex.DecodeString(key); err != nil || len(raw) != sha256.Size {
		sum = fmt.Sprintf("%x", sha256.Sum256([]byte(key)))
	}
	return "sha256:" + sum[:shownDigits]
}

func isScalar(v any) bool {
	switch v.(type) {
	case map[string]any, []any:
		return false
	}
	return true
}

// scalar returns a value that is shown in reports, nil for others.
func scalar(v any) any {
	if !isScalar(v) {
		return nil
	}
	return v
}

// pathOf converts a JSON pointer to a path.
func pathOf(pointer string) string {
	unescape := strings.NewReplacer("~1", "/", "~0", "~")
	path := ""
	for _, segment := range strings.Split(strings.TrimPrefix(pointer, "/"), "/") {
		segment = unescape.Replace(segment)
		if strings.HasPrefix(segment, "[") {
			path += segment
			continue
		}
		path = join(path, segment)
	}
	return path
}
