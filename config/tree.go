package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"unicode/utf8"
)

// maxDepth is the maximum number of nested arrays and objects; documents need 5.
const maxDepth = 16

type kind uint8

const (
	kindNull kind = iota
	kindBoolean
	kindNumber
	kindString
	kindArray
	kindObject
)

// node is one JSON value. Unlike a Go map it keeps the order of fields.
type node struct {
	kind kind
	// text is the literal of a number or the unquoted content of a string.
	text    string
	boolean bool
	// keys are the field names of an object. items are the values of its fields in
	// the same order, or the elements of an array.
	keys  []string
	items []*node
}

// parse parses one JSON value and reports syntax errors, duplicate fields and
// excessive nesting. It returns nil if the input can't be parsed.
func parse(data []byte, faults *Error) *node {
	if !utf8.Valid(data) {
		faults.add("$", "not valid UTF-8", "JSON text in UTF-8")
		return nil
	}
	// json.Decoder.Token accepts some malformed inputs, so check the syntax first.
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		faults.add("$", describeSyntaxError(data, err), "one JSON value without further text")
		return nil
	}
	p := parser{tokens: json.NewDecoder(bytes.NewReader(data)), faults: faults}
	p.tokens.UseNumber()
	return p.value("$", 0)
}

// describeSyntaxError describes a JSON syntax error with its line and column.
func describeSyntaxError(data []byte, err error) string {
	var syntaxErr *json.SyntaxError
	if !errors.As(err, &syntaxErr) {
		return err.Error()
	}
	before := data[:min(int(syntaxErr.Offset), len(data))]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := len(before) - (bytes.LastIndexByte(before, '\n') + 1)
	return fmt.Sprintf("malformed at line %d, column %d (%v)", line, column, err)
}

type parser struct {
	tokens *json.Decoder
	faults *Error
}

// value parses the next value. It returns nil after a fault that ends parsing.
func (p *parser) value(path string, depth int) *node {
	token, err := p.tokens.Token()
	if err != nil {
		p.faults.add(path, err.Error(), "a JSON value")
		return nil
	}
	switch token := token.(type) {
	case bool:
		return &node{kind: kindBoolean, boolean: token}
	case json.Number:
		return &node{kind: kindNumber, text: token.String()}
	case string:
		return &node{kind: kindString, text: token}
	case json.Delim:
		if depth >= maxDepth {
			p.faults.add(path, "nested too deeply", fmt.Sprintf("at most %d levels", maxDepth))
			return nil
		}
		if token == '[' {
			return p.array(path, depth)
		}
		return p.object(path, depth)
	default:
		return &node{kind: kindNull}
	}
}

func (p *parser) array(path string, depth int) *node {
	n := &node{kind: kindArray}
	for p.tokens.More() {
		item := p.value(elementPath(path, len(n.items)), depth+1)
		if item == nil {
			return nil
		}
		n.items = append(n.items, item)
	}
	return p.endContainer(path, n)
}

func (p *parser) object(path string, depth int) *node {
	n := &node{kind: kindObject}
	seen := map[string]bool{}
	for p.tokens.More() {
		token, err := p.tokens.Token()
		key, isString := token.(string)
		if err != nil || !isString {
			p.faults.add(path, "malformed", "an object")
			return nil
		}
		item := p.value(fieldPath(path, key), depth+1)
		if item == nil {
			return nil
		}
		if seen[key] {
			p.faults.add(fieldPath(path, key), "repeated with "+item.describe(), "each field once")
			continue
		}
		seen[key] = true
		n.keys = append(n.keys, key)
		n.items = append(n.items, item)
	}
	return p.endContainer(path, n)
}

// endContainer consumes the closing delimiter of an array or object.
func (p *parser) endContainer(path string, n *node) *node {
	if _, err := p.tokens.Token(); err != nil {
		p.faults.add(path, err.Error(), "a complete value")
		return nil
	}
	return n
}

// describe returns the value as faults show it: scalars as truncated JSON, arrays and
// objects as their size.
func (n *node) describe() string {
	switch n.kind {
	case kindNull:
		return "null"
	case kindBoolean:
		return strconv.FormatBool(n.boolean)
	case kindNumber:
		return shorten(n.text)
	case kindString:
		return shorten(quote(n.text))
	case kindArray:
		return fmt.Sprintf("an array of %d", len(n.items))
	default:
		return fmt.Sprintf("an object with %d fields", len(n.keys))
	}
}

// quote returns the text as a JSON string.
func quote(text string) string {
	quoted, err := json.Marshal(text)
	if err != nil {
		return strconv.Quote(text)
	}
	return string(quoted)
}

// bareKeyPattern matches the keys that a JSON path contains without quotes.
var bareKeyPattern = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]*$`)

func fieldPath(path, key string) string {
	if bareKeyPattern.MatchString(key) {
		return path + "." + key
	}
	return path + "[" + shorten(quote(key)) + "]"
}

func elementPath(path string, index int) string {
	return path + "[" + strconv.Itoa(index) + "]"
}
