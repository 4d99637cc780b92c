package timeline

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"io/fs"
	"os"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Event is one line of an event log.
type Event struct {
	Time
	Process    string            `json:"process"`
	Kind       string            `json:"kind"`
	RequestID  serving.RequestID `json:"request_id,omitempty"`
	Attributes map[string]string `json:"attributes,omitempty"`
}

// Detail returns the attributes sorted by name.
func (e *Event) Detail() string {
	pairs := make([]string, 0, len(e.Attributes))
	for k, v := range e.Attributes {
		pairs = append(pairs, k+"="+v)
	}
	slices.Sort(pairs)
	return strings.Join(pairs, " ")
}

// Decode reads the events of one log. It skips and counts lines that are not
// events. A process that crashes can leave an incomplete line, and the restarted
// process appends its events after that line.
func Decode(r io.Reader) (events []Event, skipped int, err error) {
	data, err := io.ReadAll(r)
	if err != nil {
		return nil, 0, eris.Wrap(err, "read event log")
	}
	for line := range bytes.Lines(data) {
		var e Event
		switch {
		case len(bytes.TrimSpace(line)) == 0:
		case json.Unmarshal(line, &e) != nil || e.Process == "" || e.Kind == "":
			skipped++
		default:
			events = append(events, e)
		}
	}
	return events, skipped, nil
}

// ReadFiles reads the logs at the given paths, each with its rotated file if it
// has one, and merges them.
func ReadFiles(paths ...string) (events []Event, skipped int, err error) {
	var logs [][]Event
	for _, path := range paths {
		for _, p := range []string{path + rotatedSuffix, path} {
			es, n, err := readFile(p)
			if errors.Is(err, fs.ErrNotExist) && p != path {
				continue
			}
			if err != nil {
				return nil, 0, err
			}
			logs, skipped = append(logs, es), skipped+n
		}
	}
	return Merge(logs...), skipped, nil
}

func readFile(path string) ([]Event, int, error) {
	f, err := os.Open(path)
	if err != nil {
		e := serving.WrapError(err, serving.KindNotFound, "open event log")
		e.Remedy = "check the path of the event log"
		return nil, 0, e
	}
	defer f.Close()
	return Decode(f)
}

// Merge returns the events of all logs, sorted by time and then by process.
func Merge(logs ...[]Event) []Event {
	all := slices.Concat(logs...)
	slices.SortStableFunc(all, func(a, b Event) int {
		if c := a.Compare(b.Time); c != 0 {
			return c
		}
		return strings.Compare(a.Process, b.Process)
	})
	return all
}
