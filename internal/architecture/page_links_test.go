package architecture

import (
	"os"
	"path"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

var (
	pageLink = regexp.MustCompile(`\]\(([\w./-]*)(#[^)]*)?\)`)
	heading  = regexp.MustCompile(`(?m)^#+ (.*)$`)
	notInURL = regexp.MustCompile(`[^\w\- ]`)
)

// anchors are the places of a page that a link may name: its headings, as the forges write them.
func anchors(page string) map[string]bool {
	all := map[string]bool{"": true}
	for _, m := range heading.FindAllStringSubmatch(page, -1) {
		all["#"+strings.ReplaceAll(notInURL.ReplaceAllString(strings.ToLower(m[1]), ""), " ", "-")] = true
	}
	return all
}

// brokenLinks gives the links of a page that lead to no page, or to none of its headings.
func (t *tree) brokenLinks(tb *testing.T, name, page string) (broken []string) {
	tb.Helper()
	for _, m := range pageLink.FindAllStringSubmatch(page, -1) {
		target, content := path.Join(path.Dir(name), m[1]), page
		if m[1] != "" && !t.paths[target] {
			broken = append(broken, m[1])
			continue
		}
		if m[1] != "" && strings.HasSuffix(target, ".md") {
			text, err := os.ReadFile(filepath.Join(root, target))
			must.NoError(tb, err)
			content = string(text)
		}
		if !anchors(content)[m[2]] {
			broken = append(broken, m[1]+m[2])
		}
	}
	return broken
}

// Guards against links that lead nowhere, from all pages.
func TestLinksLeadSomewhere(t *testing.T) {
	r := readTree(t)
	for name := range r.paths {
		if !strings.HasSuffix(name, ".md") || strings.HasPrefix(name, "journal/") {
			continue
		}
		page, err := os.ReadFile(filepath.Join(root, name))
		must.NoError(t, err)
		must.SliceEmpty(t, r.brokenLinks(t, name, string(page)), must.Sprint(name))
	}
	page := "# One place\n[here](#one-place) [there](gateway.md#the-way-of-a-request) [gone](nothere.md) [gone](#two-places) [gone](gateway.md#nowhere)"
	must.Eq(t, []string{"nothere.md", "#two-places", "gateway.md#nowhere"}, r.brokenLinks(t, "docs/state.md", page))
}
