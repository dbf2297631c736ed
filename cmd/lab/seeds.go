package main

import (
	"context"
	"fmt"

	"clovergap/internal/lab/experiments"
)

// seedRuns are the flags of all that plays a schedule for each seed.
type seedRuns struct {
	first       uint64
	seeds, jobs int
	keep        string // folder for what failed
	firstBroken bool   // end when a rule is broken
}

// playSeeds plays a schedule for each seed, some side by side, and tells each result, which may be of broken rules.
func playSeeds[R any](ctx context.Context, k *seedRuns, play func(context.Context, uint64) (R, error), tell func(R) (bool, error)) error {
	seeds, enough := context.WithCancel(ctx)
	defer enough()
	broken, played := 0, 0
	err := experiments.Seeds(seeds, k.first, k.seeds, k.jobs, func(seed uint64) (R, error) { return play(seeds, seed) },
		func(_ int, r R) error {
			bad, err := tell(r)
			if played++; bad {
				if broken++; k.firstBroken {
					enough()
				}
			}
			return err
		})
	fmt.Printf("%d of %d schedules played, %d broke rules\n", played, k.seeds, broken)
	switch {
	case ctx.Err() != nil:
		return fmt.Errorf("stopped after %d of %d schedules, %d broke rules; --first goes on from there", played, k.seeds, broken)
	case err != nil && seeds.Err() == nil:
		return err
	case broken > 0:
		return fmt.Errorf("%d of %d schedules broke rules; they are kept in %s", broken, k.seeds, k.keep)
	}
	return nil
}
