package lab

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// clockTick is the unit of CPU time in /proc.
const clockTick = 10 * time.Millisecond

// Usage is the resource usage of a process.
type Usage struct {
	CPUTime time.Duration
	// ResidentBytes is the current resident set size.
	ResidentBytes int64
}

// Usage returns the CPU time that the process has used and its resident set
// size, from /proc.
func (p *Process) Usage() (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid()))
	if err != nil {
		return Usage{}, errors.Wrap(err, "read process usage")
	}
	// The command name in parentheses is field 2 of the line, so statFields starts
	// with field 3.
	_, rest, _ := strings.Cut(string(stat), ") ")
	statFields := strings.Fields(rest)
	const utime, stime, rss = 14 - 3, 15 - 3, 24 - 3
	if len(statFields) <= rss {
		return Usage{}, errors.New("read process usage: malformed /proc stat")
	}
	ticks := int64(0)
	for _, f := range []int{utime, stime} {
		n, err := strconv.ParseInt(statFields[f], 10, 64)
		if err != nil {
			return Usage{}, errors.Wrap(err, "read process usage")
		}
		ticks += n
	}
	pages, err := strconv.ParseInt(statFields[rss], 10, 64)
	if err != nil {
		return Usage{}, errors.Wrap(err, "read process usage")
	}
	return Usage{
		CPUTime:       time.Duration(ticks) * clockTick,
		ResidentBytes: pages * int64(os.Getpagesize()),
	}, nil
}
