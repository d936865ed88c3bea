package site

import (
	"encoding"
	"fmt"
	"math"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Source is the content of a declaration file.
type Source struct {
	// Name is the file name shown in problems and explanations.
	Name string
	Data []byte
}

// LoadedDeclarations is the result of Load: valid declarations and the origin of their values.
type LoadedDeclarations struct {
	Declarations *Declarations
	tree         *node
	defaults     map[string]string
}

// Load reads a base file and an overlay, merges them and validates the result. Its errors are of KindUnreadable, or of
// KindInvalid with all problems.
func Load(base, overlay string) (*LoadedDeclarations, error) {
	b, err := os.ReadFile(base)
	if err != nil {
		return nil, &Error{Op: "load", Kind: KindUnreadable, Err: err}
	}
	o, err := os.ReadFile(overlay)
	if err != nil {
		return nil, &Error{Op: "load", Kind: KindUnreadable, Err: err}
	}
	return LoadSources(Source{base, b}, Source{overlay, o})
}

// LoadSources is like Load for files that are already in memory.
func LoadSources(base, overlay Source) (*LoadedDeclarations, error) {
	baseReader, overlayReader := treeReader{file: base.Name}, treeReader{file: overlay.Name}
	tree := merge(baseReader.read(base.Data), overlayReader.read(overlay.Data))
	d := &decoder{problems: append(baseReader.problems, overlayReader.problems...), defaults: map[string]string{},
		failed: map[string]bool{}}
	l := &LoadedDeclarations{Declarations: &Declarations{}, tree: tree, defaults: d.defaults}
	// If a file could not be parsed, every value would be reported as missing.
	if len(d.problems) == 0 || len(tree.keys) > 0 {
		d.decodeValue(tree, reflect.ValueOf(l.Declarations).Elem(), "")
		l.Declarations.setNames()
		d.validate(l)
	}
	if len(d.problems) > 0 {
		slices.SortStableFunc(d.problems, comparePositions)
		return nil, &Error{Op: "load", Kind: KindInvalid, Problems: d.problems}
	}
	return l, nil
}

func comparePositions(a, b Problem) int {
	if c := strings.Compare(a.Position.File, b.Position.File); c != 0 {
		return c
	}
	if a.Position.Line != b.Position.Line {
		return a.Position.Line - b.Position.Line
	}
	return a.Position.Column - b.Position.Column
}

// decoder fills declarations from a tree. Of goccy/go-yaml only the parser is used, because its decoder stops at the
// first error and drops the positions of values.
type decoder struct {
	problems []Problem
	defaults map[string]string
	// failed holds the paths of values that could not be decoded.
	failed map[string]bool
}

func (d *decoder) addProblem(n *node, path, found, allowed string) {
	d.failed[path] = true
	if n.kind == kindUnsupported {
		return
	}
	d.problems = append(d.problems, Problem{Position: n.pos, Path: path, Found: found, Allowed: allowed})
}

// validate adds the problems that Validate finds, with the positions of the values. It leaves out problems of values
// that could not be decoded, because they are already reported.
func (d *decoder) validate(l *LoadedDeclarations) {
	for _, p := range Validate(l.Declarations) {
		if d.alreadyFailed(p.Path) {
			continue
		}
		n, _ := l.tree.find(p.Path)
		p.Position = n.pos
		d.problems = append(d.problems, p)
	}
}

// alreadyFailed reports whether the value at a path, or one that contains it, could not be decoded.
func (d *decoder) alreadyFailed(path string) bool {
	for !d.failed[path] {
		i := strings.LastIndexByte(path, '.')
		if i < 0 {
			return false
		}
		path = path[:i]
	}
	return true
}

// decodeValue decodes one node into v, which must be settable.
func (d *decoder) decodeValue(n *node, v reflect.Value, path string) {
	if _, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeScalar(n, v, path)
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		d.decodeValue(n, v.Elem(), path)
	case reflect.Struct:
		if d.expectKind(n, kindMapping, path) {
			d.decodeStruct(n, v, path)
		}
	case reflect.Map:
		if !d.expectKind(n, kindMapping, path) {
			return
		}
		v.Set(reflect.MakeMapWithSize(v.Type(), len(n.keys)))
		for _, k := range n.keys {
			entry := reflect.New(v.Type().Elem()).Elem()
			d.decodeValue(n.fields[k], entry, joinPath(path, k))
			v.SetMapIndex(reflect.ValueOf(k), entry)
		}
	case reflect.Slice:
		if !d.expectKind(n, kindList, path) || len(n.items) == 0 {
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), len(n.items), len(n.items)))
		for i, item := range n.items {
			d.decodeValue(item, v.Index(i), joinPath(path, strconv.Itoa(i)))
		}
	default:
		d.decodeScalar(n, v, path)
	}
}

func (d *decoder) expectKind(n *node, kind nodeKind, path string) bool {
	if n.kind != kind {
		d.addProblem(n, path, n.describe(), string(kind))
	}
	return n.kind == kind
}

func (d *decoder) decodeStruct(n *node, v reflect.Value, path string) {
	var known []string
	for i := range v.NumField() {
		f := v.Type().Field(i)
		name := f.Tag.Get("yaml")
		if name == "-" {
			continue
		}
		known = append(known, name)
		p := joinPath(path, name)
		if child, ok := n.fields[name]; ok {
			d.decodeValue(child, v.Field(i), p)
		} else {
			d.applyDefault(f, v.Field(i), p)
		}
	}
	for _, k := range n.keys {
		if !slices.Contains(known, k) {
			d.addProblem(n.fields[k], joinPath(path, k), fmt.Sprintf("the unknown field %q", k), strings.Join(known, ", "))
		}
	}
}

// applyDefault sets a field that is not declared to its default.
func (d *decoder) applyDefault(f reflect.StructField, v reflect.Value, path string) {
	text, ok := f.Tag.Lookup("default")
	switch {
	case ok:
		must(0, setScalar(v, defaultNode(v, text)))
		d.defaults[path] = text
	case v.Kind() == reflect.Struct && v.Type().PkgPath() == reflect.TypeFor[Declarations]().PkgPath():
		d.decodeStruct(&node{kind: kindMapping}, v, path)
	case v.Kind() == reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
	}
}

func defaultNode(v reflect.Value, text string) *node {
	if v.Kind() == reflect.String || v.Type() == reflect.TypeFor[time.Duration]() {
		return &node{kind: kindText, text: text}
	}
	return &node{kind: kindNumber, text: text}
}

func (d *decoder) decodeScalar(n *node, v reflect.Value, path string) {
	if err := setScalar(v, n); err != nil {
		d.addProblem(n, path, n.describe(), err.Error())
	}
}

// scalarError is the error of setScalar. Its text describes the allowed values.
type scalarError string

func (e scalarError) Error() string { return string(e) }

func setScalar(v reflect.Value, n *node) error {
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		// A key digest may consist of decimal digits only and parse as a number, so the text of a number is accepted
		// too.
		if n.kind != kindText && n.kind != kindNumber || u.UnmarshalText([]byte(n.text)) != nil {
			if _, digest := u.(*KeyDigest); digest {
				return scalarError("64 hexadecimal digits, the SHA-256 digest of the key")
			}
			return scalarError("an IP address and a port, such as 10.0.0.1:7000")
		}
		return nil
	}
	if v.Type() == reflect.TypeFor[time.Duration]() {
		t, err := time.ParseDuration(n.text)
		if n.kind != kindText || err != nil {
			return scalarError("a duration with a unit, such as 500ms, 10s or 24h")
		}
		v.SetInt(int64(t))
		return nil
	}
	switch v.Kind() {
	case reflect.String:
		if n.kind != kindText {
			return scalarError("text; put quotes around a number, true or false")
		}
		v.SetString(n.text)
	case reflect.Bool:
		if n.kind != kindBool {
			return scalarError(kindBool)
		}
		v.SetBool(n.text == "true")
	case reflect.Int, reflect.Int64:
		i, err := strconv.ParseInt(strings.ReplaceAll(n.text, "_", ""), 10, 64)
		if n.kind != kindNumber || err != nil {
			return scalarError("a decimal integer")
		}
		v.SetInt(i)
	case reflect.Float64:
		f, err := strconv.ParseFloat(strings.ReplaceAll(n.text, "_", ""), 64)
		if n.kind != kindNumber || err != nil || math.IsInf(f, 0) || math.IsNaN(f) {
			return scalarError("a decimal number")
		}
		v.SetFloat(f)
	default:
		return scalarError("nothing; fields of type " + v.Type().String() + " cannot be declared")
	}
	return nil
}

// Explanation describes where a value comes from.
type Explanation struct {
	Path  string
	Value string
	// Source is where the value is declared. It is zero for a default.
	Source Position
	// Default is true when no file declares the value.
	Default bool
	// OverriddenPosition is where the base file declares the value that the overlay replaces. It is zero if nothing is
	// replaced.
	OverriddenPosition Position
	// OverriddenValue is the replaced value.
	OverriddenValue string
}

// String returns the explanation on one line.
func (e Explanation) String() string {
	if e.Default {
		return fmt.Sprintf("%s: %s (default)", e.Path, e.Value)
	}
	s := fmt.Sprintf("%s: %s (%s:%d", e.Path, e.Value, e.Source.File, e.Source.Line)
	if e.OverriddenPosition.File != "" {
		s += fmt.Sprintf(", replaces %s of %s:%d", e.OverriddenValue, e.OverriddenPosition.File, e.OverriddenPosition.Line)
	}
	return s + ")"
}

// Explain returns where each value at or below a dotted path comes from, in the order of the files, followed by the
// defaults, sorted by path. Its error is of KindUnknownPath.
func (l *LoadedDeclarations) Explain(path string) ([]Explanation, error) {
	var all []Explanation
	if n, ok := l.tree.find(path); ok {
		all = explain(n, path, nil)
	}
	for _, p := range sortedKeys(l.defaults) {
		if path == "" || p == path || strings.HasPrefix(p, path+".") {
			all = append(all, Explanation{Path: p, Value: l.defaults[p], Default: true})
		}
	}
	if len(all) == 0 {
		return nil, &Error{Op: "explain", Kind: KindUnknownPath, Err: errors.Errorf("no value is declared at %q", path)}
	}
	return all, nil
}

func explain(n *node, path string, all []Explanation) []Explanation {
	if n.kind == kindMapping && len(n.keys) > 0 {
		for _, k := range n.keys {
			all = explain(n.fields[k], joinPath(path, k), all)
		}
		return all
	}
	e := Explanation{Path: path, Value: n.display(), Source: n.pos}
	if n.replaced != nil {
		e.OverriddenPosition, e.OverriddenValue = n.replaced.pos, n.replaced.display()
	}
	return append(all, e)
}

// display formats the value on one line.
func (n *node) display() string {
	switch n.kind {
	case kindMapping:
		parts := make([]string, len(n.keys))
		for i, k := range n.keys {
			parts[i] = k + ": " + n.fields[k].display()
		}
		return "{" + strings.Join(parts, ", ") + "}"
	case kindList:
		parts := make([]string, len(n.items))
		for i, item := range n.items {
			parts[i] = item.display()
		}
		return "[" + strings.Join(parts, ", ") + "]"
	}
	return n.text
}

// setNames copies the map keys into the Name fields.
func (d *Declarations) setNames() {
	for k, v := range d.Zones {
		v.Name = k
		d.Zones[k] = v
	}
	for k, v := range d.Models {
		v.Name = k
		d.Models[k] = v
	}
	for k, v := range d.Priorities {
		v.Name = k
		d.Priorities[k] = v
	}
	for k, v := range d.Workspaces {
		v.Name = k
	}
	for k, v := range d.Services {
		v.Name = k
		for wk, w := range v.Workers {
			w.Name = wk
			v.Workers[wk] = w
		}
		d.Services[k] = v
	}
}
