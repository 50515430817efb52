package main

import (
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"syscall"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/outcome"
)

// isConnectionRefused reports whether the connection was refused, in which case
// the request did not reach the proxy and cannot have run.
func isConnectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// finish stops the load generator, compares the results with the runs that the
// backend servers counted, and prints a summary.
func (d *demo) finish() error {
	results := d.load.finish()
	runs, err := d.totalRuns()
	if err != nil {
		return err
	}
	counts := make(map[outcome.Outcome]int)
	reasons := make(map[outcome.Reason]int)
	for _, r := range results {
		counts[r.outcome]++
		if r.reason != "" {
			reasons[r.reason]++
		}
		n := runs[r.key]
		switch {
		case n > 1 && r.kind.method == http.MethodPost:
			d.reportViolation("request %s ran %d times", r.key, n)
		case r.outcome == outcome.NotRun && n > 0:
			d.reportViolation("request %s was reported as not run, but ran", r.key)
		case r.outcome == outcome.Answered && n == 0:
			d.reportViolation("request %s was answered, but did not run", r.key)
		}
	}
	counters, err := d.lab.Counters()
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "requests sent\t%d\n", len(results))
	fmt.Fprintf(table, "answered in full\t%d\n", counts[outcome.Answered])
	fmt.Fprintf(table, "refused, not run\t%d\n", counts[outcome.NotRun])
	fmt.Fprintf(table, "unknown\t%d\n", counts[outcome.Unknown])
	for _, reason := range slices.Sorted(maps.Keys(reasons)) {
		fmt.Fprintf(table, "  %s\t%d\n", reason, reasons[reason])
	}
	for _, i := range d.instances {
		s, err := d.lab.Status(i)
		if err != nil {
			return err
		}
		sent, err := d.lab.PeerBytesSent(i)
		if err != nil {
			return err
		}
		fmt.Fprintf(table, "%s\tversion %d, %s, %d control bytes sent\n", i.Settings.ID, s.Version, s.Role, sent)
	}
	fmt.Fprintf(table, "source reads\t%d (%d values, %d watches, %d lists), peak %d/s\n",
		counters.Total(), counters.Gets, counters.Watches, counters.Instances, counters.PeakPerSecond)
	return table.Flush()
}

// totalRuns returns the number of times that the backend servers together ran
// each request, by request key.
func (d *demo) totalRuns() (map[string]int, error) {
	total := make(map[string]int)
	for _, i := range d.instances {
		runCounts, err := d.lab.RunCounts(i)
		if err != nil {
			return nil, err
		}
		for key, n := range runCounts {
			total[key] += n
		}
	}
	return total, nil
}
