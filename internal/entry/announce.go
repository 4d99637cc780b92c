package entry

import (
	"io"
	"net/http"
	"time"

	"github.com/emicklei/go-restful/v3"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
)

// maxAnnouncement bounds the body of an announcement.
const maxAnnouncement = 64 << 10

// announced is the event of an engine's announcement.
type announced struct{ *engine.Announcement }

func (a announced) apply(s *controlState, now time.Duration) bool {
	id := string(a.Engine)
	before := s.directory.State(now, id)
	s.directory.Announce(now, a.Announcement, "")
	return s.directory.State(now, id) != before
}

// announce handles POST /v1/engines/announce.
func (e *Entry) announce(r *restful.Request, w *restful.Response) {
	if !e.isCluster(r.Request) {
		writeError(w, serving.NewError(serving.KindUnauthenticated, "the cluster key is missing or wrong"))
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Request.Body, maxAnnouncement))
	if err != nil {
		writeError(w, serving.WrapError(err, serving.KindInvalid, "read announcement"))
		return
	}
	a, err := engine.DecodeAnnouncement(body)
	if err != nil {
		writeError(w, err)
		return
	}
	e.board.send(r.Request.Context(), announced{a})
	writeJSON(w, http.StatusOK, engine.Reply{Entries: e.entryAddresses()})
}

// entryAddresses lists this entry, the entries that are alive, and the peers of its settings.
func (e *Entry) entryAddresses() []string {
	all := []string{string(e.Settings.Advertise)}
	seen := map[string]bool{all[0]: true}
	add := func(address string) {
		if !seen[address] {
			seen[address] = true
			all = append(all, address)
		}
	}
	for _, p := range e.board.load().Entries {
		if p.State == engine.StateAlive {
			add(p.Address)
		}
	}
	for _, p := range e.Settings.Entry.Peers {
		add(string(p))
	}
	return all
}
