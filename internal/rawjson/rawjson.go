// Package rawjson splits a JSON document into the raw members of its objects and the raw
// elements of its arrays, without decoding them. Unlike encoding/json, which rejects a
// whole document for one value that is nested more than 10,000 levels deep, it checks only
// the level that it splits, and needs no memory for nested levels. A value that can't be
// decoded thus costs the caller that value alone.
package rawjson

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// ErrSyntax means that a document is not an object or array that can be split. It may have
// been cut short.
var ErrSyntax = errors.New("not a whole JSON object or array; check what sent the document")

// Object calls visit with each member of an object, in order, also with those of duplicate
// names. It stops at the first error. A name that can't be decoded is passed as "".
// Values share the document's memory.
func Object(document []byte, visit func(name string, value json.RawMessage) error) error {
	return split(document, '{', '}', func(element []byte) error {
		if element[0] != '"' {
			return ErrSyntax
		}
		end := stringEnd(element)
		if end < 0 {
			return ErrSyntax
		}
		rest := bytes.TrimLeft(element[end:], space)
		if len(rest) == 0 || rest[0] != ':' {
			return ErrSyntax
		}
		value := bytes.TrimLeft(rest[1:], space)
		if len(value) == 0 {
			return ErrSyntax
		}
		var name string
		if json.Unmarshal(element[:end], &name) != nil {
			name = ""
		}
		return visit(name, value)
	})
}

// Array calls visit with each element of an array, in order. It stops at the first error.
// Elements share the document's memory.
func Array(document []byte, visit func(value json.RawMessage) error) error {
	return split(document, '[', ']', func(element []byte) error { return visit(element) })
}

// space holds the characters that JSON allows between values.
const space = " \t\r\n"

// split calls visit with each text between the commas of a document that opens and closes
// with the given brackets. Texts are never empty, and what follows the document is ignored.
func split(document []byte, opening, closing byte, visit func(element []byte) error) error {
	rest := bytes.TrimLeft(document, space)
	if len(rest) == 0 || rest[0] != opening {
		return ErrSyntax
	}
	rest = bytes.TrimLeft(rest[1:], space)
	if len(rest) > 0 && rest[0] == closing {
		return nil
	}
	for {
		end := elementEnd(rest, closing)
		if end < 0 {
			return ErrSyntax
		}
		element := bytes.Trim(rest[:end], space)
		if len(element) == 0 {
			return ErrSyntax
		}
		if err := visit(element); err != nil {
			return err
		}
		if rest[end] == closing {
			return nil
		}
		rest = rest[end+1:]
	}
}

// elementEnd returns the index of the first comma or closing bracket outside of nested
// values and strings, or -1.
func elementEnd(text []byte, closing byte) int {
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case ',', closing:
			return i
		case '"':
			length := stringEnd(text[i:])
			if length < 0 {
				return -1
			}
			i += length - 1
		case '{', '[':
			length := nestedEnd(text[i:])
			if length < 0 {
				return -1
			}
			i += length - 1
		}
	}
	return -1
}

// nestedEnd returns the length of the object or array that the text begins with, or -1. It
// counts the brackets of the outermost kind alone, so that a value with unpaired brackets
// of the other kind ends where it should.
func nestedEnd(text []byte) int {
	opening, closing := text[0], text[0]+2 // in ASCII, for both kinds
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case opening:
			depth++
		case closing:
			if depth--; depth == 0 {
				return i + 1
			}
		case '"':
			length := stringEnd(text[i:])
			if length < 0 {
				return -1
			}
			i += length - 1
		}
	}
	return -1
}

// stringEnd returns the length of the string that the text begins with, including its
// quotes, or -1.
func stringEnd(text []byte) int {
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return -1
}
