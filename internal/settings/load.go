package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"regexp"
	"strconv"

	"go.yaml.in/yaml/v3"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Load reads a settings file, fills in defaults and checks the result.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		e := serving.WrapError(err, serving.KindNotFound, "read settings")
		e.Remedy = "check the path of the settings file"
		return nil, e
	}
	return Decode(b)
}

// Decode decodes settings from YAML, fills in defaults and checks the result.
// Unknown keys are errors.
func Decode(b []byte) (*Settings, error) {
	var s Settings
	d := yaml.NewDecoder(bytes.NewReader(b))
	d.KnownFields(true)
	if err := d.Decode(&s); err != nil {
		return nil, decodeError(b, err)
	}
	if err := s.Complete(); err != nil {
		return nil, err
	}
	return &s, nil
}

// Complete fills in defaults and checks the result.
func (s *Settings) Complete() error {
	s.applyDefaults()
	return s.Check()
}

// valueError returns an error about a scalar value. Detail contains the line and
// column, from which decodeError finds the key.
func valueError(n *yaml.Node, problem, remedy string) error {
	e := keyError(strconv.Quote(n.Value), problem, remedy)
	e.Detail = fmt.Sprintf("%d:%d", n.Line, n.Column)
	return e
}

var (
	lineNumber   = regexp.MustCompile(`line (\d+)`)
	unknownField = regexp.MustCompile(`line (\d+): field (\S+) not found`)
)

// decodeError converts a decoding error into one that names the key. Errors from
// valueError have the position in Detail; errors from the YAML library have the line
// in their text.
func decodeError(b []byte, err error) error {
	var typed *serving.Error
	if errors.As(err, &typed) {
		var line, column int
		_, _ = fmt.Sscanf(typed.Detail, "%d:%d", &line, &column)
		key := keyAt(b, line, column)
		return keyError(key, fmt.Sprintf("(line %d): %s", line, typed.Message), typed.Remedy)
	}
	if m := unknownField.FindStringSubmatch(err.Error()); m != nil {
		line, _ := strconv.Atoi(m[1])
		return keyError(keyAt(b, line, 0), fmt.Sprintf("(line %d) is not a known key", line), "remove it or correct its name; OPERATIONS.md lists the keys")
	}
	key := "settings"
	if m := lineNumber.FindStringSubmatch(err.Error()); m != nil {
		line, _ := strconv.Atoi(m[1])
		key = keyAt(b, line, 0)
	}
	return keyError(key, "cannot be decoded: "+err.Error(), "correct the YAML at this place")
}

// keyAt returns the path of the key whose value is at a line and column, or
// "settings" if there is none. Column 0 matches any column.
func keyAt(b []byte, line, column int) string {
	var root yaml.Node
	if yaml.Unmarshal(b, &root) != nil || len(root.Content) == 0 {
		return "settings"
	}
	if path := findKey(root.Content[0], line, column, ""); path != "" {
		return path
	}
	return "settings"
}

// findKey returns the path of the innermost key below n whose value is at a line
// and column, or an empty string.
func findKey(n *yaml.Node, line, column int, path string) string {
	switch n.Kind {
	case yaml.MappingNode:
		return findKeyInMapping(n, line, column, path)
	case yaml.SequenceNode:
		for i, item := range n.Content {
			p := fmt.Sprintf("%s[%d]", path, i)
			if found := findKey(item, line, column, p); found != "" {
				return found
			}
			if item.Kind == yaml.ScalarNode && isAt(item, line, column) {
				return p
			}
		}
	}
	return ""
}

func findKeyInMapping(n *yaml.Node, line, column int, path string) string {
	for i := 0; i+1 < len(n.Content); i += 2 {
		p := n.Content[i].Value
		if path != "" {
			p = path + "." + p
		}
		if found := findKey(n.Content[i+1], line, column, p); found != "" {
			return found
		}
		if isAt(n.Content[i+1], line, column) || (column == 0 && n.Content[i].Line == line) {
			return p
		}
	}
	return ""
}

func isAt(n *yaml.Node, line, column int) bool {
	return n.Line == line && (column == 0 || n.Column == column)
}
