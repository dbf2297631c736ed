package routing

import (
	"encoding/json"
	"strconv"
)

// changedRoutes decodes the routes that a call sets: those of a Replace from Vhosts, those of an Amend from Upserts.
type changedRoutes struct {
	Vhosts  []ConfigHost `json:"vhosts"`
	Upserts struct {
		Vhosts []ConfigHost `json:"vhosts"`
	} `json:"upserts"`
}

// CheckDeadlines returns a *FieldError if a call sets a route whose deadline is 0. Each request on such a route would time out
// before it began. The leader calls CheckDeadlines before it proposes a change. Entries of the log are applied without this
// check, since earlier program versions accepted such routes. A body that cannot be parsed passes this check.
func CheckDeadlines(body []byte) error {
	var c changedRoutes
	if json.Unmarshal(body, &c) != nil {
		return nil // Register.Decide rejects this body
	}
	if err := checkHostDeadlines(c.Vhosts, ""); err != nil {
		return err
	}
	return checkHostDeadlines(c.Upserts.Vhosts, "upserts.")
}

// checkHostDeadlines returns a *FieldError for the first route whose deadline is 0. The prefix goes before the path in the error.
func checkHostDeadlines(hosts []ConfigHost, prefix string) error {
	for i := range hosts {
		for j := range hosts[i].PathList {
			r := &hosts[i].PathList[j]
			if r.Deadline == nil {
				continue
			}
			if d, err := ParseDuration(*r.Deadline); err == nil && d <= 0 {
				path := prefix + "vhosts[" + strconv.Itoa(i) + "].path_list[" + strconv.Itoa(j) + "].deadline"
				return fieldError(path, "must be above 0")
			}
		}
	}
	return nil
}
