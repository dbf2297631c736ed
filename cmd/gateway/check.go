package main

import (
	"fmt"
	"io"
	"os"

	"github.com/go-faster/errors"

	"clovergap/internal/gateway/routing"
	"clovergap/internal/gateway/settings"
)

type checkCmd struct {
	Settings string `arg:"--settings" help:"a settings file, YAML"`
	Config   string `arg:"--config" help:"a complete configuration, JSON"`
}

func (*checkCmd) examples() string {
	return `  gateway check --settings settings.yaml
  gateway check --config config.json`
}

// run reads the files as a node would, offline.
func (c *checkCmd) run(out io.Writer) error {
	if c.Settings == "" && c.Config == "" {
		return usageErrorf("name a file with --settings or --config")
	}
	if c.Settings != "" {
		s, err := settings.Load(c.Settings)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%s: valid, node %s in %s\n", c.Settings, s.NodeName, s.Zone)
	}
	if c.Config != "" {
		text, err := os.ReadFile(c.Config)
		if err != nil {
			return err
		}
		b, err := routing.ReadConfig(text)
		if err != nil {
			return errors.Wrap(err, c.Config)
		}
		t := routing.NewTable(b)
		fmt.Fprintf(out, "%s: valid, version %d, %d routes, %d tenants\n", c.Config, t.Version(), len(t.Routes()),
			len(t.Tenants()))
	}
	return nil
}
