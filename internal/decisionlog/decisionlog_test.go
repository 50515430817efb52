package decisionlog

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
)

// fields returns a function that returns the pairs.
func fields(pairs ...any) func() []any { return func() []any { return pairs } }

// run starts the writer and returns the function that ends it.
func run(l *Log) (end func()) {
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

func TestVolumeIsBoundedAndWhatIsLeftOutIsCounted(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := New(log.New(&out))
	for range 10 * ordinaryRate {
		l.Add(Ordinary, "served", fields())
	}
	for range 2 {
		l.Add(Notable, "refused", fields("request", "r1"))
	}
	is.Equal(l.omitted[Ordinary].Load(), uint64(10*ordinaryRate-burst*ordinaryRate))
	run(l)()
	text := out.String()
	is.Equal(strings.Count(text, "served"), burst*ordinaryRate)
	is.Equal(strings.Count(text, "request=r1"), 2) // notable lines have room of their own
}

// stuck is an output that nobody reads.
type stuck struct{ release chan struct{} }

func (s stuck) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

func TestOutputThatNobodyReadsHoldsNoRequest(t *testing.T) {
	is := is.New(t)
	output := stuck{release: make(chan struct{})}
	l := New(log.New(output))
	l.limits[Notable].SetBurst(10 * pending)
	l.limits[Notable].SetLimit(1e9)
	end := run(l)
	added := make(chan struct{})
	go func() {
		defer close(added)
		for range 2 * pending {
			l.Add(Notable, "refused", fields())
		}
	}()
	select {
	case <-added:
	case <-time.After(10 * time.Second):
		t.Fatal("a line waited for the output")
	}
	is.True(l.omitted[Notable].Load() > 0)
	close(output.release)
	end()
}

// sink is an output without cost. The library does no work for io.Discard.
type sink struct{}

func (sink) Write(b []byte) (int, error) { return len(b), nil }

func BenchmarkLine(b *testing.B) {
	logger := log.NewWithOptions(sink{}, log.Options{Formatter: log.JSONFormatter, ReportTimestamp: true})
	for b.Loop() {
		logger.Info("attempt", "request", "9c41d07be2a35f68", "route", "r-2b9wu3f", "version", 12, "attempt", 1,
			"instance", "i-7f3a91c2", "candidates", 5, "in_flight", 3, "load", 0.56, "load_age_ms", 12, "left_ms", 1199, "took_ms", 55)
	}
}
