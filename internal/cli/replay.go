package cli

import (
	"bufio"
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"heatherlift.example/heatherlift/internal/node"
)

// replayCommand prints the state at the end of a recorded event stream.
type replayCommand struct{ output }

func (*replayCommand) Name() string     { return "replay" }
func (*replayCommand) Synopsis() string { return "print the state after a recorded event stream" }
func (*replayCommand) Usage() string {
	return "replay FILE\n  Feed a stream of `proxy -record FILE` to the reducer and print its state.\n"
}
func (*replayCommand) SetFlags(_ *flag.FlagSet) {}

func (c *replayCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.usage(c.Usage())
	}
	file, err := os.Open(f.Arg(0))
	if err != nil {
		return c.fail(err)
	}
	defer file.Close()
	n, err := node.Replay(bufio.NewReader(file))
	if err != nil {
		return c.fail(err)
	}
	return c.printJSON(n.Dump())
}
