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
	c := &cobra.Command{Use: "draw", Short: "Draw harsh days from the kinds of trouble that a site lists", Args: exactly(0, "no arguments"),
		Long: "Writes one file a day, named by site and seed, each of which the bench plays: fleetbench run SITE FILE --why \"...\".\n" +
			"The same site file and seed give the same day. Days that broke a rule are kept in lab/days.",
		Example: "  lab days draw --site SITE.toml --seed 1 --count 60 --out drawn",
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
				if err := errors.Join(faultdays.Draw(s, seed+n).Write(f), f.Close()); err != nil {
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
	f.StringVar(&out, "out", "", "folder that the files go to; made if it is missing")
	return c
}
