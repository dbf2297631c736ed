package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"clovergap/internal/lab/faultdays"
)

// daysCommand is about days of our own for the operators' bench.
func daysCommand() *cobra.Command {
	c := &cobra.Command{Use: "days", Short: "Days of our own for the operators' bench"}
	c.AddCommand(drawCommand())
	return c
}

func drawCommand() *cobra.Command {
	var site, out string
	var seed uint64
	var count int
	var length float64
	var others []string
	var overlappingCuts bool
	c := &cobra.Command{Use: "draw", Short: "Draw harsh days from the kinds of trouble that a site lists", Args: exactly(0, "no arguments"),
		Long: "Writes one file a day, named by site and seed, each of which the bench plays: fleetbench run SITE FILE --why \"...\".\n" +
			"The same site file and seed give the same day. Days that broke a rule are kept in lab/days.",
		Example: "  lab days draw --site SITE.toml --seed 1 --count 60 --out drawn\n" +
			"  lab days draw --site SITE.toml --long 240 --kind give_up,hup --out drawn    # hundreds of changes, troubles at any hour",
		RunE: func(*cobra.Command, []string) error {
			if site == "" || out == "" || count < 1 {
				return usageError{errors.New("--site and --out are needed, --count must be above nought")}
			}
			s, err := faultdays.Load(site)
			if err != nil {
				return err
			}
			if err := os.MkdirAll(out, 0o755); err != nil {
				return err
			}
			for n := range uint64(count) {
				file := filepath.Join(out, fmt.Sprintf("%s-%d.toml", s.Name, seed+n))
				f, err := os.Create(file)
				if err != nil {
					return err
				}
				day := faultdays.Draw(s, seed+n)
				if overlappingCuts {
					day = faultdays.DrawOverlappingCuts(s, seed+n)
				}
				if length > 0 {
					if day, err = faultdays.DrawLong(s, seed+n, length, others); err != nil {
						return usageError{err}
					}
				}
				if err := errors.Join(day.Write(f), f.Close()); err != nil {
					return err
				}
				fmt.Println(file)
			}
			return nil
		}}
	f := c.Flags()
	f.StringVar(&site, "site", "", "site file")
	f.Uint64Var(&seed, "seed", 1, "first seed")
	f.IntVar(&count, "count", 1, "how many days, one for each seed from the first on")
	f.Float64Var(&length, "long", 0, "long days, of so many seconds: hundreds of changes, troubles at any hour")
	f.StringSliceVar(&others, "kind", nil, "kinds of trouble that long days have beside those that the site lists")
	f.BoolVar(&overlappingCuts, "overlapping-cuts", false, "days on which members of the core are cut off one after the other, mostly in one direction")
	f.StringVar(&out, "out", "", "folder that the files go to; made if it is missing")
	return c
}
