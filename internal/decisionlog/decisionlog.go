// Package decisionlog logs one line for each decision about a request. Its volume
// is rate-limited, and callers never block on the output. Lines that exceed a rate
// limit or find the queue full are dropped and counted. Routine lines have a much
// lower limit than notable ones.
package decisionlog

import (
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"
)

// Class determines the rate limit of a line.
type Class int

// Classes of lines.
const (
	// Routine lines report requests that completed normally.
	Routine Class = iota
	// Notable lines report requests that were refused, failed or retried.
	Notable
	classCount
)

const (
	// Both rates together keep the log below 100 KB/s, and its cost below 1% of
	// a core at 15 µs per line (BenchmarkLine).
	routineLinesPerSecond = 10
	notableLinesPerSecond = 300
	// burstSeconds is the burst size of each rate limit, as a multiple of its
	// lines per second.
	burstSeconds = 3
	// queueLength is the number of lines that may be queued for the output.
	queueLength = 1024
	// maxFieldBytes is the size up to which a value is logged.
	maxFieldBytes = 512
	// reportInterval is the interval at which the number of dropped lines is
	// logged.
	reportInterval = time.Second
)

type line struct {
	class   Class
	message string
	fields  []any
}

// Log is a rate-limited log. It is safe for concurrent use.
type Log struct {
	logger  *log.Logger
	limits  [classCount]*rate.Limiter
	queue   chan line
	dropped [classCount]atomic.Uint64
	output  Output
	// lostLines is the last value of output.Dropped that was reported.
	lostLines uint64
}

// Output is the queue behind the logger.
type Output interface {
	// HasRoom reports whether there is room for a line that may be dropped.
	HasRoom() bool
	// Dropped returns the number of lines of any kind that were lost.
	Dropped() uint64
}

// unlimited is the Output of a log without a queue behind its logger.
type unlimited struct{}

func (unlimited) HasRoom() bool   { return true }
func (unlimited) Dropped() uint64 { return 0 }

// SetOutput makes the log leave the room that output reserves to other lines, and report
// the lines that output has lost. It must be called before Run.
func (l *Log) SetOutput(output Output) { l.output = output }

// New returns a log that writes to logger while Run is active.
func New(logger *log.Logger) *Log {
	l := &Log{logger: logger, queue: make(chan line, queueLength), output: unlimited{}}
	for class, perSecond := range [classCount]int{Routine: routineLinesPerSecond, Notable: notableLinesPerSecond} {
		l.limits[class] = rate.NewLimiter(rate.Limit(perSecond), burstSeconds*perSecond)
	}
	return l
}

// Add queues a line, or drops it if the rate limit of its class is exceeded or the
// queue is full. fields returns alternating names and values. It is called only
// for lines within the rate limit, which saves its cost for most routine lines.
func (l *Log) Add(class Class, message string, fields func() []any) {
	if !l.limits[class].Allow() {
		l.dropped[class].Add(1)
		return
	}
	select {
	case l.queue <- line{class, message, shorten(fields())}:
	default:
		l.dropped[class].Add(1)
	}
}

// shorten cuts long values off, and copies the others. They are parts of what a caller sent,
// all of which a queued line would hold with them.
func shorten(fields []any) []any {
	for i, f := range fields {
		switch text, ok := f.(string); {
		case ok && len(text) > maxFieldBytes:
			fields[i] = text[:maxFieldBytes] + "..."
		case ok:
			fields[i] = strings.Clone(text)
		}
	}
	return fields
}

// Run writes queued lines until stop is closed, then flushes the queue.
func (l *Log) Run(stop <-chan struct{}) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case next := <-l.queue:
			l.write(next)
		case <-ticker.C:
			l.reportDropped()
		case <-stop:
			l.flush()
			return
		}
	}
}

func (l *Log) write(next line) {
	if !l.output.HasRoom() {
		l.dropped[next.class].Add(1)
		return
	}
	l.logger.Info(next.message, next.fields...)
}

func (l *Log) flush() {
	for len(l.queue) > 0 {
		l.write(<-l.queue)
	}
	l.reportDropped()
}

// reportDropped logs the number of lines dropped since the last report, if any of
// them was notable. Routine lines are sampled by design, so dropping only those
// is not reported.
func (l *Log) reportDropped() {
	if !l.output.HasRoom() {
		return // until the output takes lines again
	}
	if n := l.output.Dropped(); n > l.lostLines {
		l.logger.Warn("log lines dropped", "lines", n-l.lostLines)
		l.lostLines = n
	}
	if n := l.dropped[Notable].Swap(0); n > 0 {
		l.logger.Warn("decision log lines dropped", "notable", n, "ordinary", l.dropped[Routine].Swap(0))
	}
}
