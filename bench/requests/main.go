// Command requests measures what heatherlift adds to a request, with proxies,
// backend servers and a plain forwarder as separate processes on loopback
// addresses. Its load is an open loop: a request's time begins when it was
// due, whether or not an earlier one was answered.
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

// options are the flags of the command.
type options struct {
	bin      string
	rates    []int
	duration time.Duration
	table    *table
	tls      bool
}

// runs holds the measurements by name.
var runs = map[string]func(options) error{
	"latency":  runLatency,
	"fairness": runFairness,
	"goodput":  runGoodput,
	"leave":    runLeave,
	"restart":  runRestart,
}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "forwarder" {
		fail(serveForwarder(os.Args[2], os.Args[3]))
		return
	}
	bin := flag.String("bin", "bin", "`DIR` of the programs")
	names := flag.String("run", "latency,fairness,goodput,leave,restart", "measurements, separated by commas")
	rates := flag.String("rates", "200,1000,2000,4000", "requests a second of the latency run")
	duration := flag.Duration("duration", 5*time.Second, "`DURATION` of each step")
	csv := flag.String("csv", "", "append the tables to `FILE`")
	tls := flag.Bool("tls", false, "proxies authenticate each other")
	flag.Parse()
	o := options{bin: *bin, tls: *tls, duration: *duration, table: newTable(*csv)}
	for text := range strings.SplitSeq(*rates, ",") {
		rate, err := strconv.Atoi(text)
		if err != nil || rate < 1 {
			fail(fmt.Errorf("rate %q", text))
		}
		o.rates = append(o.rates, rate)
	}
	for name := range strings.SplitSeq(*names, ",") {
		run := runs[name]
		if run == nil {
			fail(fmt.Errorf("no measurement %q", name))
		}
		fail(run(o))
	}
	fail(o.table.close())
}

func fail(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "requests:", err)
		os.Exit(1)
	}
}
