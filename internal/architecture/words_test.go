package architecture

import (
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// withdrawn are the names of packages and things from before, by the part of an identifier or the word of a sentence that
// they were. None stands in code, pages, settings or texts.
var withdrawn = strings.Fields(`
	playhouse playhouses house houses
	prompter prompters promptbook promptbooks playbill playbills bill bills callsheet callsheets callboard callboards board boards
	company companies wings stagedoor foyer boxoffice casting understudy understudies critic critics extras
	repertoire rehearse rehearses rehearsed rehearsal rehearsals
	door doors seat seats seated keeper keepers curtain curtains cue cues mail mails usher ushers theatre theatres`)

// frontDoor goes before "door" where the program of deploy/balancer.toml is meant, which is called so.
var frontDoor = regexp.MustCompile(`(?i)front[ _-]?$`)

// kept are names that stay, since other programs and older versions of this one read them: the file of the log, the fields and
// types that gob sends or keeps on disk, the settings that the platform sends, and names in recorded frames and disks.
var kept = []string{"promptbook.db", "mailPerS", "mail_per_s", "ZooKeeper", "`House`", `Name: "door-0"`, `"bills": 2`}

// keptFields are the fields of such types. They may stand as they are, as whole identifiers, in Go files.
var keptFields = strings.Fields(`Bills Board Door House Keeper Seat Seats`)

// passedOver are paths of what was recorded, of lists that other programs write, and of the page that maps withdrawn words to the terms in
// their place; so are results, lines of JSON.
var passedOver = []string{"journal/", "CHANGELOG.md", "docs/glossary.md", "docs/capacity/predicted-400.md", "docs/capacity/nodes-720.txt", "docs/capacity/hollow-96.txt", "docs/lab/", "go.sum", "golangci-lint.sum", "golangci-lint.mod",
	"internal/architecture/words_test.go",
	"internal/architecture/testdata/", "internal/gateway/node/testdata/before.", "internal/gateway/node/testdata/dd5a45a."}

var (
	word    = regexp.MustCompile(`[A-Za-z]+`)
	subword = regexp.MustCompile(`[A-Z]?[a-z]+|[A-Z]+`)
)

// found is a withdrawn word at a place.
type found struct {
	line int
	word string
	text string
}

// search finds withdrawn words in a text.
func search(name, text string) (all []found) {
	for _, k := range kept {
		text = strings.ReplaceAll(text, k, "")
	}
	before := "" // the end of the line before: a sentence may break between "front" and "door"
	for n, line := range strings.Split(text, "\n") {
		for _, at := range word.FindAllStringIndex(line, -1) {
			whole := line[at[0]:at[1]]
			if strings.HasSuffix(name, ".go") && slices.Contains(keptFields, whole) {
				continue
			}
			for _, part := range subword.FindAllStringIndex(whole, -1) {
				begin := at[0] + part[0]
				w := strings.ToLower(line[begin : at[0]+part[1]])
				if !slices.Contains(withdrawn, w) || strings.HasPrefix(w, "door") && frontDoor.MatchString(before+line[:begin]) {
					continue
				}
				all = append(all, found{n + 1, w, strings.TrimSpace(line)})
			}
		}
		before = strings.TrimRight(line, " ") + " "
	}
	return all
}

// tracked are the repository's files.
func tracked(t *testing.T) []string {
	t.Helper()
	c := exec.Command("git", "ls-files", "-z")
	c.Dir = root
	out, err := c.Output()
	must.NoError(t, err)
	files := strings.Split(strings.TrimRight(string(out), "\x00"), "\x00")
	must.Greater(t, 300, len(files))
	return files
}

// readLeft reads how many withdrawn words are left in which file.
func readLeft(t *testing.T) map[string]int {
	t.Helper()
	left := map[string]int{}
	text, err := os.ReadFile("testdata/withdrawn-left.txt")
	if os.IsNotExist(err) {
		return left
	}
	must.NoError(t, err)
	for line := range strings.Lines(string(text)) {
		count, name, _ := strings.Cut(strings.TrimSpace(line), " ")
		n, err := strconv.Atoi(count)
		must.NoError(t, err)
		left[name] = n
	}
	return left
}

// Guards against names that a newcomer would have to be told. testdata/withdrawn-left.txt lists how many stand in which file
// until all are renamed; no file may have more, and a file that isn't there may have none.
// WITHDRAWN=file prints a file's places; WITHDRAWN=shrink writes the list anew, where it shrinks.
func TestWithdrawnWords(t *testing.T) {
	left, now := readLeft(t), map[string]int{}
	asked := os.Getenv("WITHDRAWN")
	for _, name := range tracked(t) {
		if slices.ContainsFunc(passedOver, func(p string) bool { return strings.HasPrefix(name, p) }) || strings.HasSuffix(name, ".jsonl") {
			continue
		}
		text, err := os.ReadFile(filepath.Join(root, name))
		if os.IsNotExist(err) {
			continue // moved, and not committed yet
		}
		must.NoError(t, err)
		all := search(name, string(text))
		if named := len(search("", name)); named > 0 {
			t.Errorf("the path %s has a withdrawn word", name)
		}
		if now[name] = len(all); len(all) > left[name] || name == asked {
			for _, f := range all {
				t.Logf("%s:%d: %s: %s", name, f.line, f.word, f.text)
			}
		}
		if len(all) > left[name] {
			t.Errorf("%s has %d withdrawn words, %d may be there", name, len(all), left[name])
		}
	}
	sum := 0
	for _, n := range now {
		sum += n
	}
	t.Logf("%d withdrawn words are left", sum)
	if asked == "shrink" {
		var lines strings.Builder
		for _, name := range slices.Sorted(maps.Keys(left)) {
			if n := min(now[name], left[name]); n > 0 {
				fmt.Fprintln(&lines, n, name)
			}
		}
		must.NoError(t, os.WriteFile("testdata/withdrawn-left.txt", []byte(lines.String()), 0o644))
	}
}

// Guards against a search that finds nothing: words in identifiers, sentences, paths and texts are found, others aren't.
func TestPlantedWordsAreFound(t *testing.T) {
	for text, want := range map[string][]string{
		"func (h *House) pullBoard(doorsMost int)":       {"board", "doors"},
		"the door of a house, its seats":                 {"door", "house", "seats"},
		"BoxOffice boxoffice.go internal/callboard":      {"boxoffice", "callboard"},
		"a front door, FrontDoors, front_door, keyboard": nil,
		"promptbook.db":                          nil,
		"x.Keeper == me && x.keeper != you":      {"keeper"},
		`log.Str("door", name)`:                  {"door"},
		"waybill, scoreboard, outdoors, mailbox": nil,
		"RehearseHTTP, nodeDoor, DOOR":           {"rehearse", "door", "door"},
	} {
		var words []string
		for _, f := range search("x.go", text) {
			words = append(words, f.word)
		}
		must.Eq(t, want, words, must.Sprint(text))
	}
	must.SliceLen(t, 1, search("x.md", "Keeper"))
}
