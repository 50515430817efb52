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

// maxLogLineBytes bounds the length of a log line.
const maxLogLineBytes = 1 << 20

// traceCommand merges the log lines of one request from the logs of several
// proxies.
type traceCommand struct{ output }

func (*traceCommand) Name() string     { return "trace" }
func (*traceCommand) Synopsis() string { return "merge the log lines of one request" }
func (*traceCommand) Usage() string {
	return "trace ID FILE...\n  Print the lines of a request from JSON logs, sorted by timestamp;\n  clock skew between machines can change the order.\n"
}
func (*traceCommand) SetFlags(*flag.FlagSet) {}

func (c *traceCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 2 {
		return c.usageError(c.Usage())
	}
	var entries []logEntry
	for _, name := range f.Args()[1:] {
		matching, err := entriesInFile(name, f.Arg(0))
		if err != nil {
			return c.fail(err)
		}
		entries = append(entries, matching...)
	}
	if len(entries) == 0 {
		return c.fail(fmt.Errorf("no log line for request %q", f.Arg(0)))
	}
	slices.SortStableFunc(entries, func(a, b logEntry) int { return a.timestamp.Compare(b.timestamp) })
	for _, entry := range entries {
		fmt.Fprintln(c.stdout, entry)
	}
	return subcommands.ExitSuccess
}

// logEntry is a log line of the traced request.
type logEntry struct {
	timestamp time.Time
	// origin is the text before the JSON object, or else the name of the file.
	origin  string
	message string
	fields  map[string]any
}

// String formats the entry with its fields sorted by name.
func (l logEntry) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s %s", l.timestamp.Format("15:04:05.000000"), l.origin, l.message)
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

func entriesInFile(name, request string) ([]logEntry, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return matchingEntries(file, name, request)
}

// matchingEntries returns the log lines of a request. Lines that hold no JSON
// object are skipped. The origin of an entry is the text before the JSON object,
// such as a host name that a log collector adds, or else the name of the file.
func matchingEntries(r io.Reader, name, request string) ([]logEntry, error) {
	var entries []logEntry
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		prefix, text, ok := strings.Cut(scanner.Text(), "{")
		if !ok || !strings.Contains(text, request) {
			continue
		}
		entry := logEntry{origin: name}
		if json.Unmarshal([]byte("{"+text), &entry.fields) != nil || entry.fields["request"] != request {
			continue
		}
		if prefix = strings.TrimSpace(prefix); prefix != "" {
			entry.origin = prefix
		}
		entry.timestamp, _ = time.Parse(time.RFC3339Nano, fmt.Sprint(entry.fields["time"]))
		entry.message = fmt.Sprint(entry.fields["msg"])
		for _, key := range []string{"time", "msg", "level", "request"} {
			delete(entry.fields, key)
		}
		entries = append(entries, entry)
	}
	return entries, scanner.Err()
}
