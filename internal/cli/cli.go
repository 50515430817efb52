// Package cli implements the subcommands of heatherlift. The exit code is 0 on
// success, 1 on a rejected input or a failure, and 2 on a usage error.
package cli

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"

	"heatherlift.example/heatherlift/internal/settings"
)

// Version is the release version of the binary.
const Version = "0.1.0"

// Main runs the subcommand that args selects and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("heatherlift", flag.ContinueOnError)
	flags.SetOutput(stderr)
	commander := subcommands.NewCommander(flags, "heatherlift")
	commander.Output = stdout
	commander.Error = stderr
	out := output{stdout: stdout, stderr: stderr}
	commander.Register(commander.HelpCommand(), "")
	commander.Register(&proxyCommand{output: out}, "")
	commander.Register(&checkCommand{output: out}, "configuration")
	commander.Register(&renderCommand{output: out}, "configuration")
	commander.Register(&diffCommand{output: out}, "configuration")
	commander.Register(&packCommand{output: out}, "configuration")
	commander.Register(&statusCommand{output: out}, "operation")
	commander.Register(&dumpCommand{output: out}, "operation")
	commander.Register(&explainCommand{output: out}, "operation")
	commander.Register(&settingsCommand{output: out}, "")
	commander.Register(&replayCommand{output: out}, "operation")
	commander.Register(&traceCommand{output: out}, "operation")
	commander.Register(&versionCommand{output: out}, "")
	if err := flags.Parse(args); err != nil {
		return int(subcommands.ExitUsageError)
	}
	return int(commander.Execute(context.Background()))
}

// output holds the output streams of a command.
type output struct {
	stdout, stderr io.Writer
}

// fail prints err to stderr and returns ExitFailure.
func (o output) fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(o.stderr, err)
	return subcommands.ExitFailure
}

// usageError prints a usage message to stderr and returns ExitUsageError.
func (o output) usageError(message string) subcommands.ExitStatus {
	fmt.Fprintln(o.stderr, message)
	return subcommands.ExitUsageError
}

// versionCommand prints the program version.
type versionCommand struct{ output }

func (*versionCommand) Name() string             { return "version" }
func (*versionCommand) Synopsis() string         { return "print the version" }
func (*versionCommand) Usage() string            { return "version\n" }
func (*versionCommand) SetFlags(_ *flag.FlagSet) {}

func (c *versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Fprintln(c.stdout, "heatherlift "+Version)
	return subcommands.ExitSuccess
}

// settingsCommand prints the settings reference.
type settingsCommand struct{ output }

func (*settingsCommand) Name() string             { return "settings" }
func (*settingsCommand) Synopsis() string         { return "print the settings reference" }
func (*settingsCommand) Usage() string            { return "settings\n" }
func (*settingsCommand) SetFlags(_ *flag.FlagSet) {}

func (c *settingsCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Fprint(c.stdout, settings.Reference())
	return subcommands.ExitSuccess
}
