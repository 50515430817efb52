package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"heatherlift.example/heatherlift/internal/lab"
	"heatherlift.example/heatherlift/internal/outcome"
)

const (
	latencySlots = 128
	// clockTicksPerSecond is USER_HZ, the unit of CPU times in /proc/PID/stat.
	clockTicksPerSecond = 100
	microsPerMilli      = 1000
)

// variant is a path from the load generator to the backend server.
type variant struct {
	name string
	// address is where the load generator connects.
	address string
	// processes are the intermediaries on the path, whose CPU time is measured.
	processes []*lab.Process
}

// runLatency measures the latency of every variant at each rate, one at a time.
// The added latency is the difference to the first variant, direct calls.
func runLatency(o options) error {
	f, err := startFleet(o, fleetSpec{peers: 1, slots: latencySlots, organisations: []string{"org"}})
	if err != nil {
		return err
	}
	defer f.lab.Stop()
	variants, err := startVariants(f)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, rate := range o.rates {
		var direct *hdrhistogram.Histogram
		for _, v := range variants {
			row, h := measureLatency(v, rate, o.duration, direct)
			if direct == nil {
				direct = h
			}
			rows = append(rows, row)
		}
	}
	o.table.print("latency in ms, added to direct calls, and processor time", []string{
		"rate", "way", "answered", "other", "p50", "p99", "p99.9", "+p50", "+p99", "+p99.9", "cpu us/request", "requests/s/core",
	}, rows)
	return nil
}

// startVariants starts the plain forwarders, a chain of two and a single one, on
// the addresses of the fleet and returns all variants with the direct one first.
func startVariants(f *fleet) ([]variant, error) {
	peer := f.peers[0]
	target := peer.Settings.BackendServer.Address
	secondHop := addressWithPort(peer, "8090")
	firstHop := addressWithPort(f.entry, "8090")
	singleHop := addressWithPort(f.entry, "8091")
	secondForwarder, err := f.lab.StartProgram(secondHop, "requests", "forwarder", secondHop, target)
	if err != nil {
		return nil, err
	}
	firstForwarder, err := f.lab.StartProgram(firstHop, "requests", "forwarder", firstHop, secondHop)
	if err != nil {
		return nil, err
	}
	singleForwarder, err := f.lab.StartProgram(singleHop, "requests", "forwarder", singleHop, target)
	if err != nil {
		return nil, err
	}
	return []variant{
		{"direct", target, nil},
		{"plain, one hop", singleHop, []*lab.Process{singleForwarder}},
		{"plain, two hops", firstHop, []*lab.Process{firstForwarder, secondForwarder}},
		{"heatherlift, two hops", f.address(), []*lab.Process{f.entry.Proxy, peer.Proxy}},
	}, nil
}

// measureLatency measures one variant at one rate, after a warm-up, and returns its
// table row and latencies. The added latency is relative to direct, which is nil
// for the direct variant itself.
func measureLatency(v variant, rate int, duration time.Duration, direct *hdrhistogram.Histogram) ([]string, *hdrhistogram.Histogram) {
	l := load{
		address:      func(int) string { return v.address },
		rate:         rate,
		duration:     warmUpDuration,
		organisation: "org",
		method:       http.MethodGet,
		query:        "size=500",
	}
	l.run()
	l.duration = duration
	before := totalCPUTime(v.processes)
	replies := l.run()
	cpuTime := totalCPUTime(v.processes) - before
	h := histogram(replies)
	answered := count(replies, outcome.Answered)
	row := []string{strconv.Itoa(rate), v.name, strconv.Itoa(answered), strconv.Itoa(len(replies) - answered)}
	for _, q := range percentiles {
		row = append(row, formatMillis(h.ValueAtQuantile(q)))
	}
	for _, q := range percentiles {
		added := "-"
		if direct != nil {
			added = formatMillis(h.ValueAtQuantile(q) - direct.ValueAtQuantile(q))
		}
		row = append(row, added)
	}
	if cpuTime == 0 {
		return append(row, "-", "-"), h
	}
	perRequest := cpuTime / time.Duration(len(replies))
	return append(row, strconv.FormatInt(perRequest.Microseconds(), 10), strconv.FormatInt(int64(time.Second/perRequest), 10)), h
}

var percentiles = []float64{50, 99, 99.9}

func formatMillis(microseconds int64) string {
	return fmt.Sprintf("%.2f", float64(microseconds)/microsPerMilli)
}

// totalCPUTime returns the sum of the CPU times of the processes. A process whose
// times cannot be read counts as 0.
func totalCPUTime(processes []*lab.Process) time.Duration {
	var ticks int64
	for _, p := range processes {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid()))
		if err != nil {
			continue
		}
		_, rest, _ := strings.Cut(string(text), ") ")
		fields := strings.Fields(rest)
		for _, field := range fields[11:13] { // utime and stime
			n, _ := strconv.ParseInt(field, 10, 64)
			ticks += n
		}
	}
	return time.Duration(ticks) * time.Second / clockTicksPerSecond
}
