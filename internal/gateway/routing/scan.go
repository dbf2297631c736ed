package routing

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"
)

// The functions here take JSON that is known to be valid, and return parts of it without copies.

// maxDepth bounds how deep a body nests; a configuration has six levels.
const maxDepth = 64

func skipSpace(b []byte, i int) int {
	for i < len(b) && (b[i] == ' ' || b[i] == '\n' || b[i] == '\t' || b[i] == '\r') {
		i++
	}
	return i
}

func skipString(b []byte, i int) int {
	for i++; i < len(b) && b[i] != '"'; i++ {
		if b[i] == '\\' {
			i++
		}
	}
	return i + 1
}

// skipValue gives the offset after the value that begins at i.
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

// forEachValue calls each for the values of the object or list that begins at i, in their order: with the name, or
// "" in a list, and with the value's bounds.
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

// unquote reads a text between its quotes; what is no text is empty.
func unquote(raw []byte) string {
	if len(raw) < 2 || raw[0] != '"' {
		return ""
	}
	if bytes.IndexByte(raw, '\\') < 0 {
		return string(raw[1 : len(raw)-1])
	}
	var text string
	_ = json.Unmarshal(raw, &text) // it is valid
	return text
}

// foldName makes names equal that encoding/json takes for the same field.
func foldName(name string) string {
	for i := range len(name) {
		if name[i] >= utf8.RuneSelf {
			return strings.ToLower(strings.ToUpper(name)) // some letters have two lower forms
		}
	}
	return strings.ToLower(name)
}

func joinPath(path, name string, index int) string {
	switch {
	case name == "":
		return path + "[" + strconv.Itoa(index) + "]"
	case path == "":
		return name
	}
	return path + "." + name
}

// checkStructure rejects what nests too deep, and objects that name a field twice: which of the two counts would
// depend on the reader. The value begins at i; path is called only for a fault.
func checkStructure(b []byte, i, depth int, path func() string) error {
	if depth > maxDepth {
		return fieldError("", "nests more than %d deep", maxDepth)
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
			firstErr = fieldError(joinPath(path(), names[k], 0), "named twice")
		}
	}
	return firstErr
}

// pathAtOffset names the innermost value in the one at i that a reader was at when it had read offset bytes.
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
