package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
)

const (
	serverSlots = 10
	workTime    = 5 * time.Millisecond
	// capacity is the number of requests that one backend server can execute per
	// second.
	capacity = serverSlots * int(time.Second/workTime)
	// quietRate is the load of an organisation that stays well below the capacity,
	// floodRate that of one that exceeds it, both in requests per second.
	quietRate = 100
	floodRate = 2 * capacity
	// quietCount is the number of organisations at quietRate beside the flooder.
	quietCount = 3
)

func workLoad(f *fleet, organisation string, rate int, duration time.Duration) load {
	return load{
		address:      func(int) string { return f.address() },
		rate:         rate,
		duration:     duration,
		organisation: organisation,
		method:       http.MethodGet,
		query:        "size=500&work=" + workTime.String(),
	}
}

// runFairness measures the latency of organisations at quietRate, first while the
// flooder organisation also sends at quietRate and then while it sends at
// floodRate.
func runFairness(o options) error {
	organisations := []string{"flooder"}
	for n := range quietCount {
		organisations = append(organisations, fmt.Sprintf("quiet-%d", n))
	}
	f, err := startFleet(o, fleetSpec{peers: 1, slots: serverSlots, organisations: organisations})
	if err != nil {
		return err
	}
	defer f.lab.Stop()
	var rows [][]string
	for _, flood := range []bool{false, true} {
		rows = append(rows, measureFairness(f, organisations, flood, o.duration)...)
	}
	o.table.print("fairness: latency in ms by organisation", []string{
		"flooder", "organisation", "rate", "sent", "answered", "not run", "unknown", "p50", "p99", "refused for",
	}, rows)
	return nil
}

func measureFairness(f *fleet, organisations []string, flood bool, duration time.Duration) [][]string {
	rows := make([][]string, len(organisations))
	var wg sync.WaitGroup
	for n, name := range organisations {
		rate := quietRate
		if n == 0 && flood {
			rate = floodRate
		}
		wg.Go(func() {
			replies := workLoad(f, name, rate, duration).run()
			h := histogram(replies)
			rows[n] = []string{
				strconv.FormatBool(flood), name, strconv.Itoa(rate), strconv.Itoa(len(replies)),
				strconv.Itoa(count(replies, outcome.Answered)), strconv.Itoa(count(replies, outcome.NotRun)),
				strconv.Itoa(count(replies, outcome.Unknown)), formatMillis(h.ValueAtQuantile(50)), formatMillis(h.ValueAtQuantile(99)), reasons(replies),
			}
		})
	}
	wg.Wait()
	return rows
}

// runGoodput measures the goodput under load of 0.5 to 4 times the capacity of the
// backend server.
func runGoodput(o options) error {
	f, err := startFleet(o, fleetSpec{peers: 1, slots: serverSlots, organisations: []string{"org"}})
	if err != nil {
		return err
	}
	defer f.lab.Stop()
	var rows [][]string
	for _, factor := range []float64{0.5, 1, 2, 4} {
		rate := int(factor * float64(capacity))
		replies := workLoad(f, "org", rate, o.duration).run()
		h := histogram(replies)
		answered := count(replies, outcome.Answered)
		rows = append(rows, []string{
			fmt.Sprint(factor), strconv.Itoa(rate), strconv.Itoa(int(float64(answered) / o.duration.Seconds())),
			fmt.Sprintf("%.2f", float64(answered)/o.duration.Seconds()/float64(capacity)),
			strconv.Itoa(count(replies, outcome.NotRun)), strconv.Itoa(count(replies, outcome.Unknown)),
			formatMillis(h.ValueAtQuantile(50)), formatMillis(h.ValueAtQuantile(99)), reasons(replies),
		})
	}
	o.table.print(fmt.Sprintf("goodput: capacity %d requests/s", capacity), []string{
		"offered", "rate", "answered/s", "of capacity", "not run", "unknown", "p50", "p99", "refused for",
	}, rows)
	return nil
}
