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
	// maxAnnouncement bounds the body of an announcement.
	maxAnnouncement = 64 << 10
	// maxListed bounds the entries that the answer to an announcement lists; an
	// engine needs a few to turn to when its owner fails.
	maxListed = 8
)

// announced is the event of an engine's announcement.
type announced struct {
	*engine.Announcement
	region serving.RegionID
}

func (a announced) apply(s *controlState, now time.Duration) bool {
	id := string(a.Engine)
	before := s.directory.State(now, id)
	s.directory.Announce(now, a.Announcement, a.region)
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
	b := e.board.load()
	region := canonical(b.View, a)
	e.board.send(r.Request.Context(), announced{a, region})
	reply := engine.Reply{Entries: e.entryAddresses()}
	if b.Owners != nil {
		if owner, ok := engine.Owner(a.Engine, a.DataCentre, region, b.Owners.Entries); ok {
			reply.Owner = owner.Address
		}
	}
	writeJSON(w, http.StatusOK, reply)
}

// canonical replaces the names of an announcement by canonical ids, so that limits
// and orders do not depend on the naming scheme, and returns the region. Names
// that the configuration does not know stay as they are.
func canonical(v *View, a *engine.Announcement) serving.RegionID {
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
		if p.State == engine.StateAlive && len(all) < maxListed {
			add(p.Address)
		}
	}
	for _, p := range e.Settings.Entry.Peers {
		add(string(p))
	}
	return all
}
