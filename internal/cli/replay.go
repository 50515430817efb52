package cli

import (
	"bufio"
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"heatherlift.example/heatherlift/internal/node"
)

// replayCommand replays the recorded events of a proxy and prints the resulting
// internal state.
type replayCommand struct{ output }

func (*replayCommand) Name() string { return "replay" }
func (*replayCommand) Synopsis() string {
	return "replay the recorded events of a proxy and print the final state"
}

func (*replayCommand) Usage() string {
	return "replay FILE\n  Replay the events that `proxy -record FILE` wrote and print the final state.\n"
}
func (*replayCommand) SetFlags(_ *flag.FlagSet) {}

func (c *replayCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.usageError(c.Usage())
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
