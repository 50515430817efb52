package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/source"
)

// checkCommand validates a configuration directory.
type checkCommand struct{ output }

func (*checkCommand) Name() string             { return "check" }
func (*checkCommand) Synopsis() string         { return "validate a configuration directory" }
func (*checkCommand) Usage() string            { return "check DIR\n  Validate DIR as proxies do.\n" }
func (*checkCommand) SetFlags(_ *flag.FlagSet) {}

func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.usage(c.Usage())
	}
	orgs, err := compileDirectory(f.Arg(0))
	if err != nil {
		return c.fail(err)
	}
	fmt.Fprintf(c.stdout, "%d organisations are valid\n", len(orgs))
	return subcommands.ExitSuccess
}

// compileDirectory returns the organisations of a directory, or its problems.
func compileDirectory(dir string) (map[string]*config.Organisation, error) {
	d, err := config.ReadDirectory(dir)
	if err != nil {
		return nil, err
	}
	orgs, problems := d.Check()
	if len(problems) > 0 {
		return nil, problems
	}
	return orgs, nil
}

// renderCommand prints what a proxy enforces for an organisation.
type renderCommand struct {
	output
	organisation string
}

func (*renderCommand) Name() string     { return "render" }
func (*renderCommand) Synopsis() string { return "print what a proxy would enforce" }
func (*renderCommand) Usage() string    { return "render DIR -organisation NAME\n" }

func (c *renderCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.organisation, "organisation", "", "`NAME` of the organisation")
}

func (c *renderCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	dir, ok := interleaved(f)
	if !ok || c.organisation == "" {
		return c.usage(c.Usage())
	}
	orgs, err := compileDirectory(dir)
	if err != nil {
		return c.fail(err)
	}
	org, ok := orgs[c.organisation]
	if !ok {
		return c.fail(errors.Newf("%s: no organisation %q", dir, c.organisation))
	}
	return c.printJSON(org)
}

// interleaved returns the one argument of a command whose flags may follow it.
func interleaved(f *flag.FlagSet) (string, bool) {
	if f.NArg() == 0 {
		return "", false
	}
	dir := f.Arg(0)
	if err := f.Parse(f.Args()[1:]); err != nil {
		return "", false
	}
	return dir, f.NArg() == 0
}

func (o output) printJSON(v any) subcommands.ExitStatus {
	enc := json.NewEncoder(o.stdout)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return o.fail(err)
	}
	return subcommands.ExitSuccess
}

// diffCommand prints what a change does, organisation by organisation.
type diffCommand struct{ output }

func (*diffCommand) Name() string             { return "diff" }
func (*diffCommand) Synopsis() string         { return "print what a change does to each organisation" }
func (*diffCommand) Usage() string            { return "diff DIR1 DIR2\n" }
func (*diffCommand) SetFlags(_ *flag.FlagSet) {}

func (c *diffCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 2 {
		return c.usage(c.Usage())
	}
	before, err := compileDirectory(f.Arg(0))
	if err != nil {
		return c.fail(err)
	}
	after, err := compileDirectory(f.Arg(1))
	if err != nil {
		return c.fail(err)
	}
	for _, line := range config.Compare(before, after) {
		fmt.Fprintln(c.stdout, line)
	}
	return subcommands.ExitSuccess
}

// packCommand writes the values that an operator publishes on the platform.
type packCommand struct {
	output
	source string
	out    string
	force  bool
}

func (*packCommand) Name() string     { return "pack" }
func (*packCommand) Synopsis() string { return "write the values to publish on the platform" }
func (*packCommand) Usage() string {
	return "pack DIR -out DIR [-source URL] [-force]\n  Write manifest and blobs, to be published blobs first.\n"
}

func (c *packCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.source, "source", "", "base `URL` of the configuration source that holds the previous version")
	f.StringVar(&c.out, "out", "", "`DIR` to write to")
	f.BoolVar(&c.force, "force", false, "pack an invalid directory too")
}

func (c *packCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	dir, ok := interleaved(f)
	if !ok || c.out == "" {
		return c.usage(c.Usage())
	}
	d, err := config.ReadDirectory(dir)
	if err != nil {
		return c.fail(err)
	}
	if _, problems := d.Check(); len(problems) > 0 && !c.force {
		return c.fail(problems)
	}
	previous, blobs, err := c.previous(ctx)
	if err != nil {
		return c.fail(err)
	}
	manifest, packed, err := d.Pack(previous, blobs)
	if err != nil {
		return c.fail(err)
	}
	if err := writePack(c.out, manifest, packed); err != nil {
		return c.fail(err)
	}
	fmt.Fprintf(c.stdout, "packed %d organisations, %d blobs\n", len(manifest.Organisations), len(packed))
	return subcommands.ExitSuccess
}

// previous reads the version in the source, nil if there is none.
func (c *packCommand) previous(ctx context.Context) (*config.Manifest, map[config.Hash][]byte, error) {
	if c.source == "" {
		return nil, nil, nil
	}
	client := source.NewClient(c.source, nil)
	defer client.Close()
	return source.Published(ctx, client)
}

func writePack(dir string, m *config.Manifest, blobs map[config.Hash][]byte) error {
	if err := os.MkdirAll(filepath.Join(dir, config.BlobPrefix), 0o755); err != nil {
		return errors.Wrap(err, "write pack")
	}
	for _, h := range slices.Sorted(maps.Keys(blobs)) {
		if err := os.WriteFile(filepath.Join(dir, config.BlobPrefix, string(h)), blobs[h], 0o644); err != nil {
			return errors.Wrap(err, "write pack")
		}
	}
	err := os.WriteFile(filepath.Join(dir, config.ManifestKey), m.Encode(), 0o644)
	return errors.Wrap(err, "write pack")
}
