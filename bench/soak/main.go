// Command soak runs real proxies as separate processes with random faults
// around them, and checks what callers and backend servers see. Run it in the
// root of the repository after `make build`:
//
//	go run ./bench/soak -seeds 50
//	go run ./bench/soak -seed 7 -length 30s -keep
//	go run ./bench/soak -machines 30
package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/lab"
)

const (
	// settleTime is what the fleet has to recover once all faults are over.
	settleTime = 6 * time.Second
	// smallFleet is the usual number of machines, allCallers that of callers of
	// a fleet up to that size; a larger one has one for each machine.
	smallFleet = 6
	allCallers = 24
	// provenTime is the time over which the recovery is checked.
	provenTime = 2 * time.Second
)

// report is the result of one run.
type report struct {
	seed             uint64
	attempts, served int
	breaches         []string
	faults           int
	// directory holds the logs, if they were kept.
	directory string
}

func main() {
	seeds := flag.Int("seeds", 1, "number of runs")
	seed := flag.Uint64("seed", uint64(time.Now().UnixNano()), "seed of the first run; the next ones follow")
	length := flag.Duration("length", 20*time.Second, "time in which faults begin")
	bin := flag.String("bin", "bin", "directory of the programs")
	machines := flag.Int("machines", smallFleet, "number of proxies; from 24 on they follow the store through readers")
	keep := flag.Bool("keep", false, "keep the logs of every run")
	flag.Parse()
	failed := 0
	for i := range *seeds {
		r, err := soak(*bin, *seed+uint64(i), *machines, *length, *keep)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Println(r)
		if len(r.breaches) > 0 {
			failed++
		}
	}
	fmt.Printf("%d runs, %d with a breach\n", *seeds, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

func (r report) String() string {
	text := fmt.Sprintf("seed %d: %d faults, %d requests, %d served, %d breaches", r.seed, r.faults, r.attempts, r.served, len(r.breaches))
	for i, b := range r.breaches {
		if i == 10 {
			return text + "\n  ..."
		}
		text += "\n  " + b
	}
	if r.directory != "" {
		text += "\n  logs in " + r.directory
	}
	return text
}

// soak plays one seed. The logs are kept if it broke something.
func soak(bin string, seed uint64, machines int, length time.Duration, keep bool) (report, error) {
	l, err := lab.New(bin)
	if err != nil {
		return report{}, err
	}
	l.Logs = true
	w, err := newWorld(l, machines)
	if err != nil {
		l.Stop()
		return report{}, errors.Wrapf(err, "seed %d", seed)
	}
	plan := newPlan(seed, length, machines)
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for _, m := range w.machines {
		for n := range max(1, allCallers/machines) {
			rng := rand.New(rand.NewPCG(seed, uint64(m.index*allCallers+n)))
			callers.Go(func() { m.call(ctx, rng, (m.index+n)%2 == 0) })
		}
	}
	w.run(plan)
	time.Sleep(settleTime)
	settled := time.Now()
	time.Sleep(provenTime)
	cancel()
	callers.Wait()
	r := report{seed: seed, faults: len(plan)}
	for _, m := range w.machines {
		if !m.lab.Answers(m.readyURL()) {
			r.breaches = append(r.breaches, "recover: "+m.name+" is not ready")
		}
	}
	w.close()
	r.breaches = append(append(r.breaches, check(w.seen, time.Now())...), recovered(w.seen, settled)...)
	for _, a := range w.seen.attempts {
		r.attempts++
		if a.end == answered && a.answer.Status < 300 {
			r.served++
		}
	}
	if keep || len(r.breaches) > 0 {
		r.directory = l.Dir()
		l.Kill()
		return r, nil
	}
	l.Stop()
	return r, nil
}
