package lab

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// clockTick is the unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

// Usage is what a process has used so far.
type Usage struct {
	Processor time.Duration
	// ResidentBytes is the memory held now.
	ResidentBytes int64
}

// Usage reads the resources that the process has used.
func (p *Process) Usage() (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid()))
	if err != nil {
		return Usage{}, errors.Wrap(err, "read usage")
	}
	// The fields after the parenthesised name begin with the third.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const utime, stime, rss = 14 - 3, 15 - 3, 24 - 3
	if len(fields) <= rss {
		return Usage{}, errors.New("read usage: malformed stat")
	}
	ticks := int64(0)
	for _, f := range []int{utime, stime} {
		n, err := strconv.ParseInt(fields[f], 10, 64)
		if err != nil {
			return Usage{}, errors.Wrap(err, "read usage")
		}
		ticks += n
	}
	pages, err := strconv.ParseInt(fields[rss], 10, 64)
	if err != nil {
		return Usage{}, errors.Wrap(err, "read usage")
	}
	return Usage{
		Processor:     time.Duration(ticks) * clockTick,
		ResidentBytes: pages * int64(os.Getpagesize()),
	}, nil
}
