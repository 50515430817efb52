package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// Size of the plot in pixels.
const (
	plotWidth  = 640
	plotHeight = 360
	margin     = 50
)

var colours = map[string]string{"naive": "#c0392b", "peers": "#2c6fbb"}

// writePlot plots source reads per change against the number of proxies.
func writePlot(dir string, rows []row) error {
	file, err := os.Create(filepath.Join(dir, "fleet.svg"))
	if err != nil {
		return errors.Wrap(err, "write plot")
	}
	defer file.Close()
	return errors.Wrap(plot(file, rows), "write plot")
}

// point holds a number of proxies and the source reads per change.
type point struct{ x, y float64 }

func plot(w io.Writer, rows []row) error {
	lines := make(map[string][]point)
	var maxima point // the highest value on each axis
	for _, r := range rows {
		if r.scenario != "change" || r.changes == 0 {
			continue
		}
		p := point{float64(r.proxies), float64(r.reads) / float64(r.changes)}
		lines[r.mode] = append(lines[r.mode], p)
		maxima = point{max(maxima.x, p.x), max(maxima.y, p.y)}
	}
	maxima = point{max(maxima.x, 1), max(maxima.y, 1)}
	fmt.Fprintf(w, "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\" font-size=\"12\">\n", plotWidth, plotHeight)
	fmt.Fprintf(w, "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n")
	fmt.Fprintf(w, "<text x=\"%d\" y=\"20\">reads of the source per change (up to %.0f) over proxies (up to %.0f)</text>\n", margin, maxima.y, maxima.x)
	fmt.Fprintf(w, "<path d=\"M%d %d V%d H%d\" fill=\"none\" stroke=\"black\"/>\n", margin, margin, plotHeight-margin, plotWidth-margin)
	legendRow := 0
	for _, mode := range []string{"naive", "peers"} {
		if len(lines[mode]) == 0 {
			continue
		}
		legendRow++
		plotLine(w, mode, lines[mode], maxima, legendRow)
	}
	_, err := fmt.Fprintln(w, "</svg>")
	return err
}

func plotLine(w io.Writer, mode string, points []point, maxima point, legendRow int) {
	fmt.Fprintf(w, "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"2\" points=\"", colours[mode])
	for _, p := range points {
		x := margin + p.x/maxima.x*(plotWidth-2*margin)
		y := plotHeight - margin - p.y/maxima.y*(plotHeight-2*margin)
		fmt.Fprintf(w, "%.1f,%.1f ", x, y)
	}
	fmt.Fprintf(w, "\"/>\n<text x=\"%d\" y=\"%d\" fill=\"%s\">%s</text>\n", margin+10, margin+16*legendRow, colours[mode], mode)
}
