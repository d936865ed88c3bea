package site

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

const (
	// maxFileBytes limits a declaration file to about twice the size of 44,000 workspaces.
	maxFileBytes = 32_000_000
	// maxFileDepth limits nesting, because the YAML parser is recursive and Go cannot recover from stack exhaustion.
	// Valid declarations have six levels.
	maxFileDepth = 32
)

type nodeKind string

const (
	kindMapping nodeKind = "a mapping"
	kindList    nodeKind = "a list"
	kindText    nodeKind = "text"
	kindNumber  nodeKind = "a number"
	kindBool    nodeKind = "true or false"
	kindNull    nodeKind = "nothing"
	// kindUnsupported marks a value that was already reported when the file was read.
	kindUnsupported nodeKind = "an unsupported value"
)

// node is one value of a declaration file with its position. The parser's own tree is not used for merging, because its
// nodes carry no file name.
type node struct {
	kind nodeKind
	pos  Position
	text string
	// keys holds the keys of fields in the order of the file.
	keys   []string
	fields map[string]*node
	items  []*node
	// replaced is the value of the base file that this value overrides.
	replaced *node
}

func (n *node) describe() string {
	switch n.kind {
	case kindText:
		return fmt.Sprintf("the text %q", n.text)
	case kindNumber:
		return "the number " + n.text
	case kindBool:
		return n.text
	}
	return string(n.kind)
}

// treeReader converts one file into a tree and collects its problems.
type treeReader struct {
	file     string
	problems []Problem
}

func (r *treeReader) addProblem(t *token.Token, path, found, allowed string) {
	r.problems = append(r.problems, Problem{Position: r.position(t), Path: path, Found: found, Allowed: allowed})
}

func (r *treeReader) position(t *token.Token) Position {
	p := Position{File: r.file, Line: 1, Column: 1}
	if t != nil && t.Position != nil {
		p.Line, p.Column = t.Position.Line, t.Position.Column
	}
	return p
}

// read returns the root mapping of a file. For an empty file, the mapping is empty.
func (r *treeReader) read(data []byte) *node {
	root := &node{kind: kindMapping, pos: Position{File: r.file, Line: 1, Column: 1}}
	if len(data) > maxFileBytes {
		r.addProblem(nil, "", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("up to %d bytes", maxFileBytes))
		return root
	}
	tokens := lexer.Tokenize(string(data))
	if t := firstTooDeep(tokens); t != nil {
		r.addProblem(t, "", "deeper nesting", fmt.Sprintf("up to %d levels", maxFileDepth))
		return root
	}
	// addEntry reports duplicate keys, because the parser would stop at the first one.
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		var syntaxError yaml.Error
		if errors.As(err, &syntaxError) {
			r.addProblem(syntaxError.GetToken(), "", "malformed YAML ("+syntaxError.GetMessage()+")", "well-formed YAML")
		} else {
			r.addProblem(nil, "", "malformed YAML ("+err.Error()+")", "well-formed YAML")
		}
		return root
	}
	var bodies []ast.Node
	for _, doc := range file.Docs {
		if doc.Body != nil && doc.Body.Type() != ast.NullType && doc.Body.Type() != ast.CommentGroupType {
			bodies = append(bodies, doc.Body)
		}
	}
	if len(bodies) == 0 {
		return root
	}
	if len(bodies) > 1 {
		r.addProblem(bodies[1].GetToken(), "", "a second document", "one document in each file")
	}
	n := r.convert(bodies[0], "")
	if n.kind != kindMapping {
		r.addProblem(bodies[0].GetToken(), "", n.describe(), string(kindMapping))
		return root
	}
	n.pos = root.pos
	return n
}

// firstTooDeep returns the first token at which brackets, block entries on one line, or indented lines are nested too
// deeply, or nil. The depth of a line is the number of open columns at its first token. The lexer's own indent level is
// not used: it rises with each blank line before an indented key, so a long flat file with blank lines would be
// refused.
func firstTooDeep(tokens token.Tokens) *token.Token {
	flowDepth, blockDepth, line := 0, 0, 0
	var openColumns []int
	for _, t := range tokens {
		if t.Position.Line != line {
			line, blockDepth = t.Position.Line, 0
			for len(openColumns) > 0 && openColumns[len(openColumns)-1] >= t.Position.Column {
				openColumns = openColumns[:len(openColumns)-1]
			}
			openColumns = append(openColumns, t.Position.Column)
		}
		switch t.Type {
		case token.SequenceStartType, token.MappingStartType:
			flowDepth++
		case token.SequenceEndType, token.MappingEndType:
			flowDepth--
		case token.SequenceEntryType, token.MappingKeyType, token.AnchorType, token.TagType:
			blockDepth++
		}
		if flowDepth > maxFileDepth || blockDepth > maxFileDepth || len(openColumns) > maxFileDepth {
			return t
		}
	}
	return nil
}

func (r *treeReader) convert(a ast.Node, path string) *node {
	if a == nil {
		return &node{kind: kindNull, pos: r.position(nil)}
	}
	n := &node{pos: r.position(a.GetToken()), text: a.GetToken().Value}
	switch v := a.(type) {
	case *ast.MappingNode:
		n.kind = kindMapping
		for _, entry := range v.Values {
			r.addEntry(n, entry, path)
		}
	case *ast.MappingValueNode:
		n.kind = kindMapping
		r.addEntry(n, v, path)
	case *ast.SequenceNode:
		n.kind = kindList
		for i, item := range v.Values {
			n.items = append(n.items, r.convert(item, joinPath(path, fmt.Sprint(i))))
		}
	case *ast.StringNode:
		n.kind, n.text = kindText, v.Value
	case *ast.LiteralNode:
		n.kind, n.text = kindText, v.Value.Value
	case *ast.IntegerNode, *ast.FloatNode:
		n.kind = kindNumber
	case *ast.BoolNode:
		n.kind = kindBool
	case *ast.NullNode:
		n.kind = kindNull
	default:
		// Anchors, aliases, merge keys and tags would give a value two positions. The overlay is the only way to vary a
		// value.
		n.kind = kindUnsupported
		r.addProblem(a.GetToken(), path, strings.ToLower(a.Type().String()),
			"plain values without anchors, aliases, tags, infinities and NaN")
	}
	return n
}

func (r *treeReader) addEntry(n *node, entry *ast.MappingValueNode, path string) {
	key := entry.Key.GetToken()
	scalar, ok := entry.Key.(ast.ScalarNode)
	if !ok || entry.Key.IsMergeKey() {
		r.addProblem(key, path, "the key "+key.Value, "plain text as key")
		return
	}
	name := fmt.Sprint(scalar.GetValue())
	if _, ok := n.fields[name]; ok {
		r.addProblem(key, joinPath(path, name), "a duplicate key", "unique keys")
		return
	}
	child := r.convert(entry.Value, joinPath(path, name))
	if child.kind == kindMapping || child.kind == kindList || child.kind == kindNull {
		child.pos = r.position(key)
	}
	if n.fields == nil {
		n.fields = map[string]*node{}
	}
	n.keys = append(n.keys, name)
	n.fields[name] = child
}

// merge applies an overlay to a base. Mappings merge by key. Any other value of the overlay, including a list, replaces
// the value of the base. A null in the overlay (key:) removes the entry of the base, so that a site can leave out a
// model that the base declares.
func merge(base, overlay *node) *node {
	if base.kind != kindMapping || overlay.kind != kindMapping {
		n := *overlay
		n.replaced = base
		return &n
	}
	n := &node{kind: kindMapping, pos: overlay.pos, keys: slices.Clone(base.keys), fields: map[string]*node{}}
	if len(overlay.keys) == 0 {
		n.pos = base.pos
	}
	for _, k := range base.keys {
		n.fields[k] = base.fields[k]
	}
	for _, k := range overlay.keys {
		o := overlay.fields[k]
		b, ok := n.fields[k]
		switch {
		case !ok:
			n.keys = append(n.keys, k)
			n.fields[k] = o
		case o.kind == kindNull:
			delete(n.fields, k)
			n.keys = slices.DeleteFunc(n.keys, func(s string) bool { return s == k })
		default:
			n.fields[k] = merge(b, o)
		}
	}
	return n
}

// find returns the deepest node on a path, and reports whether it is the end of the path. It also finds keys that
// contain dots, so that a problem with such a key has a position.
func (n *node) find(path string) (*node, bool) {
	if path == "" {
		return n, true
	}
	for i := range len(path) + 1 {
		if i < len(path) && path[i] != '.' {
			continue
		}
		if next := n.child(path[:i]); next != nil {
			return next.find(strings.TrimPrefix(path[i:], "."))
		}
	}
	return n, false
}

func (n *node) child(name string) *node {
	if i, err := strconv.Atoi(name); n.kind == kindList && err == nil && i >= 0 && i < len(n.items) {
		return n.items[i]
	}
	return n.fields[name]
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
