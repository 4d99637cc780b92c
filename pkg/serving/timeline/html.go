package timeline

import (
	_ "embed" // for the page template
	"html/template"
	"io"
	"slices"

	"github.com/rotisserie/eris"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// pageRow is an event with the grid column of its lane. Lanes start at column 2,
// because column 1 shows the time.
type pageRow struct {
	Event
	Lane  int
	Clock string
}

// WriteHTML writes events as a self-contained page with one lane per process, time
// running downwards, and a filter by request id.
func WriteHTML(w io.Writer, events []Event) error {
	var lanes []string
	for _, e := range events {
		lanes = append(lanes, e.Process)
	}
	slices.Sort(lanes)
	lanes = slices.Compact(lanes)
	rows := make([]pageRow, len(events))
	for i, e := range events {
		lane, _ := slices.BinarySearch(lanes, e.Process)
		rows[i] = pageRow{Event: e, Lane: lane + 2, Clock: e.Wall().Format("15:04:05.000000")}
	}
	return eris.Wrap(page.Execute(w, map[string]any{"Lanes": lanes, "Rows": rows}), "write page")
}
