// Command harness runs the cases of the review: it starts the proxies of a small
// deployment with the commands of the deploy file, stands in for the platform's store,
// the upstreams and the clients, and judges what they see.
//
//	harness collect FILE   append standard input to the file, as a log collector does
//	harness CASE           run a case; the environment variable TROUBLE=0 leaves out its
//	                       disruption
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(r *record, trouble bool) (broken bool, err error){
	"leave":    runLeave,
	"versions": runVersions,
	"logs":     runLogs,
	"gone":     runGone,
	"restore":  runRestore,
	"quiet":    runQuiet,
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "collect" {
		if err := collect(os.Args[2]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitNotRun)
		}
		return
	}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness collect FILE | CASE")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1]))
}

func runCase(name string) int {
	r, err := newRecord("record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("case %s, disruption: %v", name, trouble)
	broken, err := cases[name](r, trouble)
	switch {
	case err != nil:
		r.say("could not run: %v", err)
		return exitNotRun
	case broken:
		r.say("result: the rule was broken")
		return exitBroken
	}
	r.say("result: the rule held")
	return exitHeld
}

// collect appends standard input to a file.
func collect(path string) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = io.Copy(file, os.Stdin)
	return err
}

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu   sync.Mutex
	file *os.File
	w    *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, w: bufio.NewWriter(file)}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%s "+format+"\n", append([]any{clock(time.Now())}, args...)...)
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) runs(l *ledger) {
	for _, e := range l.all() {
		r.printf("run of %s %s %s at %s (%s) began %s: %s", e.Request, e.Method, e.Target, e.Instance, e.Service, clock(e.Began), e.End)
	}
}

func (r *record) close() {
	_ = r.w.Flush()
	_ = r.file.Close()
}
