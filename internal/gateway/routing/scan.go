package routing

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"
)

// The functions of this file expect valid JSON. They return parts of the JSON without copying them.

// maxDepth is the maximum nesting depth of a body. A configuration has six levels.
const maxDepth = 64

// skipSpace returns the offset of the first byte at or after i that is not white space.
func skipSpace(b []byte, i int) int {
	for i < len(b) && (b[i] == ' ' || b[i] == '\n' || b[i] == '\t' || b[i] == '\r') {
		i++
	}
	return i
}

// skipString returns the offset after the string that begins at i.
func skipString(b []byte, i int) int {
	for i++; i < len(b) && b[i] != '"'; i++ {
		if b[i] == '\\' {
			i++
		}
	}
	return i + 1
}

// skipValue returns the offset after the value that begins at i.
func skipValue(b []byte, i int) int {
	for depth := 0; i < len(b); {
		switch b[i] {
		case '"':
			i = skipString(b, i)
		case '{', '[':
			depth++
			i++
		case '}', ']':
			depth--
			i++
		case ' ', '\n', '\t', '\r', ',', ':':
			i++
			continue
		default:
			for i < len(b) && bytes.IndexByte([]byte(",]} \n\t\r"), b[i]) < 0 {
				i++
			}
		}
		if depth == 0 {
			return i
		}
	}
	return i
}

// forEachValue calls visit for each value of the object or list that begins at i, in order. The name is the name of the field, or ""
// in a list. The value begins at offset from and ends before offset to.
func forEachValue(b []byte, i int, visit func(name string, from, to int)) {
	if i = skipSpace(b, i); i == len(b) || b[i] != '{' && b[i] != '[' {
		return
	}
	isObject := b[i] == '{'
	for i = skipSpace(b, i+1); i < len(b) && b[i] != '}' && b[i] != ']'; {
		name := ""
		if isObject {
			end := skipString(b, i)
			name = unquote(b[i:end])
			i = skipSpace(b, skipSpace(b, end)+1)
		}
		from := i
		i = skipValue(b, i)
		visit(name, from, i)
		if i = skipSpace(b, i); i < len(b) && b[i] == ',' {
			i = skipSpace(b, i+1)
		}
	}
}

// unquote returns the content of a JSON string. It returns "" if the JSON is not a string.
func unquote(raw []byte) string {
	if len(raw) < 2 || raw[0] != '"' {
		return ""
	}
	if bytes.IndexByte(raw, '\\') < 0 {
		return string(raw[1 : len(raw)-1])
	}
	var text string
	_ = json.Unmarshal(raw, &text) // raw is valid JSON
	return text
}

// foldName returns the same text for all names that encoding/json accepts for the same field.
func foldName(name string) string {
	for i := range len(name) {
		if name[i] >= utf8.RuneSelf {
			return strings.ToLower(strings.ToUpper(name)) // several letters can share one upper-case letter
		}
	}
	return strings.ToLower(name)
}

// joinPath returns the path of a child value. The child is the field name of an object, or the element index of a list if name is "".
func joinPath(path, name string, index int) string {
	switch {
	case name == "":
		return path + "[" + strconv.Itoa(index) + "]"
	case path == "":
		return name
	}
	return path + "." + name
}

// checkStructure returns a *FieldError if the value that begins at i nests deeper than maxDepth, or if an object has the same field
// twice. JSON parsers differ in which of two equal fields they use. The function path returns the path of the value; it is called only
// for an error.
func checkStructure(b []byte, i, depth int, path func() string) error {
	if depth > maxDepth {
		return fieldError("", "nesting depth is above %d", maxDepth)
	}
	var firstErr error
	var names []string
	index := 0
	forEachValue(b, i, func(name string, from, _ int) {
		if b[i] == '{' {
			names = append(names, foldName(name))
		}
		at := index
		index++
		if firstErr == nil && (b[from] == '{' || b[from] == '[') {
			firstErr = checkStructure(b, from, depth+1, func() string { return joinPath(path(), name, at) })
		}
	})
	slices.Sort(names)
	for k := 1; k < len(names) && firstErr == nil; k++ {
		if names[k] == names[k-1] {
			firstErr = fieldError(joinPath(path(), names[k], 0), "field occurs twice")
		}
	}
	return firstErr
}

// pathAtOffset returns the path of the innermost value that a parser was reading after offset bytes. The search starts with the value
// that begins at i, whose path is given.
func pathAtOffset(b []byte, i, offset int, path string) string {
	found, index := path, 0
	forEachValue(b, i, func(name string, from, _ int) {
		if from < offset {
			found = pathAtOffset(b, from, offset, joinPath(path, name, index))
		}
		index++
	})
	return found
}
