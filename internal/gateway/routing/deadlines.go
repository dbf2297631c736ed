package routing

import (
	"encoding/json"
	"strconv"
)

// changedRoutes are the routes that a change brings, by Replace or Amend.
type changedRoutes struct {
	Vhosts  []ConfigHost `json:"vhosts"`
	Upserts struct {
		Vhosts []ConfigHost `json:"vhosts"`
	} `json:"upserts"`
}

// CheckDeadlines rejects a change that brings a route whose deadline is 0: each of its requests would time out before it
// began. The leader checks it before it proposes the change. What the log holds is applied all the same: earlier versions
// accepted such routes.
func CheckDeadlines(body []byte) error {
	var c changedRoutes
	if json.Unmarshal(body, &c) != nil {
		return nil // rejected where it is read
	}
	if err := checkHostDeadlines(c.Vhosts, ""); err != nil {
		return err
	}
	return checkHostDeadlines(c.Upserts.Vhosts, "upserts.")
}

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
