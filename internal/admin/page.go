package admin

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"maps"
	"net/http"
	"slices"

	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/node"
)

// maxEvents bounds the events listed on the status page.
const maxEvents = 30

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// page is the template data of the status page.
type page struct {
	Status node.Status
	// Newest is the newest configuration version that any instance reports.
	Newest uint64
	// Lagging is the number of instances that report an older version.
	Lagging int
	Zones   []zone
	Events  []node.JournalEntry
}

// zone is an availability zone on the status page.
type zone struct {
	Name    string
	Lagging int
	Cells   []cell
}

// cell is an instance on the status page.
type cell struct {
	Label, Title, Class string
}

// newPage groups the instances of a status by availability zone and lists its
// most recent events first.
func newPage(s node.Status) page {
	p := page{Status: s}
	for _, r := range s.Fleet {
		p.Newest = max(p.Newest, r.Version)
	}
	byZone := make(map[string]*zone)
	for _, r := range s.Fleet {
		z, ok := byZone[r.AvailabilityZone]
		if !ok {
			z = &zone{Name: r.AvailabilityZone}
			byZone[r.AvailabilityZone] = z
		}
		z.Cells = append(z.Cells, newCell(r, p.Newest))
		if r.Version < p.Newest {
			z.Lagging++
			p.Lagging++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(byZone)) {
		p.Zones = append(p.Zones, *byZone[name])
	}
	for _, e := range slices.Backward(s.Events) {
		if len(p.Events) == maxEvents {
			break
		}
		p.Events = append(p.Events, e)
	}
	return p
}

func newCell(r member.Record, newest uint64) cell {
	c := cell{
		Label: r.ID,
		Title: fmt.Sprintf("%s, %s, version %d, ready %t", r.Service, r.State, r.Version, r.Ready),
	}
	switch {
	case r.State >= member.Suspect:
		c.Class = "away"
	case r.State == member.Leaving:
		c.Class = "leaving"
	case r.Version < newest || !r.Ready:
		c.Class = "lags"
	}
	return c
}

// writePage renders the status page.
func writePage(w http.ResponseWriter, s node.Status) {
	var text bytes.Buffer
	if err := pageTemplate.Execute(&text, newPage(s)); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	_, _ = w.Write(text.Bytes())
}
