package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"sort"
	"strings"
)

// Fault is one error in a settings file.
type Fault struct {
	// Path is the path of the field, for example platform.call_timeout, or the
	// file name if the file can't be read.
	Path string
	// Problem describes the error.
	Problem string
	// Remedy describes how to correct it.
	Remedy string
}

// String returns the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s; %s", f.Path, f.Problem, f.Remedy)
}

// InvalidError is the error for an unreadable or invalid settings file. It
// lists all faults.
type InvalidError struct {
	Faults []Fault
}

// Error returns one line per fault.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads and validates a settings file. Any error is an *InvalidError.
func Load(path string) (Settings, error) { return load(path, Parse) }

// Parse decodes and validates settings in JSON. Any error is an *InvalidError.
func Parse(data []byte) (Settings, error) { return parse(data, Default(), (*Settings).validate) }

// load reads a settings file and parses it with the given function.
func load[T any](path string, parse func([]byte) (T, error)) (T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		var zero T
		return zero, &InvalidError{Faults: []Fault{{Path: path, Problem: err.Error(), Remedy: "name a readable settings file"}}}
	}
	return parse(data)
}

// parse decodes settings over their defaults, and validates the fields that
// could be decoded.
func parse[T any](data []byte, defaults T, validate func(t *T, skip func(path string) bool) []Fault) (T, error) {
	s := defaults
	p := &parser{}
	p.object("", data, reflect.ValueOf(&s).Elem())
	faults := p.faults
	if !p.malformed {
		faults = append(faults, validate(&s, p.hasFault)...)
	}
	if len(faults) > 0 {
		var zero T
		return zero, &InvalidError{Faults: faults}
	}
	return s, nil
}

// parser decodes settings field by field and collects the faults, so that one
// fault does not hide another.
type parser struct {
	faults []Fault
	// malformed reports whether the document as a whole could not be decoded.
	malformed bool
	// paths are the paths of the faults.
	paths []string
}

// hasFault reports whether a fault was found at the path, below it or above it.
func (p *parser) hasFault(path string) bool {
	for _, seen := range p.paths {
		if seen == path || strings.HasPrefix(seen, path+".") || strings.HasPrefix(path, seen+".") {
			return true
		}
	}
	return false
}

func (p *parser) fault(path, problem, remedy string) {
	p.paths = append(p.paths, path)
	p.faults = append(p.faults, Fault{Path: path, Problem: problem, Remedy: remedy})
}

func (p *parser) object(path string, data []byte, target reflect.Value) {
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		p.malformed = p.malformed || path == ""
		p.fault(orRoot(path), "not a JSON object: "+err.Error(), "write an object in braces")
		return
	}
	fields := fieldsByName(target)
	for _, name := range sortedNames(raw) {
		field, ok := fields[name]
		if !ok {
			p.fault(join(path, name), "unknown field", "remove it or correct its name; known are "+strings.Join(sortedNames(fields), ", "))
			continue
		}
		p.value(join(path, name), raw[name], field)
	}
}

func (p *parser) value(path string, data []byte, target reflect.Value) {
	_, isUnmarshaler := target.Addr().Interface().(json.Unmarshaler)
	switch {
	case !isUnmarshaler && target.Kind() == reflect.Struct:
		p.object(path, data, target)
	case target.Kind() == reflect.Slice && target.Type().Elem().Kind() == reflect.Struct:
		p.list(path, data, target)
	default:
		if err := json.Unmarshal(data, target.Addr().Interface()); err != nil {
			p.fault(path, "wrong type or form", "write "+describe(target.Type()))
		}
	}
}

func (p *parser) list(path string, data []byte, target reflect.Value) {
	var raw []json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		p.fault(path, "wrong type", "write a list in brackets")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(raw), len(raw)))
	for i, item := range raw {
		p.object(fmt.Sprintf("%s[%d]", path, i), item, target.Index(i))
	}
}

// describe returns the JSON form expected for a type, for a remedy.
func describe(t reflect.Type) string {
	switch {
	case t == reflect.TypeOf(Duration(0)):
		return `a duration in quotes, such as "250ms" or "24h"`
	case t.Kind() == reflect.String:
		return "a string in quotes"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.Slice:
		return "a list of strings in brackets"
	case t.Kind() == reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

// fieldsByName returns the fields of a struct by their names in JSON.
func fieldsByName(target reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value, target.NumField())
	for i := range target.NumField() {
		fields[target.Type().Field(i).Tag.Get("json")] = target.Field(i)
	}
	return fields
}

func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// orRoot returns the path, or a name for the document if the path is empty.
func orRoot(path string) string {
	if path == "" {
		return "settings"
	}
	return path
}
