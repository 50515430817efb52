// Command fleet measures configuration distribution across proxy processes on
// loopback addresses. For each distribution mode (naive, where every proxy reads
// the source, and peers, where proxies pass the configuration on to each other)
// it reports convergence time, control-plane bytes sent, source reads, CPU time
// and memory.
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

// options are the values of the command's flags.
type options struct {
	bin            string
	out            string
	sizes          []int
	modes          []string
	organisations  int
	changes        int
	changePause    time.Duration
	steadyDuration time.Duration
	faults         bool
	tls            bool
	verbose        bool
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
	flags.StringVar(&o.bin, "bin", "bin", "`DIR` containing the built binaries")
	flags.StringVar(&o.out, "out", "bench/out", "`DIR` for tables and plots")
	flags.StringVar(&sizes, "sizes", "10,40,80,160", "fleet sizes in proxies, comma-separated")
	flags.StringVar(&modes, "modes", settings.ModeNaive+","+settings.ModePeers, "distribution modes, comma-separated")
	flags.IntVar(&o.organisations, "organisations", 200, "number of organisations")
	flags.IntVar(&o.changes, "changes", 20, "configuration changes published in each scenario with changes")
	flags.DurationVar(&o.changePause, "interval", 300*time.Millisecond, "pause after each change")
	flags.DurationVar(&o.steadyDuration, "steady", 10*time.Second, "duration of the measurement without changes and of the source outage, and twice the settling time after the start")
	flags.BoolVar(&o.faults, "faults", true, "also run the failure scenarios")
	flags.BoolVar(&o.tls, "tls", true, "use mutual TLS between proxies")
	flags.BoolVar(&o.verbose, "v", false, "print the slowest proxy for each change")
	if err := flags.Parse(args); err != nil {
		return o, err
	}
	o.modes = strings.Split(modes, ",")
	for _, text := range strings.Split(sizes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			return o, errors.Newf("-sizes: %q is not a positive integer", text)
		}
		o.sizes = append(o.sizes, n)
	}
	return o, nil
}

// run measures every fleet size in every mode. After an error it still prints
// the rows measured so far.
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
