// Package decisionlog writes one line for each decision about a request. Its
// volume is bounded and a caller never waits for the output: what exceeds the
// bounds is counted and left out, ordinary decisions first.
package decisionlog

import (
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"
)

// Class is the weight of a line.
type Class int

// Classes.
const (
	// Ordinary lines tell of requests that went as they should.
	Ordinary Class = iota
	// Notable lines tell of requests that were refused, failed or sent again.
	Notable
	classes
)

const (
	// ordinaryRate and notableRate bound the lines a second. Together they
	// are below 100 KB a second, and below 1% of a core at 15 microseconds a
	// line (BenchmarkLine).
	ordinaryRate = 10
	notableRate  = 300
	// burst is the number of seconds' worth of lines that may come at once.
	burst = 3
	// pending is the number of lines that may wait for the output.
	pending = 1024
	// reportInterval is the time between two lines about what was left out.
	reportInterval = time.Second
)

type line struct {
	what   string
	fields []any
}

// Log is a bounded log. It is safe for concurrent use.
type Log struct {
	logger  *log.Logger
	limits  [classes]*rate.Limiter
	lines   chan line
	omitted [classes]atomic.Uint64
}

// New returns a log that writes to logger until Close.
func New(logger *log.Logger) *Log {
	l := &Log{logger: logger, lines: make(chan line, pending)}
	for class, perSecond := range [classes]int{Ordinary: ordinaryRate, Notable: notableRate} {
		l.limits[class] = rate.NewLimiter(rate.Limit(perSecond), burst*perSecond)
	}
	return l
}

// Add writes a line soon, unless the bounds of its class are reached. Fields
// returns pairs of a name and a value; it is called only for a line that is
// within the bounds, since most ordinary ones are not.
func (l *Log) Add(class Class, what string, fields func() []any) {
	if !l.limits[class].Allow() {
		l.omitted[class].Add(1)
		return
	}
	select {
	case l.lines <- line{what, fields()}:
	default:
		l.omitted[class].Add(1)
	}
}

// Run writes lines until stop is closed, then those that still wait.
func (l *Log) Run(stop <-chan struct{}) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case next := <-l.lines:
			l.logger.Info(next.what, next.fields...)
		case <-ticker.C:
			l.report()
		case <-stop:
			l.flush()
			return
		}
	}
}

func (l *Log) flush() {
	for len(l.lines) > 0 {
		next := <-l.lines
		l.logger.Info(next.what, next.fields...)
	}
	l.report()
}

// report tells how many notable lines were left out since the last report.
// Ordinary ones are a sample by design.
func (l *Log) report() {
	if n := l.omitted[Notable].Swap(0); n > 0 {
		l.logger.Warn("lines left out", "notable", n, "ordinary", l.omitted[Ordinary].Swap(0))
	}
}
