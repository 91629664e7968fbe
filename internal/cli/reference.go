package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"github.com/google/subcommands"

	"quaybarrow/internal/reference"
)

// referenceCommand writes the reference pages.
type referenceCommand struct {
	env Environment
	dir string
}

// Name implements subcommands.Command.
func (*referenceCommand) Name() string { return "reference" }

// Synopsis implements subcommands.Command.
func (*referenceCommand) Synopsis() string {
	return "write the reference pages of settings and declarations"
}

// Usage implements subcommands.Command.
func (*referenceCommand) Usage() string { return "reference [-dir DIR]\n" }

// SetFlags implements subcommands.Command.
func (c *referenceCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.dir, "dir", "docs", "`directory` to write to")
}

// pagePermissions of what is written.
const pagePermissions = 0o644

// Execute implements subcommands.Command.
func (c *referenceCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return finish(c.env, c.run())
}

func (c *referenceCommand) run() error {
	pages := map[string]reference.Subject{"SETTINGS.md": reference.Settings(), "DECLARATIONS.md": reference.Declarations()}
	for name, subject := range pages {
		text, err := reference.Page(subject)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(c.dir, name), []byte(text), pagePermissions); err != nil {
			return fmt.Errorf("write %s: %w", name, err)
		}
	}
	return nil
}
