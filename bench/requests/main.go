// Command requests measures how proxies affect requests: added latency, fairness
// between organisations, goodput under overload, and the handling of leaving
// instances and proxy restarts. Proxies, backend servers and, for comparison,
// plain forwarders run as separate processes on loopback addresses. The load is
// open-loop: requests are due on a schedule that does not depend on the answers to
// earlier ones, and latency counts from the time at which a request was due.
//
//	requests -bin DIR [-run latency,fairness,goodput,leave,restart]
//	         [-rates 200,1000,2000,4000] [-duration 5s] [-csv FILE]
//	requests forwarder LISTEN TARGET
package main

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// options are the values of the command's flags.
type options struct {
	bin      string
	rates    []int
	duration time.Duration
	table    *table
	tls      bool
}

// measurements maps the names that -run accepts to the measurements.
var measurements = map[string]func(options) error{
	"latency":  runLatency,
	"fairness": runFairness,
	"goodput":  runGoodput,
	"leave":    runLeave,
	"restart":  runRestart,
}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "forwarder" {
		exitOnError(serveForwarder(os.Args[2], os.Args[3]))
		return
	}
	bin := flag.String("bin", "bin", "`DIR` containing the built binaries")
	names := flag.String("run", "latency,fairness,goodput,leave,restart", "measurements, comma-separated")
	rates := flag.String("rates", "200,1000,2000,4000", "request rates of the latency measurement in requests/s, comma-separated")
	duration := flag.Duration("duration", 5*time.Second, "`DURATION` of the load in each step of latency, fairness and goodput")
	csv := flag.String("csv", "", "append the tables as CSV to `FILE`")
	tls := flag.Bool("tls", false, "use mutual TLS between proxies")
	flag.Parse()
	o := options{bin: *bin, tls: *tls, duration: *duration, table: newTable(*csv)}
	for text := range strings.SplitSeq(*rates, ",") {
		rate, err := strconv.Atoi(text)
		if err != nil || rate < 1 {
			exitOnError(fmt.Errorf("-rates: %q is not a positive integer", text))
		}
		o.rates = append(o.rates, rate)
	}
	for name := range strings.SplitSeq(*names, ",") {
		run := measurements[name]
		if run == nil {
			exitOnError(fmt.Errorf("-run: unknown measurement %q", name))
		}
		exitOnError(run(o))
	}
	exitOnError(o.table.close())
}

func exitOnError(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "requests:", err)
		os.Exit(1)
	}
}
