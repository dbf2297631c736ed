package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"clovergap/internal/lab/emulator"
	"clovergap/internal/lab/experiments"
	"clovergap/internal/lab/faultrig"
	"clovergap/internal/lab/mutants"
	"clovergap/internal/lab/spec"
)

func mutantsCommand() *cobra.Command {
	var table, only, out string
	o := mutants.Options{}
	c := &cobra.Command{Use: "mutants", Short: "Take the program's defences away one by one, and see what finds it", Args: exactly(0, "no arguments"),
		Long: "For each change of the table, copies the source, makes the change, builds it, and plays the experiments named for it\n" +
			"until one breaks a rule. Prints the table of docs/lab.md. Ends with 1 if any is not found.",
		Example: "  lab mutants --emulated 200 --processes 8\n  lab mutants --only window",
		RunE: func(c *cobra.Command, _ []string) error {
			if o.Emulated < 1 || o.Processes < 1 || o.Jobs < 1 {
				return usageError{errors.New("--emulated, --processes and --jobs must be 1 at the least")}
			}
			t, err := mutants.Load(table)
			if err != nil {
				return err
			}
			for i := range t.Mutant {
				if err := t.Mutant[i].Fits(o.Root); err != nil {
					return err
				}
			}
			text := "| defence taken away | where | found by | seeds | rule named |\n| --- | --- | --- | --- | --- |\n"
			fmt.Print(text)
			played, found := 0, 0
			for i := range t.Mutant {
				if !strings.Contains(t.Mutant[i].Name, only) {
					continue
				}
				f, err := mutants.Run(c.Context(), &t.Mutant[i], o)
				if err != nil {
					return err
				}
				if played++; f.Experiment != "" {
					found++
				}
				fmt.Println(f.Row())
				text += f.Row() + "\n"
			}
			if out != "" {
				if err := os.WriteFile(out, []byte(text), 0o644); err != nil {
					return err
				}
			}
			fmt.Printf("found %d of %d\n", found, played)
			if found < played {
				return fmt.Errorf("%d of %d were not found", played-found, played)
			}
			return nil
		}}
	c.Flags().StringVar(&table, "table", "lab/mutants.toml", "file of changes")
	c.Flags().StringVar(&only, "only", "", "only those whose name holds this")
	c.Flags().StringVar(&out, "out", "", "write the table to this file as well")
	c.Flags().StringVar(&o.Root, "source", ".", "the source tree")
	c.Flags().IntVar(&o.Emulated, "emulated", 300, "schedules in simulated time at most")
	c.Flags().IntVar(&o.Processes, "processes", 12, "schedules on real processes at most")
	c.Flags().DurationVar(&o.For, "for", 12*time.Second, "how long each runs on real processes")
	c.Flags().IntVar(&o.Jobs, "jobs", 3, "runs on real processes side by side")
	return c
}

func keptCommand() *cobra.Command {
	var named string
	var k chaos
	c := &cobra.Command{Use: "kept [DIR]", Short: "Play the schedules kept of bugs that were found: none may fail again", Args: func(_ *cobra.Command, args []string) error {
		if len(args) > 1 {
			return usageError{fmt.Errorf("wants one folder at most, got %d", len(args))}
		}
		return nil
	},
		Long: "Plays each schedule of the folder as it is: in simulated time, and on real processes where its name says so\n" +
			"(NAME.processes.toml). Ends with 1 if any breaks a rule.",
		Example: "  lab kept\n  lab kept lab/kept --processes=false",
		RunE: func(c *cobra.Command, args []string) error {
			dir := "lab/kept"
			if len(args) == 1 {
				dir = args[0]
			}
			files, err := filepath.Glob(filepath.Join(dir, "*.toml"))
			if err != nil || len(files) == 0 {
				return fmt.Errorf("%s holds no schedules", dir)
			}
			failed := 0
			for _, file := range files {
				s, err := spec.Load(file)
				if err != nil {
					return err
				}
				if !strings.HasSuffix(file, ".processes.toml") {
					r, wrong := experiments.One(s, file, false)
					if wrong != nil {
						return wrong
					}
					printKept(file, r)
					if r.RulesBroken > 0 {
						failed++
					}
					continue
				}
				if !k.replay {
					continue
				}
				path, done, err := program("clovergap", named)
				if err != nil {
					return err
				}
				k.named = path
				r, err := faultrig.Play(c.Context(), s, k.options())
				done()
				if err != nil {
					return err
				}
				if err := k.report(r); err != nil {
					return err
				}
				if len(r.Broken) > 0 {
					failed++
				}
			}
			if failed > 0 {
				return fmt.Errorf("%d of %d kept schedules fail", failed, len(files))
			}
			return nil
		}}
	c.Flags().StringVar(&named, "program", "", "clovergap program (default: beside lab, under bin, or built)")
	c.Flags().BoolVar(&k.replay, "processes", true, "also those on real processes")
	return c
}

func printKept(file string, r *emulator.Result) {
	verdict := "kept all rules"
	if r.RulesBroken > 0 {
		verdict = "BROKE " + r.Broken[0].String()
	}
	fmt.Printf("%s: service %.3f, %s\n", filepath.Base(file), r.Service, verdict)
}
