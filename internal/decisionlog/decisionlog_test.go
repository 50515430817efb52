package decisionlog

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"
	"unsafe"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
)

// fixedFields returns a fields function that returns the given pairs.
func fixedFields(pairs ...any) func() []any { return func() []any { return pairs } }

// startWriter starts Run and returns a function that stops it and waits for its
// end.
func startWriter(l *Log) (end func()) {
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		l.Run(stop)
	}()
	return func() {
		close(stop)
		<-done
	}
}

func TestVolumeIsBoundedAndDroppedLinesAreCounted(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := New(log.New(&out))
	for range 10 * routineLinesPerSecond {
		l.Add(Routine, "served", fixedFields())
	}
	for range 2 {
		l.Add(Notable, "refused", fixedFields("request", "r1"))
	}
	is.Equal(l.dropped[Routine].Load(), uint64(10*routineLinesPerSecond-burstSeconds*routineLinesPerSecond))
	startWriter(l)()
	text := out.String()
	is.Equal(strings.Count(text, "served"), burstSeconds*routineLinesPerSecond)
	is.Equal(strings.Count(text, "request=r1"), 2) // notable lines have a separate limit
}

func TestLongValuesAreNotHeldInTheQueue(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := New(log.New(&out))
	long := strings.Repeat("x", 64<<10)
	l.Add(Notable, "refused", fixedFields("path", long, "request", long[:4]))
	queued := <-l.queue
	is.Equal(queued.fields[1], long[:maxFieldBytes]+"...")
	is.Equal(queued.fields[3], "xxxx")
	is.True(unsafe.StringData(queued.fields[3].(string)) != unsafe.StringData(long))
}

// blockedWriter blocks every write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	is := is.New(t)
	output := blockedWriter{release: make(chan struct{})}
	l := New(log.New(output))
	l.limits[Notable].SetBurst(10 * queueLength)
	l.limits[Notable].SetLimit(1e9)
	end := startWriter(l)
	added := make(chan struct{})
	go func() {
		defer close(added)
		for range 2 * queueLength {
			l.Add(Notable, "refused", fixedFields())
		}
	}()
	select {
	case <-added:
	case <-time.After(10 * time.Second):
		t.Fatal("Add blocked on the output")
	}
	is.True(l.dropped[Notable].Load() > 0)
	close(output.release)
	end()
}

// discardWriter discards its input. io.Discard cannot be used in benchmarks, as
// the log library detects it and skips all formatting.
type discardWriter struct{}

func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }

func BenchmarkLine(b *testing.B) {
	logger := log.NewWithOptions(discardWriter{}, log.Options{Formatter: log.JSONFormatter, ReportTimestamp: true})
	for b.Loop() {
		logger.Info("attempt", "request", "9c41d07be2a35f68", "route", "r-2b9wu3f", "version", 12, "attempt", 1,
			"instance", "i-7f3a91c2", "candidates", 5, "in_flight", 3, "load", 0.56, "load_age_ms", 12, "left_ms", 1199, "took_ms", 55)
	}
}

// fullOutput has room only once it is set free.
type fullOutput struct{ free bool }

func (o *fullOutput) HasRoom() bool   { return o.free }
func (o *fullOutput) Dropped() uint64 { return 0 }

// Guards against routine lines that are counted as notable ones when the output has no room.
func TestLinesWithoutRoomAreCountedByClass(t *testing.T) {
	is := is.New(t)
	l := New(log.New(io.Discard))
	l.SetOutput(new(fullOutput))
	l.Add(Routine, "served", fixedFields())
	l.Add(Routine, "served", fixedFields())
	l.Add(Notable, "refused", fixedFields())
	startWriter(l)()
	is.Equal(l.dropped[Routine].Load(), uint64(2))
	is.Equal(l.dropped[Notable].Load(), uint64(1))
}
