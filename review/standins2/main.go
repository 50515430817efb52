// Command standins2 plays the scripted cases of a review: it starts proxies as separate
// processes, and is their platform, upstreams and clients.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// brokenRule is the error of a case that found a rule broken.
type brokenRule struct{ text string }

func (b brokenRule) Error() string { return b.text }

var cases = map[string]func(f *fleet, trouble bool) error{}

func main() {
	os.Exit(play())
}

func play() int {
	name := flag.String("case", "", "case to play")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	keep := flag.Bool("keep", false, "keep the logs of the proxies")
	flag.Parse()
	c, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return exitNotRun
	}
	rec, err := newRecorder(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "heatherlift-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if *keep {
		fmt.Println(dir)
	} else {
		defer os.RemoveAll(dir)
	}
	f, err := newFleet(dir, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, with the disruption: %v", *name, trouble)
	err = c(f, trouble)
	if broken, ok := err.(brokenRule); ok {
		rec.printf("BROKEN   %s", broken.text)
		fmt.Println("broken:", broken.text)
		return exitBroken
	}
	if err != nil {
		rec.printf("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	rec.printf("the rule held")
	fmt.Println("held")
	return exitHeld
}
