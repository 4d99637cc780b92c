package entry

import (
	"io"
	"net/http"
	"time"

	"github.com/emicklei/go-restful/v3"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
)

const (
	// maxAnnouncement bounds the body of an announcement, in bytes.
	maxAnnouncement = 64 << 10
	// maxListedEntries bounds how many live entries, this one included, are returned to
	// an announcing engine in addition to the configured peers. The engine needs a few
	// alternatives in case its owner fails.
	maxListedEntries = 8
)

// announcementReceived is the event that delivers an engine's announcement.
type announcementReceived struct {
	*engine.Announcement
	region serving.RegionID
}

func (a announcementReceived) apply(s *controlState, now time.Duration) bool {
	id := string(a.Engine)
	before := s.directory.State(now, id)
	s.directory.Announce(now, a.Announcement, a.region)
	return s.directory.State(now, id) != before
}

// announce handles POST /v1/engines/announce.
func (e *Entry) announce(r *restful.Request, w *restful.Response) {
	if !e.hasClusterKey(r.Request) {
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
	b := e.board.load()
	region := canonicalizeNames(b.View, a)
	e.board.send(r.Request.Context(), announcementReceived{a, region})
	reply := engine.Reply{Entries: e.entryAddresses()}
	if b.OwnerCandidates != nil {
		if owner, ok := engine.Owner(a.Engine, a.DataCentre, region, b.OwnerCandidates.Entries); ok {
			reply.Owner = owner.Address
		}
	}
	writeJSON(w, http.StatusOK, reply)
}

// canonicalizeNames replaces the names in an announcement by canonical IDs, and returns
// the region of the data centre. Limits and taking an engine or data centre out of
// service therefore do not depend on the naming scheme that an engine uses. Names that
// are not configured stay unchanged.
func canonicalizeNames(v *View, a *engine.Announcement) serving.RegionID {
	if v == nil {
		return ""
	}
	if id, ok := v.Resolve(schema.ObjectKind_OBJECT_KIND_ENGINE, string(a.Engine)); ok {
		a.Engine = serving.EngineID(id)
	}
	id, place, ok := v.DataCentre(string(a.DataCentre))
	if ok {
		a.DataCentre = id
	}
	return serving.RegionID(place.GetRegion())
}

// entryAddresses returns the addresses of this entry, of the entries that are alive,
// and of the configured peers, in this order and without duplicates.
func (e *Entry) entryAddresses() []string {
	all := []string{string(e.Settings.Advertise)}
	seen := map[string]bool{all[0]: true}
	add := func(address string) {
		if !seen[address] {
			seen[address] = true
			all = append(all, address)
		}
	}
	for _, p := range e.board.load().Peers {
		if p.State == engine.StateAlive && len(all) < maxListedEntries {
			add(p.Address)
		}
	}
	for _, p := range e.Settings.Entry.Peers {
		add(string(p))
	}
	return all
}
