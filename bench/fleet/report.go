package main

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
)

var columns = []string{
	"mode", "proxies", "case", "p50 ms", "p99 ms", "max ms", "bytes/s", "bytes/change",
	"reads/s", "reads/change", "core %", "MB",
}

// cells returns the row as table cells. Cells that do not apply to the scenario
// are empty.
func (r row) cells() []string {
	out := []string{r.mode, strconv.Itoa(r.proxies), r.scenario, "", "", "", "", "", "", "", "", ""}
	if len(r.convergence) > 0 {
		for n, p := range []float64{0.5, 0.99, 1} {
			out[3+n] = formatMilliseconds(quantile(r.convergence, p))
		}
	}
	out[8] = formatNumber(float64(r.reads) / r.seconds)
	if r.residentBytes == 0 { // the proxies were not sampled
		return out
	}
	out[6] = formatNumber(r.sentBytes / r.seconds)
	if r.changes > 0 {
		out[7] = formatNumber(r.sentBytes / float64(r.changes))
		out[9] = formatNumber(float64(r.reads) / float64(r.changes))
	}
	out[10] = formatNumber(100 * r.cpuTime.Seconds() / r.seconds)
	out[11] = formatNumber(float64(r.residentBytes) / (1 << 20))
	return out
}

func formatMilliseconds(d time.Duration) string {
	return formatNumber(float64(d) / float64(time.Millisecond))
}

func formatNumber(v float64) string {
	if v < 10 {
		return strconv.FormatFloat(v, 'f', 2, 64)
	}
	return strconv.FormatFloat(v, 'f', 0, 64)
}

func printTable(w io.Writer, rows []row) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, c := range columns {
		fmt.Fprint(table, c, "\t")
	}
	fmt.Fprintln(table)
	for _, r := range rows {
		for _, c := range r.cells() {
			fmt.Fprint(table, c, "\t")
		}
		fmt.Fprintln(table)
	}
	_ = table.Flush()
}

func writeCSV(dir string, rows []row) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "write table")
	}
	file, err := os.Create(filepath.Join(dir, "fleet.csv"))
	if err != nil {
		return errors.Wrap(err, "write table")
	}
	defer file.Close()
	w := csv.NewWriter(file)
	_ = w.Write(columns)
	for _, r := range rows {
		_ = w.Write(r.cells())
	}
	w.Flush()
	return errors.Wrap(w.Error(), "write table")
}
