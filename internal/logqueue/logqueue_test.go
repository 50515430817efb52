package logqueue

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// gate is an output that stands still until it is opened.
type gate struct {
	open chan struct{}
	bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	return g.Buffer.Write(p)
}

// Guards against a reader of the log that stands still and with it all that logs.
func TestOutputThatStandsStillHoldsNothingUp(t *testing.T) {
	is := is.New(t)
	out := &gate{open: make(chan struct{})}
	q := New(out)
	line := []byte(strings.Repeat("x", 99) + "\n")
	const lines = 3 * maxBytes / 100
	for range lines {
		n, err := q.Write(line)
		is.NoErr(err)
		is.Equal(n, len(line))
	}
	is.True(!q.HasRoom())
	is.True(q.Dropped() > 0)
	start := time.Now()
	q.Close(20 * time.Millisecond)
	is.True(time.Since(start) < time.Second)
	close(out.open)
	<-q.done
	is.Equal(uint64(bytes.Count(out.Bytes(), []byte{'\n'}))+q.Dropped(), uint64(lines)) // each is written or counted
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	q := New(&out)
	var want strings.Builder
	for i := range 1000 {
		fmt.Fprintln(&want, i)
		_, _ = fmt.Fprintln(q, i)
	}
	q.Close(10 * time.Second)
	is.Equal(out.String(), want.String())
	_, _ = q.Write([]byte("late\n"))
	is.Equal(q.Dropped(), uint64(1))
}

type failing struct{}

func (failing) Write([]byte) (int, error) { return 0, errors.New("full") }

func TestLinesThatTheOutputRefusesAreCounted(t *testing.T) {
	is := is.New(t)
	q := New(failing{})
	_, _ = io.WriteString(q, "a\n")
	_, _ = io.WriteString(q, "b\n")
	q.Close(10 * time.Second)
	is.Equal(q.Dropped(), uint64(2))
}

func BenchmarkWrite(b *testing.B) {
	q := New(io.Discard)
	defer q.Close(time.Second)
	line := []byte(strings.Repeat("x", 299) + "\n")
	b.ReportAllocs()
	for range b.N {
		_, _ = q.Write(line)
	}
}
