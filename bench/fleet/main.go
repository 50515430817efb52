// Command fleet measures the distribution of configuration with real proxies
// on loopback addresses: convergence time, control bytes, reads of the source,
// processor time and memory, for the naive and the chosen design.
package main

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/settings"
)

// options of a run.
type options struct {
	bin           string
	out           string
	sizes         []int
	modes         []string
	organisations int
	changes       int
	interval      time.Duration
	steady        time.Duration
	faults        bool
	tls           bool
	verbose       bool
}

func main() {
	o, err := parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		os.Exit(1)
	}
}

func parse(args []string) (options, error) {
	var o options
	var sizes, modes string
	flags := flag.NewFlagSet("fleet", flag.ContinueOnError)
	flags.StringVar(&o.bin, "bin", "bin", "`DIR` of the programs")
	flags.StringVar(&o.out, "out", "bench/out", "`DIR` for tables and plots")
	flags.StringVar(&sizes, "sizes", "10,40,80,160", "numbers of proxies")
	flags.StringVar(&modes, "modes", settings.ModeNaive+","+settings.ModePeers, "distribution modes")
	flags.IntVar(&o.organisations, "organisations", 200, "number of organisations")
	flags.IntVar(&o.changes, "changes", 20, "changes measured in each case")
	flags.DurationVar(&o.interval, "interval", 300*time.Millisecond, "time between two changes")
	flags.DurationVar(&o.steady, "steady", 10*time.Second, "time measured without changes")
	flags.BoolVar(&o.faults, "faults", true, "measure failures too")
	flags.BoolVar(&o.tls, "tls", true, "proxies authenticate each other")
	flags.BoolVar(&o.verbose, "v", false, "print the last proxy to enforce each change")
	if err := flags.Parse(args); err != nil {
		return o, err
	}
	o.modes = strings.Split(modes, ",")
	for _, text := range strings.Split(sizes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			return o, errors.Newf("-sizes: %q is no number of proxies", text)
		}
		o.sizes = append(o.sizes, n)
	}
	return o, nil
}

// run measures every size in every mode.
func run(o options) error {
	var rows []row
	for _, mode := range o.modes {
		for _, size := range o.sizes {
			more, err := measure(o, mode, size)
			rows = append(rows, more...)
			if err != nil {
				printTable(os.Stdout, rows)
				return errors.Wrapf(err, "%s with %d proxies", mode, size)
			}
		}
	}
	printTable(os.Stdout, rows)
	if err := writeCSV(o.out, rows); err != nil {
		return err
	}
	return writePlot(o.out, rows)
}
