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

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "validate a configuration directory" }
func (*checkCommand) Usage() string {
	return "check DIR\n  Validate DIR with the same checks as a proxy.\n"
}
func (*checkCommand) SetFlags(_ *flag.FlagSet) {}

func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.usageError(c.Usage())
	}
	orgs, err := compileDirectory(f.Arg(0))
	if err != nil {
		return c.fail(err)
	}
	fmt.Fprintf(c.stdout, "%d organisations are valid\n", len(orgs))
	return subcommands.ExitSuccess
}

// compileDirectory reads and validates a configuration directory and returns
// its organisations. Validation problems are returned as the error.
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

// renderCommand prints the effective configuration of an organisation.
type renderCommand struct {
	output
	organisation string
}

func (*renderCommand) Name() string { return "render" }
func (*renderCommand) Synopsis() string {
	return "print the effective configuration of an organisation"
}
func (*renderCommand) Usage() string { return "render DIR -organisation NAME\n" }

func (c *renderCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.organisation, "organisation", "", "`NAME` of the organisation")
}

func (c *renderCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	dir, ok := parsePositional(f)
	if !ok || c.organisation == "" {
		return c.usageError(c.Usage())
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

// parsePositional returns the single positional argument of a command and
// parses the flags after it: package flag stops at the first positional one.
func parsePositional(f *flag.FlagSet) (string, bool) {
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

// diffCommand prints the differences between two configuration directories by
// organisation.
type diffCommand struct{ output }

func (*diffCommand) Name() string             { return "diff" }
func (*diffCommand) Synopsis() string         { return "compare two configuration directories by organisation" }
func (*diffCommand) Usage() string            { return "diff DIR1 DIR2\n" }
func (*diffCommand) SetFlags(_ *flag.FlagSet) {}

func (c *diffCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 2 {
		return c.usageError(c.Usage())
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

// packCommand writes the manifest and the blobs that an operator publishes to
// the platform.
type packCommand struct {
	output
	source string
	out    string
	force  bool
}

func (*packCommand) Name() string { return "pack" }
func (*packCommand) Synopsis() string {
	return "write the manifest and blobs to publish to the platform"
}

func (*packCommand) Usage() string {
	return "pack DIR -out DIR [-source URL] [-force]\n  Write the manifest and the blobs. Publish the blobs before the manifest.\n"
}

func (c *packCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.source, "source", "", "base `URL` of the configuration source that holds the previous version")
	f.StringVar(&c.out, "out", "", "`DIR` to write to")
	f.BoolVar(&c.force, "force", false, "pack the directory even if it is invalid")
}

func (c *packCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	dir, ok := parsePositional(f)
	if !ok || c.out == "" {
		return c.usageError(c.Usage())
	}
	d, err := config.ReadDirectory(dir)
	if err != nil {
		return c.fail(err)
	}
	if _, problems := d.Check(); len(problems) > 0 && !c.force {
		return c.fail(problems)
	}
	published, publishedBlobs, err := c.published(ctx)
	if err != nil {
		return c.fail(err)
	}
	manifest, packed, err := d.Pack(published, publishedBlobs)
	if err != nil {
		return c.fail(err)
	}
	if err := writePack(c.out, manifest, packed); err != nil {
		return c.fail(err)
	}
	fmt.Fprintf(c.stdout, "packed %d organisations, %d blobs\n", len(manifest.Organisations), len(packed))
	return subcommands.ExitSuccess
}

// published returns the manifest and the blobs that the source holds, or nil
// if -source is not set or nothing is published.
func (c *packCommand) published(ctx context.Context) (*config.Manifest, map[config.Hash][]byte, error) {
	if c.source == "" {
		return nil, nil, nil
	}
	client := source.NewClient(c.source, nil)
	defer client.Close()
	return source.ReadPublished(ctx, client)
}

func writePack(dir string, m *config.Manifest, blobs map[config.Hash][]byte) error {
	if err := os.MkdirAll(filepath.Join(dir, config.BlobPrefix), 0o755); err != nil {
		return errors.Wrap(err, "write packed configuration")
	}
	for _, h := range slices.Sorted(maps.Keys(blobs)) {
		if err := os.WriteFile(filepath.Join(dir, config.BlobPrefix, string(h)), blobs[h], 0o644); err != nil {
			return errors.Wrap(err, "write packed configuration")
		}
	}
	err := os.WriteFile(filepath.Join(dir, config.ManifestKey), m.Encode(), 0o644)
	return errors.Wrap(err, "write packed configuration")
}
