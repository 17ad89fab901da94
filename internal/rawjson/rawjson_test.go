package rawjson

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"testing"
)

func elements(document string) ([]string, error) {
	var list []string
	err := Array([]byte(document), func(value json.RawMessage) error {
		list = append(list, string(value))
		return nil
	})
	return list, err
}

func members(document string) ([]string, error) {
	var list []string
	err := Object([]byte(document), func(name string, value json.RawMessage) error {
		list = append(list, name+"="+string(value))
		return nil
	})
	return list, err
}

// Guards against losing sound elements because of one that encoding/json can't decode.
func TestArraySplitsAroundElementsThatCannotBeDecoded(t *testing.T) {
	for _, odd := range []string{
		strings.Repeat("[", 11_000) + strings.Repeat("]", 11_000), strings.Repeat(`{"a":`, 11_000) + "1" + strings.Repeat("}", 11_000),
		`{"a":[}`, `{"a":]}`, `["}"}]`, "\"\xff\\q\\ud800\"", `"a,]\"}"`, "1e999999", "nul", "a b", `{"a":1,"a":2}`, "-",
	} {
		got, err := elements(`[ {"n":1} , ` + odd + ` ,2]`)
		if want := []string{`{"n":1}`, odd, "2"}; err != nil || !slices.Equal(got, want) {
			t.Errorf("%.30q: %.60q, error %v", odd, got, err)
		}
	}
}

func TestObjectPassesDuplicatesAndNamesThatCannotBeDecoded(t *testing.T) {
	got, err := members(` {"a":1 , "a" : [1,2], "\ud800":3, "\q":4, "b\u0063":"}"} rest`)
	if want := []string{"a=1", "a=[1,2]", "\ufffd=3", "=4", `bc="}"`}; err != nil || !slices.Equal(got, want) {
		t.Errorf("%q, error %v", got, err)
	}
}

// Guards against taking a document that was cut short for a whole one.
func TestSplitRejectsDocumentsThatAreNotWhole(t *testing.T) {
	for _, document := range []string{"", " ", "[", "[1", "[1,", "[1,]", "[,1]", `["a`, `[{"a":1`, "1", "{}", `{"a":1}`, "null"} {
		if got, err := elements(document); err == nil {
			t.Errorf("array %q: %q", document, got)
		}
	}
	for _, document := range []string{"", "{", `{"a"`, `{"a":`, `{"a":1`, `{"a":1,`, `{"a":}`, `{"a"}`, `{a:1}`, `{"a" 1}`, "[]", `{"a":1,}`} {
		if got, err := members(document); err == nil {
			t.Errorf("object %q: %q", document, got)
		}
	}
	for _, document := range []string{"[]", "[ ]"} {
		if got, err := elements(document); err != nil || len(got) > 0 {
			t.Errorf("%q: %q, error %v", document, got, err)
		}
	}
}

// Guards against reading a valid document differently from encoding/json.
func FuzzSplit(f *testing.F) {
	f.Add([]byte(`[{"a":[1,"]"]},null,"\"",-1.5e3]`))
	f.Add([]byte(`{"a":{"b":"}"},"c":[]}`))
	f.Fuzz(func(t *testing.T, document []byte) {
		var want []json.RawMessage
		valid := json.Unmarshal(document, &want) == nil && want != nil
		var got []json.RawMessage
		err := Array(document, func(value json.RawMessage) error {
			got = append(got, value)
			return nil
		})
		if valid && (err != nil || !slices.EqualFunc(got, want, func(a, b json.RawMessage) bool { return bytes.Equal(a, b) })) {
			t.Errorf("%q: %q, error %v", document, got, err)
		}
		var fields map[string]json.RawMessage
		if json.Unmarshal(document, &fields) != nil || fields == nil {
			_ = Object(document, func(string, json.RawMessage) error { return nil })
			return
		}
		read := make(map[string]json.RawMessage)
		err = Object(document, func(name string, value json.RawMessage) error {
			read[name] = value
			return nil
		})
		if err != nil || len(read) != len(fields) {
			t.Errorf("%q: %q, error %v", document, read, err)
		}
		for name, value := range fields {
			if !bytes.Equal(read[name], value) {
				t.Errorf("%q: %s is %q, want %q", document, name, read[name], value)
			}
		}
	})
}
