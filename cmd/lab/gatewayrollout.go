package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"clovergap/internal/lab/experiments"
	"clovergap/internal/lab/faultrig"
	"clovergap/internal/lab/gatewaystandin"
)

// gatewayRollout are the flags of playing roll-outs on the gateway's nodes.
type gatewayRollout struct {
	gatewayChaos
	play, arm, page string
	dwell           time.Duration
}

func gatewayRolloutCommand() *cobra.Command {
	k := gatewayRollout{gatewayChaos: gatewayChaos{most: 2}}
	plays := slices.Sorted(maps.Keys(gatewaystandin.Plays()))
	c := &cobra.Command{Use: "rollout PLAY",
		Short: "Roll-outs of a version that fails partway, on real nodes, with kills and stalls at the pull-back",
		Args:  exactly(1, "one of "+strings.Join(plays, ", ")),
		Long: "Starts nodes, three of them with a disk, with backends of two versions, an operator and clients who are many\n" +
			"users; shifts users onto the new version in four steps, lets it fail partway, and brings faults of nodes about\n" +
			"the moment of the pull-back. Everything is drawn from the seed. Holds what was seen against the rules: each\n" +
			"write that a client was told is recorded once, none that was refused, none twice; reads under way come whole;\n" +
			"nothing reaches the version by a node that has pulled back. Ends with 1 if a rule was broken.\n" +
			"PLAY is " + strings.Join(plays, " or ") + ".",
		Example: "  lab gateway rollout sale-day --seeds 50 --jobs 3 --out sale.jsonl\n" +
			"  lab gateway rollout certification-week --first 7 --seeds 1 --page week.html\n" +
			"  lab gateway rollout sale-day --arm unjudged        # the same, and nothing pulls it back",
		RunE: func(c *cobra.Command, args []string) error {
			if k.play = args[0]; !slices.Contains(plays, k.play) {
				return usageError{fmt.Errorf("no such play: %q", k.play)}
			}
			if !slices.Contains(faultrig.Arms, faultrig.Arm(k.arm)) {
				return usageError{fmt.Errorf("no such arm: %q", k.arm)}
			}
			if err := k.sound(); err != nil {
				return err
			}
			if k.dwell != 0 && k.dwell < time.Second {
				return usageError{fmt.Errorf("--dwell must be 1s at the least")}
			}
			return k.built(c.Context(), k.run)
		}}
	c.Flags().StringVar(&k.named, "program", "", "gateway program (default: beside lab, under bin, or built)")
	k.flags(c, 160)
	c.Flags().DurationVar(&k.dur, "for", 12*time.Second, "how long a failing version is waited for at most")
	c.Flags().StringVar(&k.arm, "arm", string(faultrig.Judged), "judged; unjudged: it fails and nothing counts; good: it does "+
		"not fail;\nalone: it fails while most of the core stands still")
	c.Flags().DurationVar(&k.dwell, "dwell", 0, "how long a step lasts at the least (default: drawn, 1.5 to 2.5 s)")
	c.Flags().StringVar(&k.page, "page", "", "write a page with the versions' courses here")
	return c
}

const rolloutTable = "%4v %9v %5v %7v %7v %7v %7v %6v %5v %5v %9v %9v %6v  %s\n"

func (g *gatewayRollout) run(ctx context.Context) error {
	fmt.Printf(rolloutTable, "seed", "advance", "share", "verdict", "nodes", "last", "met it", "failed", "lost", "reads",
		"unclear", "recorded", "asked", "flaw, verdict")
	var all []*faultrig.RolloutResult
	failed := playSeeds(ctx, &g.seedRuns, func(ctx context.Context, seed uint64) (*faultrig.RolloutResult, error) {
		s := faultrig.DrawRollout(g.play, faultrig.Arm(g.arm), seed, g.nodes, g.dur)
		if g.dwell > 0 {
			s.Last(g.dwell)
		}
		return faultrig.PlayRollout(ctx, s, g.options())
	}, func(r *faultrig.RolloutResult) (bool, error) {
		all = append(all, r)
		return len(r.Broken) > 0, g.report(r)
	})
	showRollouts(all)
	if g.page != "" {
		f, err := os.Create(g.page)
		if err != nil {
			return err
		}
		defer f.Close()
		if err := experiments.Rollouts(f, g.play+", "+g.arm, all); err != nil {
			return err
		}
	}
	return failed
}

func (g *gatewayRollout) report(r *faultrig.RolloutResult) error {
	sec := func(d time.Duration) string { return fmt.Sprintf("%.2fs", d.Seconds()) }
	fmt.Printf(rolloutTable, r.Seed, r.Advance, fmt.Sprintf("%g%%", float64(r.Share)/100), sec(r.Met.Verdict), sec(r.Met.LastNode),
		sec(r.Met.Last), r.Met.Requests, r.Met.Failing, r.Met.Clients,
		fmt.Sprintf("%d/%d", r.Reads.Whole, r.Reads.UnderWay), fmt.Sprintf("%d/%d", r.Open.Recorded, r.Open.All), r.Recorded,
		r.Asked, strings.Join(slices.DeleteFunc([]string{r.Flaw, r.Verdict(), formatSelfRollbacks(r), formatDoubted(&r.GatewayResult), strings.Join(r.Faults, ", ")},
			func(s string) bool { return s == "" }), "; "))
	showBroken(&r.GatewayResult)
	return addResult(g.out, r)
}

// formatSelfRollbacks tells how many nodes rolled back by themselves.
func formatSelfRollbacks(r *faultrig.RolloutResult) string {
	if r.SelfRollbacks == 0 {
		return ""
	}
	return fmt.Sprintf("%d nodes by themselves", r.SelfRollbacks)
}

// formatDoubted tells of a run whose times are not trusted.
func formatDoubted(r *faultrig.GatewayResult) string {
	if len(r.Doubted) == 0 {
		return ""
	}
	return fmt.Sprintf("%d set aside, the rig was held up for %s", len(r.Doubted), r.Slow.Round(time.Millisecond))
}

// showRollouts sums up: all that were pulled back, and by the share at which the version began to fail.
func showRollouts(all []*faultrig.RolloutResult) {
	by := map[int][]*faultrig.RolloutResult{}
	for _, r := range all {
		by[r.Share] = append(by[r.Share], r)
	}
	show := func(name string, some []*faultrig.RolloutResult) {
		s := faultrig.SumRollouts(some)
		b, _ := json.Marshal(s)
		fmt.Printf("%s: %s\n", name, b)
	}
	for _, share := range slices.Sorted(maps.Keys(by)) {
		show(fmt.Sprintf("at %g%%", float64(share)/100), by[share])
	}
	show("all", all)
}
