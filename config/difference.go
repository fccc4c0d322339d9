package config

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Difference is a field in which two documents differ.
type Difference struct {
	// Path is the JSON path. Elements of lists are selected by name, as in
	// $.classes[?@.name=="catalog-read"].timeout.
	Path string
	// Old and New are the values as JSON, truncated, or "absent".
	Old, New string
}

// String returns "path: old -> new" on one line.
func (d Difference) String() string { return fmt.Sprintf("%s: %s -> %s", d.Path, d.Old, d.New) }

// absent stands for the value of a field that a document does not have.
const absent = "absent"

// Differences lists the fields in which two documents differ, sorted by the names of
// fields and elements. Elements of lists are matched by name; their order is ignored.
func Differences(before, after *Document) ([]Difference, error) {
	oldValue, err := toGenericJSON(before)
	if err != nil {
		return nil, err
	}
	newValue, err := toGenericJSON(after)
	if err != nil {
		return nil, err
	}
	return compare(nil, "$", oldValue, newValue), nil
}

// toGenericJSON converts the document to the maps, slices and scalars that
// encoding/json decodes into an any.
func toGenericJSON(doc *Document) (any, error) {
	data, err := json.Marshal(doc)
	if err != nil {
		return nil, err
	}
	var value any
	err = json.Unmarshal(data, &value)
	return value, err
}

// compare appends the differences at and below a path. nil stands for a missing
// value; no document contains null.
func compare(differences []Difference, path string, before, after any) []Difference {
	oldFields, childPath := childrenOf(before)
	newFields, _ := childrenOf(after)
	if oldFields == nil || newFields == nil {
		if oldText, newText := jsonText(before), jsonText(after); oldText != newText {
			differences = append(differences, Difference{Path: path, Old: shorten(oldText), New: shorten(newText)})
		}
		return differences
	}
	for _, key := range unionOfKeys(oldFields, newFields) {
		differences = compare(differences, childPath(path, key), oldFields[key], newFields[key])
	}
	return differences
}

// childrenOf returns the fields of an object or the elements of a list, keyed by
// name, and the function that builds their paths. It returns nil for other values.
func childrenOf(value any) (map[string]any, func(path, key string) string) {
	switch value := value.(type) {
	case map[string]any:
		return value, fieldPath
	case []any:
		elements := make(map[string]any, len(value))
		for _, element := range value {
			if fields, ok := element.(map[string]any); ok {
				elements[fmt.Sprint(fields["name"])] = element
			}
		}
		return elements, namedElementPath
	default:
		return nil, nil
	}
}

func namedElementPath(path, name string) string {
	return path + "[?@.name==" + quote(name) + "]"
}

func unionOfKeys(a, b map[string]any) []string {
	keys := make([]string, 0, len(a)+len(b))
	for key := range a {
		keys = append(keys, key)
	}
	for key := range b {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}

func jsonText(value any) string {
	if value == nil {
		return absent
	}
	data, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
