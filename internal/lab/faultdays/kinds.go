package faultdays

import (
	"math"
	"math/rand/v2"
	"strings"
)

// sort tells what a kind of trouble strikes.
type sort int

const (
	ofService sort = iota // backends, clients and their connections
	ofControl             // machines of the core, their disks and links, races for a version
	ofPlan                // planned work
)

// kind is one row of the table: its sort, and what its fields may hold.
type kind struct {
	sort sort
	draw func(*drawer) Fault
}

// drawer draws values.
type drawer struct {
	*rand.Rand
	site *Site
}

func toHundredths(x float64) float64 { return math.Round(x*100) / 100 }

func (d *drawer) span(from, to float64) float64 { return toHundredths(from + d.Float64()*(to-from)) }

func (d *drawer) one(of ...string) string { return of[d.IntN(len(of))] }

// how puts together one word of each of some lists of words ("" is none).
func (d *drawer) how(lists ...string) string {
	var all []string
	for _, l := range lists {
		words := strings.Split(l, "|")
		if w := words[d.IntN(len(words))]; w != "" {
			all = append(all, w)
		}
	}
	return strings.Join(all, " ")
}

// long is how long something lasts: a third of the times 20 s.
func (d *drawer) long() float64 {
	switch d.IntN(3) {
	case 0:
		return 20
	case 1:
		return d.span(6, 14)
	}
	return d.span(1, 6)
}

// counted is how many machines of the core are struck: as many as may be lost, at most.
func (d *drawer) counted() int { return 1 + d.IntN(max(1, d.site.Tolerate.Machines)) }

func (d *drawer) service() string {
	if len(d.site.Services) == 0 || d.IntN(2) == 0 {
		return ""
	}
	return d.site.Services[d.IntN(len(d.site.Services))].Name
}

// What a trouble of a core machine may meet with: a change as it returns, two at once, again and again, backends that leave.
const (
	which = "leader|leader|reader|seed|"
	meets = "|meet|race|race hard|meet hard"
	drain = "drain|"
)

var table = map[string]kind{
	"core_cut": {ofControl, func(d *drawer) Fault {
		return Fault{Count: d.counted(), For: d.long(), How: d.how(which, "|one_way|both|seeds|both", meets, drain, "|||reset|refuse")}
	}},
	"node_freeze": {ofControl, func(d *drawer) Fault {
		return Fault{Target: "core", Count: d.counted(), For: d.long(), How: d.how(which, meets, drain)}
	}},
	"node_kill": {ofControl, func(d *drawer) Fault {
		return Fault{Target: "core", Count: d.counted(), For: d.span(0.2, 8), How: d.how("power|", which, meets, drain)}
	}},
	"config_race": {ofControl, func(d *drawer) Fault {
		return Fault{Count: 3 + d.IntN(28), Gap: d.span(0.1, 1)}
	}},
	"after_ack_wipe": {ofControl, func(d *drawer) Fault {
		return Fault{Count: d.counted(), For: d.span(0.3, 5), How: d.how("|timed|taken|kill")}
	}},
	"after_ack_kill": {ofControl, func(d *drawer) Fault {
		return Fault{Count: d.counted(), For: d.span(0.3, 5), How: d.how("|timed|taken|kill")}
	}},
	"disk_full": {ofControl, func(d *drawer) Fault { return Fault{Count: d.counted(), For: d.long()} }},
	"clock_step": {ofControl, func(d *drawer) Fault {
		return Fault{Share: d.span(0.1, 1), Strength: math.Round(d.span(300, 9000)), For: d.long(), How: d.how("ahead|back|leader|leader back|")}
	}},
	"herd_kill": {ofControl, func(d *drawer) Fault {
		return Fault{Target: d.one("core", "core", ""), Share: d.span(0.4, 1), For: d.span(0.3, 4), How: d.how("power|taken|")}
	}},
	"seed_turnover": {ofControl, func(*drawer) Fault { return Fault{} }},
	"node_cut": {ofControl, func(d *drawer) Fault {
		return Fault{Share: d.span(0.1, 0.6), For: d.long(), How: d.how("||servers")}
	}},
	"reset_conns": {ofControl, func(d *drawer) Fault {
		return Fault{Target: d.one("core", ""), Share: d.span(0.1, 1), Strength: d.span(0.2, 1)}
	}},

	"bad_config": {ofPlan, func(d *drawer) Fault {
		return Fault{Count: 1 + d.IntN(5), Gap: d.span(0.2, 1.5), How: d.how("||cut_short|unknown_service|old_version|stale_match|no_weight|same_version")}
	}},
	"config_change": {ofPlan, func(d *drawer) Fault { return Fault{How: d.how("route|weights|timeout|tenant|quota|idle")} }},
	"revoke":        {ofPlan, func(d *drawer) Fault { return Fault{Count: 1 + d.IntN(4), Gap: d.span(0.2, 2)} }},
	"release": {ofPlan, func(d *drawer) Fault {
		return Fault{Service: d.service(), Share: d.span(0.3, 1), Strength: float64(1 + d.IntN(4)), Gap: d.span(0.4, 1.5)}
	}},
	"scale_in": {ofPlan, func(d *drawer) Fault {
		if d.IntN(3) == 0 {
			return Fault{Share: d.span(0.08, 0.3), Strength: d.span(0.5, 4), How: "spot"}
		}
		return Fault{Share: d.span(0.08, 0.25)}
	}},
	"scale_out": {ofPlan, func(d *drawer) Fault { return Fault{Share: d.span(0.1, 0.4), Gap: d.span(0.5, 3)} }},
	"roll_term": {ofPlan, func(d *drawer) Fault {
		return Fault{Share: d.span(0.2, 1), Strength: float64(1 + d.IntN(3)), Gap: d.span(0.5, 2), How: d.how("busy|remove||busy")}
	}},
	"replace_with_reuse": {ofPlan, func(d *drawer) Fault { return Fault{Share: d.span(0.05, 0.3), How: d.how("drain|")} }},

	"hot_tenant": {ofService, func(d *drawer) Fault {
		return Fault{Strength: d.span(3, 12), For: d.span(4, 20), Count: d.IntN(4)}
	}},
	"burst": {ofService, func(d *drawer) Fault { return Fault{Strength: d.span(1.2, 1.8), For: d.span(2, 8)} }},
	"retry_abuse": {ofService, func(d *drawer) Fault {
		return Fault{Strength: d.span(2, 4), Share: d.span(0.1, 0.5), For: d.span(3, 10)}
	}},
	"srv_crash": {ofService, func(d *drawer) Fault {
		return Fault{Service: d.service(), Share: d.span(0.1, 0.3), For: d.span(1, 10), How: d.how("dark|", "gone||", "across||")}
	}},
	"srv_slow": {ofService, func(d *drawer) Fault {
		return Fault{Share: d.span(0.1, 0.3), Strength: d.span(2, 6), For: d.span(3, 12)}
	}},
	"srv_grey": {ofService, func(d *drawer) Fault {
		return Fault{Share: d.span(0.1, 0.25), Strength: d.span(0.2, 0.6), For: d.span(3, 12), How: d.how("errors|shed|busy|hang|reset|mute")}
	}},
	"srv_lying_health": {ofService, func(d *drawer) Fault {
		return Fault{Share: d.span(0.05, 0.2), For: d.span(3, 12), How: d.how("errors|hang|reset|bad")}
	}},
	"srv_flap": {ofService, func(d *drawer) Fault {
		return Fault{Share: d.span(0.05, 0.2), Gap: d.span(0.5, 2), For: d.span(3, 12)}
	}},
	"idle_race": {ofService, func(d *drawer) Fault {
		return Fault{Share: d.span(0.2, 0.8), Strength: math.Round(d.span(100, 500)), For: d.span(3, 12)}
	}},
	"answer_lost": {ofService, func(d *drawer) Fault {
		return Fault{Service: d.service(), Share: d.span(0.2, 0.8), Strength: d.span(0.01, 0.06), For: d.span(3, 12), How: d.how("reset|")}
	}},
	"garble": {ofService, func(d *drawer) Fault {
		return Fault{Service: d.service(), Share: d.span(0.2, 0.8), Strength: d.span(0.01, 0.04), For: d.span(3, 12), How: d.how("|extra|extra late")}
	}},
}
