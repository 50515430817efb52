package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"heatherlift.example/heatherlift/internal/admin"
	"heatherlift.example/heatherlift/internal/node"
)

const (
	adminTimeout       = 10 * time.Second
	statusPollInterval = 100 * time.Millisecond
	// maxAdminBytes bounds a document of the admin interface.
	maxAdminBytes = 64 << 20
)

// fetchAdmin returns a JSON document from the admin interface of a proxy.
func fetchAdmin(ctx context.Context, address, path string, query url.Values) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, errors.Wrap(err, "admin interface")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "admin interface")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("admin interface: %s: status %d", target.String(), resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAdminBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "admin interface")
	}
	if len(data) > maxAdminBytes {
		return nil, errors.Newf("admin interface: %s: document exceeds %d bytes", target.String(), maxAdminBytes)
	}
	return data, nil
}

// statusCommand prints the configuration version in force at each instance, or
// waits until a version is in force everywhere.
type statusCommand struct {
	output
	address string
	wait    uint64
	timeout time.Duration
	json    bool
	events  bool
}

func (*statusCommand) Name() string { return "status" }
func (*statusCommand) Synopsis() string {
	return "print the configuration version in force at each instance"
}

func (*statusCommand) Usage() string {
	return "status -address IP:PORT [-wait VERSION [-timeout DURATION]] [-json] [-events]\n"
}

func (c *statusCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "address", "", "admin `ADDRESS` of any proxy")
	f.Uint64Var(&c.wait, "wait", 0, "wait until `VERSION` is in force everywhere")
	f.DurationVar(&c.timeout, "timeout", time.Minute, "give up waiting after `DURATION`")
	f.BoolVar(&c.json, "json", false, "print JSON")
	f.BoolVar(&c.events, "events", false, "also print the most recent events")
}

func (c *statusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.address == "" || f.NArg() != 0 {
		return c.usageError(c.Usage())
	}
	if c.wait != 0 {
		return c.waitFor(ctx)
	}
	text, err := fetchAdmin(ctx, c.address, admin.StatusPath, nil)
	if err != nil {
		return c.fail(err)
	}
	if c.json {
		_, _ = c.stdout.Write(text)
		return subcommands.ExitSuccess
	}
	var s node.Status
	if err := json.Unmarshal(text, &s); err != nil {
		return c.fail(err)
	}
	c.print(s)
	return subcommands.ExitSuccess
}

// waitFor polls the status and prints progress until the version is in force
// everywhere. It fails on a time-out, if the status cannot be read, or if the
// proxy refuses the version or a later one.
func (c *statusCommand) waitFor(ctx context.Context) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	lastPrinted := -1
	for {
		var s node.Status
		text, err := fetchAdmin(ctx, c.address, admin.StatusPath, nil)
		if err == nil {
			err = json.Unmarshal(text, &s)
		}
		if err != nil {
			return c.fail(err)
		}
		upToDate := 0
		for _, r := range s.Fleet {
			if r.Version >= c.wait {
				upToDate++
			}
		}
		if upToDate != lastPrinted {
			fmt.Fprintf(c.stdout, "version %d in force at %d of %d\n", c.wait, upToDate, len(s.Fleet))
			lastPrinted = upToDate
		}
		if s.InForce >= c.wait {
			return subcommands.ExitSuccess
		}
		if s.Refused >= c.wait && s.Version < c.wait {
			return c.fail(errors.Wrapf(s.Problems, "version %d is refused", s.Refused))
		}
		select {
		case <-time.After(statusPollInterval):
		case <-ctx.Done():
			return c.fail(errors.Newf("version %d is not in force everywhere after %v", c.wait, c.timeout))
		}
	}
}

func (c *statusCommand) print(s node.Status) {
	c.printFleet(s.Summary)
	if s.Store != nil {
		fmt.Fprintf(c.stdout, "store: %v, restored %d times\n", s.Store.Position, s.Store.Restorations)
	}
	if s.Evacuation != nil {
		for _, e := range s.Evacuation.Evacuations {
			fmt.Fprintf(c.stdout, "availability zone evacuated: %v\n", e)
		}
	}
	if s.Refused != 0 {
		fmt.Fprintf(c.stdout, "refused version %d:\n%v\n", s.Refused, s.Problems)
	}
	for _, r := range s.Rejected {
		fmt.Fprintf(c.stdout, "rejected organisation %s:\n%v\n", r.Organisation, r.Problems)
	}
	table := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "INSTANCE\tZONE\tSERVICE\tSTATE\tVERSION\tREADY")
	for _, r := range s.Fleet {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%t\n", r.ID, r.AvailabilityZone, r.Service, r.State, r.Version, r.Ready)
	}
	_ = table.Flush()
	if !c.events {
		return
	}
	for _, e := range s.Events {
		fmt.Fprintf(c.stdout, "%s %s: %s\n", e.At.Format(time.RFC3339Nano), e.What, e.Cause)
	}
}

// dumpCommand prints the internal state of a proxy.
type dumpCommand struct {
	output
	address string
}

func (*dumpCommand) Name() string     { return "dump" }
func (*dumpCommand) Synopsis() string { return "print the internal state of a proxy" }
func (*dumpCommand) Usage() string    { return "dump -address IP:PORT\n" }

func (c *dumpCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "address", "", "admin `ADDRESS` of the proxy")
}

func (c *dumpCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.address == "" || f.NArg() != 0 {
		return c.usageError(c.Usage())
	}
	return c.printAdmin(ctx, c.address, admin.DumpPath, nil)
}

// printAdmin prints a JSON document from the admin interface of a proxy.
func (o output) printAdmin(ctx context.Context, address, path string, query url.Values) subcommands.ExitStatus {
	text, err := fetchAdmin(ctx, address, path, query)
	if err != nil {
		return o.fail(err)
	}
	_, _ = o.stdout.Write(text)
	return subcommands.ExitSuccess
}

// explainCommand prints the route, limits and candidates that apply to a
// request.
type explainCommand struct {
	output
	address, organisation, method, path string
}

func (*explainCommand) Name() string { return "explain" }
func (*explainCommand) Synopsis() string {
	return "print the route, limits and candidates for a request"
}

func (*explainCommand) Usage() string {
	return "explain -address IP:PORT -organisation NAME [-method METHOD] -path PATH\n"
}

func (c *explainCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "address", "", "admin `ADDRESS` of the proxy")
	f.StringVar(&c.organisation, "organisation", "", "`NAME` of the organisation")
	f.StringVar(&c.method, "method", http.MethodGet, "HTTP `METHOD`")
	f.StringVar(&c.path, "path", "", "`PATH` of the request")
}

func (c *explainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.address == "" || c.organisation == "" || c.path == "" || f.NArg() != 0 {
		return c.usageError(c.Usage())
	}
	query := url.Values{"organisation": {c.organisation}, "method": {c.method}, "path": {c.path}}
	return c.printAdmin(ctx, c.address, admin.ExplainPath, query)
}
