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
	manySlots = 128
	// clockTicks is the unit of processor time in /proc.
	clockTicks = 100
	microMilli = 1000
)

// variant is a way from the generator to the backend server.
type variant struct {
	name      string
	address   string
	processes []*lab.Process
}

// runLatency compares the ways at each rate, one after the other.
func runLatency(o options) error {
	f, err := startFleet(o, shape{peers: 1, slots: manySlots, organisations: []string{"org"}})
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
			row, h := measure(v, rate, o.duration, direct)
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

// startVariants starts two plain forwarders beside the fleet.
func startVariants(f *fleet) ([]variant, error) {
	peer := f.peers[0]
	target := peer.Settings.BackendServer.Address
	second := ip(peer, "8090")
	first := ip(f.entry, "8090")
	one := ip(f.entry, "8091")
	plainSecond, err := f.lab.Run(second, "requests", "forwarder", second, target)
	if err != nil {
		return nil, err
	}
	plainFirst, err := f.lab.Run(first, "requests", "forwarder", first, second)
	if err != nil {
		return nil, err
	}
	plainOne, err := f.lab.Run(one, "requests", "forwarder", one, target)
	if err != nil {
		return nil, err
	}
	return []variant{
		{"direct", target, nil},
		{"plain, one hop", one, []*lab.Process{plainOne}},
		{"plain, two hops", first, []*lab.Process{plainFirst, plainSecond}},
		{"heatherlift, two hops", f.address(), []*lab.Process{f.entry.Proxy, peer.Proxy}},
	}, nil
}

func measure(v variant, rate int, duration time.Duration, direct *hdrhistogram.Histogram) ([]string, *hdrhistogram.Histogram) {
	l := load{
		address:      func(int) string { return v.address },
		rate:         rate,
		duration:     warmUp,
		organisation: "org",
		method:       http.MethodGet,
		query:        "size=500",
	}
	l.run()
	l.duration = duration
	before := processorTime(v.processes)
	replies := l.run()
	used := processorTime(v.processes) - before
	h := histogram(replies)
	answered := count(replies, outcome.Answered)
	row := []string{strconv.Itoa(rate), v.name, strconv.Itoa(answered), strconv.Itoa(len(replies) - answered)}
	for _, q := range quantiles {
		row = append(row, millis(h.ValueAtQuantile(q)))
	}
	for _, q := range quantiles {
		added := "-"
		if direct != nil {
			added = millis(h.ValueAtQuantile(q) - direct.ValueAtQuantile(q))
		}
		row = append(row, added)
	}
	if used == 0 {
		return append(row, "-", "-"), h
	}
	perRequest := used / time.Duration(len(replies))
	return append(row, strconv.FormatInt(perRequest.Microseconds(), 10), strconv.FormatInt(int64(time.Second/perRequest), 10)), h
}

var quantiles = []float64{50, 99, 99.9}

func millis(microseconds int64) string {
	return fmt.Sprintf("%.2f", float64(microseconds)/microMilli)
}

// processorTime adds up the processor time of the processes.
func processorTime(processes []*lab.Process) time.Duration {
	var ticks int64
	for _, p := range processes {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid()))
		if err != nil {
			continue
		}
		_, rest, _ := strings.Cut(string(text), ") ")
		fields := strings.Fields(rest)
		for _, field := range fields[11:13] { // user and system time
			n, _ := strconv.ParseInt(field, 10, 64)
			ticks += n
		}
	}
	return time.Duration(ticks) * time.Second / clockTicks
}
