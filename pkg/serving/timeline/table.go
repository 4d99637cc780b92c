package timeline

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"unicode"

	"github.com/rotisserie/eris"
)

const wallFormat = "2006-01-02T15:04:05.000000Z"

// WriteTable writes events as a table with one event per line.
func WriteTable(w io.Writer, events []Event) error {
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(tw, "TIME\tLOGICAL\tPROCESS\tKIND\tREQUEST\tATTRIBUTES")
	for _, e := range events {
		cells := []string{e.Wall().Format(wallFormat), strconv.FormatUint(uint64(e.Logical), 10), e.Process, e.Kind, string(e.RequestID), e.Detail()}
		for i := range cells {
			cells[i] = strings.Map(printable, cells[i])
		}
		// A trailing tab would pad the line with spaces.
		fmt.Fprintln(tw, strings.TrimRight(strings.Join(cells, "\t"), "\t"))
	}
	return eris.Wrap(tw.Flush(), "write table")
}

// printable replaces characters that would break a line of the table.
func printable(r rune) rune {
	if unicode.IsControl(r) {
		return ' '
	}
	return r
}
