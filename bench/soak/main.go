// Command soak is a randomised fault-injection test. It runs proxies as separate
// processes, injects faults that follow from a seed, and checks what callers and
// backend servers see. Run it at the root of the repository after `make build`:
//
//	go run ./bench/soak -seeds 50
//	go run ./bench/soak -seed 7 -length 30s -keep
//	go run ./bench/soak -machines 30
//	go run ./bench/soak -machines 12 -calm -crashing 1
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
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
	seed  uint64
	grace time.Duration
	// attempts, served and refused count the requests other than crashing ones;
	// the refused ones were reported as not run.
	attempts, served, refused int
	crashes                   []crashes
	statements                statementSummary
	cold                      coldSummary
	// losses is what planned stops may have cut.
	losses string
	// memory is the highest memory of a proxy in bytes.
	memory     int64
	budget     budgetSummary
	violations []string
	// plannedSteps counts the faults and operations of the plan.
	plannedSteps int
	// directory holds the logs; it is empty if they were not kept.
	directory string
}

func main() {
	var o options
	seeds := flag.Int("seeds", 1, "number of runs")
	flag.Uint64Var(&o.seed, "seed", uint64(time.Now().UnixNano()), "seed of the first run; each further run uses the next number")
	flag.DurationVar(&o.length, "length", 20*time.Second, "time during which faults are injected")
	flag.StringVar(&o.bin, "bin", "bin", "directory containing the built binaries")
	flag.IntVar(&o.machines, "machines", defaultMachines, "number of proxies; from 24 on, they follow the store through proxies in the role reader")
	flag.IntVar(&o.crashing, "crashing", 0, "number of requests that end each backend server that runs them and are sent throughout the run")
	flag.Float64Var(&o.rateLimit, "limit", 0, "rate limit that a third of the backend servers name throughout the run, in requests per second; 0 for none")
	flag.Func("kinds", "comma-separated kinds of faults to draw from (default all)", parseKinds(&o.kinds))
	flag.Func("include", "comma-separated kinds of faults that every plan includes, beside those drawn", parseKinds(&o.include))
	flag.Func("ending", "how crashing requests end backend servers: "+strings.Join(endingNames, ", ")+" (default drawn)", func(name string) error {
		if !slices.Contains(endingNames, name) {
			return errors.Newf("unknown ending %q", name)
		}
		o.ending = name
		return nil
	})
	optional := flag.Bool("optional", false, "also draw the kinds that are otherwise drawn only if they are named")
	flag.StringVar(&o.downloadKind, "download-kind", repeatableKind, "kind of the route of downloads: "+repeatableKind+" or download")
	flag.DurationVar(&o.grace, "grace", defaultGrace, "grace period of the proxies")
	drawGrace := flag.Bool("draw-grace", false, fmt.Sprintf("draw the grace period from %v", drawnGraces))
	flag.IntVar(&o.longCallers, "long", 0, "number of callers of each machine whose requests have runs of seconds")
	flag.IntVar(&o.idleCallers, "idle", 0, fmt.Sprintf("number of callers of each machine that pause for %v on average", idlePause))
	flag.IntVar(&o.load, "load", 1, "multiple of the usual number of callers")
	flag.Float64Var(&o.loss, "loss", 0, "share of the responses that backend servers lose until the end of the plan")
	flag.BoolVar(&o.calm, "calm", false, "inject no faults")
	flag.BoolVar(&o.keep, "keep", false, "keep the logs of every run")
	flag.Parse()
	if *optional {
		o.kinds = kindsOf(slices.Concat(allWeights, optionalWeights))
	}
	failed, first := 0, o.seed
	for i := range *seeds {
		o.seed = first + uint64(i)
		if *drawGrace {
			o.grace = drawnGraces[o.seed%uint64(len(drawnGraces))]
		}
		r, err := runSeed(o)
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

// parseKinds returns a function that appends the kinds of a comma-separated list.
func parseKinds(kinds *[]kind) func(text string) error {
	return func(text string) error {
		for name := range strings.SplitSeq(text, ",") {
			if !slices.Contains(kindsOf(slices.Concat(allWeights, optionalWeights)), kind(name)) {
				return errors.Newf("unknown kind %q", name)
			}
			*kinds = append(*kinds, kind(name))
		}
		return nil
	}
}

func (r report) String() string {
	text := fmt.Sprintf("seed %d: grace %v, %d faults, %d requests, %d served, %d refused, %d violations", r.seed, r.grace, r.plannedSteps, r.attempts, r.served, r.refused, len(r.violations))
	for _, s := range r.crashes {
		text += fmt.Sprintf("\n  %s ended %d backend servers, sent late %d times", s.path, s.ended, s.late)
	}
	text += r.statements.String() + r.cold.String() + r.losses + r.budget.String() + fmt.Sprintf("\n  memory: at most %d MB", r.memory>>20)
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

// options are the parameters of a run.
type options struct {
	bin      string
	seed     uint64
	machines int
	length   time.Duration
	// kinds are the kinds of faults to draw from, empty for all.
	kinds []kind
	// include are kinds of which each plan has a step in any case.
	include []kind
	// calm leaves out the faults of the plan.
	calm bool
	// crashing is the number of requests that end each backend server that runs
	// them.
	crashing int
	// ending is the name of their ending, empty to draw one for each.
	ending string
	// load multiplies the number of callers.
	load int
	// loss is the share of the responses that backend servers lose until the plan ends.
	loss float64
	// rateLimit is the rate limit that a third of the backend servers name
	// throughout the run, in requests per second, 0 for none.
	rateLimit float64
	// grace is the grace period of the proxies, 0 for defaultGrace.
	grace time.Duration
	// longCallers and idleCallers are the numbers of callers of each machine whose requests
	// have long runs, and that pause for idlePause.
	longCallers, idleCallers int
	// downloadKind is the kind of the route of downloads, repeatableKind by default.
	downloadKind string
	keep         bool
}

// repeatableKind is the kind of a repeatable route.
const repeatableKind = "idempotent"

// selects reports whether one of the kinds is named.
func (o options) selects(kinds ...kind) bool {
	return slices.ContainsFunc(kinds, func(k kind) bool { return slices.Contains(o.kinds, k) || slices.Contains(o.include, k) })
}

// runSeed performs one run. The logs are kept if keep is set or the run has
// violations.
func runSeed(o options) (report, error) {
	l, err := lab.New(o.bin)
	if err != nil {
		return report{}, err
	}
	l.LogToFiles = true
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c, err := newCluster(ctx, l, o)
	if err != nil {
		l.Stop()
		return report{}, errors.Wrapf(err, "seed %d", o.seed)
	}
	plan := includeSteps(newPlan(o.seed, o.length, o.machines, o.kinds...), o)
	if o.calm {
		plan = nil
	}
	for _, m := range c.machines {
		for n := range c.longCallers {
			rng := c.newRand(longStream, uint64(m.index*c.longCallers+n))
			c.callers.Go(func() { m.runCaller(ctx, rng, callerKind{pipelining: (m.index+n)%2 == 0, long: true}) })
		}
		for n := range o.idleCallers {
			rng := c.newRand(idleStream, uint64(m.index*o.idleCallers+n))
			c.callers.Go(func() { m.runCaller(ctx, rng, callerKind{pause: idlePause}) })
		}
		for n := range c.callersPerMachine {
			rng := c.newRand(callerStream, uint64(m.index*c.callersPerMachine+n))
			c.callers.Go(func() { m.runCaller(ctx, rng, callerKind{pipelining: (m.index+n)%2 == 0}) })
		}
	}
	c.callers.Go(c.observeMemory)
	for n := range o.crashing {
		c.startCrashingRequest(uint64(n))
	}
	began := time.Now()
	c.runPlan(plan)
	time.Sleep(max(0, time.Until(began.Add(o.length))))
	c.endLosses()
	time.Sleep(settleDuration)
	settled := time.Now()
	time.Sleep(recoveryWindow)
	cancel()
	c.callers.Wait()
	r := report{seed: o.seed, grace: c.observed.grace, plannedSteps: len(plan)}
	for _, m := range c.machines {
		if !m.lab.RespondsOK(m.readyURL()) {
			r.violations = append(r.violations, "recover: "+m.name+" is not ready")
		}
	}
	c.close()
	r.violations = append(append(r.violations, checkRun(c.observed, time.Now())...), checkRecovery(c.observed, settled)...)
	r.summarise(c.observed)
	if o.keep || len(r.violations) > 0 {
		r.directory = l.Dir()
		l.Kill()
		return r, nil
	}
	l.Stop()
	return r, nil
}

// summarise counts the requests and what became of them.
func (r *report) summarise(o *observations) {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := newChecker(o, time.Now())
	r.crashes = c.crashesByPath()
	r.statements = c.summariseStatements()
	r.budget = c.summariseBudget()
	r.cold = c.summariseCold()
	r.losses = fmt.Sprintf("\n  planned stops: %v, %d connections refused", c.checkStops(), o.refused.Load())
	_, r.memory = o.largestProxy()
	for _, a := range o.attempts {
		switch {
		case isCrashing(a.Path):
			continue
		case a.result == answered && a.answer.Status < 300:
			r.served++
		case a.result == answered && meansNotRun(a.answer.Status):
			r.refused++
		}
		r.attempts++
	}
}
