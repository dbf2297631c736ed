package architecture

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// goText is the Go files of folders, in one text.
func goText(t *testing.T, folders ...string) string {
	t.Helper()
	var all strings.Builder
	for _, folder := range folders {
		files, err := filepath.Glob(filepath.Join(root, folder, "*.go"))
		must.NoError(t, err)
		for _, name := range files {
			if strings.HasSuffix(name, "_test.go") {
				continue
			}
			content, err := os.ReadFile(name)
			must.NoError(t, err)
			all.Write(content)
		}
	}
	return all.String()
}

var (
	columnHead = regexp.MustCompile(`\b[A-Z]{3,}( [A-Z]+)*\b`)
	notColumns = []string{"CLOVERGAP", "ADDRESS", "FILE", "UDP"}
)

// lostWays gives the commands, log messages and columns of docs/questions.md that the programs don't have. A row of its table is question,
// commands, log messages, page, file.
func lostWays(page, commands, node string) (lost []string) {
	for line := range strings.Lines(page) {
		cells := strings.Split(line, "|")
		if len(cells) != 7 {
			continue
		}
		for _, m := range backquoted.FindAllStringSubmatch(cells[2], -1) {
			if !isCommand(m[1], commands) {
				lost = append(lost, m[1])
			}
		}
		for _, m := range backquoted.FindAllStringSubmatch(cells[3], -1) {
			if !strings.Contains(node, `"`+m[1]+`"`) {
				lost = append(lost, m[1])
			}
		}
	}
	for _, column := range columnHead.FindAllString(page, -1) {
		if !strings.Contains(commands, `"`+column+`"`) && !slices.Contains(notColumns, column) {
			lost = append(lost, column)
		}
	}
	return lost
}

// isCommand tells whether a command line has subcommands and flags alone that there are; capitals stand for a value.
func isCommand(line, commands string) bool {
	for _, word := range strings.Fields(strings.TrimPrefix(line, "gateway ")) {
		subcommand, flag := `"subcommand:`+word+`"`, `"`+word+`"`
		if word != strings.ToUpper(word) && !strings.Contains(commands, subcommand) && !strings.Contains(commands, flag) {
			return false
		}
	}
	return true
}

// Guards against commands, columns and log messages that have got another name: who is on call would search for the former one.
func TestQuestionsHaveTheirWay(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs/questions.md"))
	must.NoError(t, err)
	commands, node := goText(t, "cmd/gateway"), goText(t, "internal/gateway/node", "internal/gateway/admission")
	must.Eq(t, []string(nil), lostWays(string(page), commands, node))
	planted := "| why | `gateway status`, `gateway nothere` | `not ready`, `no such message` | page | file |\nsee TERM and NOSUCHCOLUMN"
	must.Eq(t, []string{"gateway nothere", "no such message", "NOSUCHCOLUMN"}, lostWays(planted, commands, node))
}
