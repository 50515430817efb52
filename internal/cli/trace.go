package cli

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"
)

// maxLogLine bounds a line of a log.
const maxLogLine = 1 << 20

// traceCommand joins the lines about one request from the logs of several
// proxies.
type traceCommand struct{ output }

func (*traceCommand) Name() string     { return "trace" }
func (*traceCommand) Synopsis() string { return "print what logs say about one request" }
func (*traceCommand) Usage() string {
	return "trace ID FILE...\n  Print the lines about a request from JSON logs, in the order of their clocks;\n  clocks of machines may differ.\n"
}
func (*traceCommand) SetFlags(*flag.FlagSet) {}

func (c *traceCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 2 {
		return c.usage(c.Usage())
	}
	var found []tracedLine
	for _, name := range f.Args()[1:] {
		lines, err := traceFile(name, f.Arg(0))
		if err != nil {
			return c.fail(err)
		}
		found = append(found, lines...)
	}
	if len(found) == 0 {
		return c.fail(fmt.Errorf("no line about request %q", f.Arg(0)))
	}
	slices.SortStableFunc(found, func(a, b tracedLine) int { return a.at.Compare(b.at) })
	for _, line := range found {
		fmt.Fprintln(c.stdout, line)
	}
	return subcommands.ExitSuccess
}

// tracedLine is a line about the request.
type tracedLine struct {
	at     time.Time
	origin string
	what   string
	fields map[string]any
}

// String renders the line with its fields sorted by name.
func (l tracedLine) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s %s", l.at.Format("15:04:05.000000"), l.origin, l.what)
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		names = append(names, name)
	}
	slices.SortFunc(names, cmp.Compare[string])
	for _, name := range names {
		if value := fmt.Sprint(l.fields[name]); value != "" {
			fmt.Fprintf(&text, " %s=%s", name, value)
		}
	}
	return text.String()
}

func traceFile(name, request string) ([]tracedLine, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return traceLines(file, name, request)
}

// traceLines returns the lines about a request. What stands before the JSON
// text of a line, such as the name of a machine, replaces the file's name.
func traceLines(r io.Reader, name, request string) ([]tracedLine, error) {
	var found []tracedLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		prefix, text, ok := strings.Cut(scanner.Text(), "{")
		if !ok || !strings.Contains(text, request) {
			continue
		}
		line := tracedLine{origin: name}
		if json.Unmarshal([]byte("{"+text), &line.fields) != nil || line.fields["request"] != request {
			continue
		}
		if prefix = strings.TrimSpace(prefix); prefix != "" {
			line.origin = prefix
		}
		line.at, _ = time.Parse(time.RFC3339Nano, fmt.Sprint(line.fields["time"]))
		line.what = fmt.Sprint(line.fields["msg"])
		for _, shown := range []string{"time", "msg", "level", "request"} {
			delete(line.fields, shown)
		}
		found = append(found, line)
	}
	return found, scanner.Err()
}
