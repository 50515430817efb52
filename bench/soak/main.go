// Command soak is a randomised fault-injection test. It runs proxies as separate
// processes, injects faults that follow from a seed, and checks what callers and
// backend servers see. Run it at the root of the repository after `make build`:
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
	// settleDuration is the time that the fleet has to recover after the last fault.
	settleDuration  = 6 * time.Second
	defaultMachines = 6
	// defaultCallers is the number of callers, which are spread evenly over the
	// machines. In a larger fleet each machine has one caller.
	defaultCallers = 24
	// recoveryWindow is the time after settleDuration over which recovery is
	// checked.
	recoveryWindow = 2 * time.Second
)

// report is the result of one run.
type report struct {
	seed             uint64
	attempts, served int
	violations       []string
	// plannedSteps counts the faults and operations of the plan.
	plannedSteps int
	// directory holds the logs; it is empty if they were not kept.
	directory string
}

func main() {
	seeds := flag.Int("seeds", 1, "number of runs")
	seed := flag.Uint64("seed", uint64(time.Now().UnixNano()), "seed of the first run; each further run uses the next number")
	length := flag.Duration("length", 20*time.Second, "time during which faults are injected")
	bin := flag.String("bin", "bin", "directory containing the built binaries")
	machines := flag.Int("machines", defaultMachines, "number of proxies; from 24 on, they follow the store through proxies in the role reader")
	keep := flag.Bool("keep", false, "keep the logs of every run")
	flag.Parse()
	failed := 0
	for i := range *seeds {
		r, err := runSeed(*bin, *seed+uint64(i), *machines, *length, *keep)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Println(r)
		if len(r.violations) > 0 {
			failed++
		}
	}
	fmt.Printf("%d runs, %d with violations\n", *seeds, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

func (r report) String() string {
	text := fmt.Sprintf("seed %d: %d faults, %d requests, %d served, %d violations", r.seed, r.plannedSteps, r.attempts, r.served, len(r.violations))
	for i, b := range r.violations {
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

// runSeed performs the run of one seed. The logs are kept if keep is set or the run
// has violations.
func runSeed(bin string, seed uint64, machines int, length time.Duration, keep bool) (report, error) {
	l, err := lab.New(bin)
	if err != nil {
		return report{}, err
	}
	l.LogToFiles = true
	c, err := newCluster(l, machines)
	if err != nil {
		l.Stop()
		return report{}, errors.Wrapf(err, "seed %d", seed)
	}
	plan := newPlan(seed, length, machines)
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for _, m := range c.machines {
		for n := range max(1, defaultCallers/machines) {
			rng := rand.New(rand.NewPCG(seed, uint64(m.index*defaultCallers+n)))
			callers.Go(func() { m.runCaller(ctx, rng, (m.index+n)%2 == 0) })
		}
	}
	c.runPlan(plan)
	time.Sleep(settleDuration)
	settled := time.Now()
	time.Sleep(recoveryWindow)
	cancel()
	callers.Wait()
	r := report{seed: seed, plannedSteps: len(plan)}
	for _, m := range c.machines {
		if !m.lab.RespondsOK(m.readyURL()) {
			r.violations = append(r.violations, "recover: "+m.name+" is not ready")
		}
	}
	c.close()
	r.violations = append(append(r.violations, checkRun(c.observed, time.Now())...), checkRecovery(c.observed, settled)...)
	for _, a := range c.observed.attempts {
		r.attempts++
		if a.result == answered && a.answer.Status < 300 {
			r.served++
		}
	}
	if keep || len(r.violations) > 0 {
		r.directory = l.Dir()
		l.Kill()
		return r, nil
	}
	l.Stop()
	return r, nil
}
