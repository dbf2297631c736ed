package routing

import (
	"testing"

	"github.com/shoenig/test/must"
)

// A route whose deadline is 0 is refused by name of its place, in a whole configuration and in an amendment; any other is not, nor one that
// has none. Guards against a change that ends each request of its route before it began: one was taken on a long drawn day.
func TestDeadlineOfNoTime(t *testing.T) {
	host := func(deadline string) string {
		return `"vhosts":[{"hostname":"a.example","path_list":[{"name":"r","path_prefix":"/a/","variant":"pure","target":"s"` + deadline + `}]}]`
	}
	for deadline, refused := range map[string]bool{
		`,"deadline":"0ms"`: true, `,"deadline":"0s"`: true, `,"deadline":"0.0s"`: true, ``: false, `,"deadline":"1ms"`: false,
		`,"deadline":"0.5s"`: false, `,"deadline":"soon"`: false, // refused for that when it is read
	} {
		whole, amendment := CheckDeadlines([]byte("{"+host(deadline)+"}")), CheckDeadlines([]byte(`{"upserts":{`+host(deadline)+"}}"))
		must.Eq(t, refused, whole != nil, must.Sprint(deadline))
		must.Eq(t, refused, amendment != nil, must.Sprint(deadline))
		if refused {
			must.StrContains(t, whole.Error(), "vhosts[0].path_list[0].deadline")
			must.StrContains(t, amendment.Error(), "upserts.vhosts[0].path_list[0].deadline")
			must.StrContains(t, whole.Error(), "must be above 0")
		}
	}
	must.NoError(t, CheckDeadlines([]byte("{")))
}
