package routing

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"
)

// The functions here take JSON that is known to be valid, and hand out parts of it without copies.

// mostDepth bounds how deep a body nests; a configuration has six levels.
const mostDepth = 64

func skipSpace(b []byte, i int) int {
	for i < len(b) && (b[i] == ' ' || b[i] == '\n' || b[i] == '\t' || b[i] == '\r') {
		i++
	}
	return i
}

func skipText(b []byte, i int) int {
	for i++; i < len(b) && b[i] != '"'; i++ {
		if b[i] == '\\' {
			i++
		}
	}
	return i + 1
}

// skipValue gives the place after the value that begins at i.
func skipValue(b []byte, i int) int {
	for depth := 0; i < len(b); {
		switch b[i] {
		case '"':
			i = skipText(b, i)
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

// parts calls each for the values of the object or list that begins at i, in their order: with the name, or
// "" in a list, and with the value's bounds.
func parts(b []byte, i int, each func(name string, from, to int)) {
	if i = skipSpace(b, i); i == len(b) || b[i] != '{' && b[i] != '[' {
		return
	}
	named := b[i] == '{'
	for i = skipSpace(b, i+1); i < len(b) && b[i] != '}' && b[i] != ']'; {
		name := ""
		if named {
			end := skipText(b, i)
			name = textOf(b[i:end])
			i = skipSpace(b, skipSpace(b, end)+1)
		}
		from := i
		i = skipValue(b, i)
		each(name, from, i)
		if i = skipSpace(b, i); i < len(b) && b[i] == ',' {
			i = skipSpace(b, i+1)
		}
	}
}

// textOf reads a text between its quotes; what is no text is empty.
func textOf(raw []byte) string {
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

// fold makes names equal that encoding/json takes for the same field.
func fold(name string) string {
	for i := range len(name) {
		if name[i] >= utf8.RuneSelf {
			return strings.ToLower(strings.ToUpper(name)) // some letters have two lower forms
		}
	}
	return strings.ToLower(name)
}

func within(place, name string, index int) string {
	switch {
	case name == "":
		return place + "[" + strconv.Itoa(index) + "]"
	case place == "":
		return name
	}
	return place + "." + name
}

// survey refuses what nests too deep, and objects that name a field twice: which of the two counts would
// depend on the reader. The value begins at i; place is called only for a fault.
func survey(b []byte, i, depth int, place func() string) error {
	if depth > mostDepth {
		return fault("", "nests more than %d deep", mostDepth)
	}
	var bad error
	var names []string
	index := 0
	parts(b, i, func(name string, from, _ int) {
		if b[i] == '{' {
			names = append(names, fold(name))
		}
		at := index
		index++
		if bad == nil && (b[from] == '{' || b[from] == '[') {
			bad = survey(b, from, depth+1, func() string { return within(place(), name, at) })
		}
	})
	slices.Sort(names)
	for k := 1; k < len(names) && bad == nil; k++ {
		if names[k] == names[k-1] {
			bad = fault(within(place(), names[k], 0), "named twice")
		}
	}
	return bad
}

// placeAt names the innermost value in the one at i that a reader was at when it had read offset bytes.
func placeAt(b []byte, i, offset int, place string) string {
	found, index := place, 0
	parts(b, i, func(name string, from, _ int) {
		if from < offset {
			found = placeAt(b, from, offset, within(place, name, index))
		}
		index++
	})
	return found
}
