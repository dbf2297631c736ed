package main

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"
)

// table writes aligned columns.
type table struct{ *tabwriter.Writer }

func newTable(out io.Writer, heads ...any) table {
	t := table{tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)}
	t.row(heads...)
	return t
}

func (t table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		if texts[i] = printable(fmt.Sprint(c)); texts[i] == "" {
			texts[i] = "-"
		}
	}
	fmt.Fprintln(t, strings.Join(texts, "\t"))
}

// printable replaces what is not printable, such as an escape that moves the cursor: names come from other machines.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return '?'
	}, s)
}

func yesNo(is bool) string {
	if is {
		return "yes"
	}
	return "no"
}

func optionalNumber[N int | int64](n *N) string {
	if n == nil {
		return ""
	}
	return strconv.FormatInt(int64(*n), 10)
}

func optionalAge(ms *int64) string {
	if ms == nil {
		return "never"
	}
	return (time.Duration(*ms) * time.Millisecond).String()
}

// ago gives an age in words.
func ago(ms *int64) string {
	if ms == nil {
		return optionalAge(ms)
	}
	return optionalAge(ms) + " ago"
}

// printJSON writes JSON as it is, with an end of line.
func printJSON(out io.Writer, text []byte) error {
	_, err := out.Write(append(bytes.TrimRight(text, "\n"), '\n'))
	return err
}
