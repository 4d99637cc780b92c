package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/emicklei/go-restful/v3"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

const (
	// maxAnnouncement bounds the body of an announcement.
	maxAnnouncement = 64 << 10
	// engineSilence is the time without announcements after which an engine counts as dead.
	engineSilence = 2500 * time.Millisecond
)

// EngineState is the state that an engine announces.
type EngineState string

// States of an engine.
const (
	EngineStarting EngineState = "starting"
	EngineReady    EngineState = "ready"
	EngineLeaving  EngineState = "leaving"
)

// Announcement is what an engine says of itself.
type Announcement struct {
	Engine        serving.EngineID     `json:"engine"`
	Host          serving.HostID       `json:"host"`
	Address       string               `json:"address"`
	DataCentre    serving.DataCentreID `json:"data_centre"`
	Incarnation   serving.Incarnation  `json:"incarnation"`
	Kind          string               `json:"kind"`
	Services      []serving.ServiceID  `json:"services,omitempty"`
	Models        []ModelRef           `json:"models"`
	Role          string               `json:"role"`
	State         EngineState          `json:"state"`
	Capacity      serving.Capacity     `json:"capacity"`
	Load          serving.Load         `json:"load"`
	ChecksFencing string               `json:"checks_fencing"`
	CacheEvents   []CacheEvent         `json:"cache_events,omitempty"`
}

// ModelRef names a model at a version.
type ModelRef struct {
	Model   serving.ModelID `json:"model"`
	Version serving.Version `json:"version"`
}

// CacheEvent tells that a prompt prefix entered or left an engine's cache.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Op     string `json:"op"`
	Prefix string `json:"prefix"`
}

// AnnounceReply is the answer to an announcement.
type AnnounceReply struct {
	Entries []string `json:"entries"`
	Owner   string   `json:"owner,omitempty"`
}

// announced is the event of an engine's announcement.
type announced struct{ Announcement }

func (a announced) apply(b *Blackboard, now time.Duration) bool {
	old := b.Engines[a.Engine]
	if old != nil && a.Incarnation < old.Incarnation {
		return false
	}
	n := &Engine{Announcement: a.Announcement, ReceivedAt: now, counters: newEngineCounters()}
	if old == nil {
		b.Engines[a.Engine] = n
		return true
	}
	n.counters = old.counters
	if old.Incarnation == a.Incarnation && old.State == EngineLeaving {
		n.State = EngineLeaving // A leaving mark holds for the whole incarnation.
	}
	b.Engines[a.Engine] = n
	return old.State != n.State || old.Incarnation != n.Incarnation
}

// dropSilentEngines removes engines that no longer announce themselves.
func dropSilentEngines(b *Blackboard, now time.Duration) {
	for id, n := range b.Engines {
		if now-n.ReceivedAt > engineSilence {
			delete(b.Engines, id)
		}
	}
}

// announce handles POST /v1/engines/announce.
func (e *Entry) announce(r *restful.Request, w *restful.Response) {
	if !e.isCluster(r.Request) {
		writeError(w, serving.NewError(serving.KindUnauthenticated, "the cluster key is missing or wrong"))
		return
	}
	var a Announcement
	body := http.MaxBytesReader(w, r.Request.Body, maxAnnouncement)
	if err := json.NewDecoder(body).Decode(&a); err != nil {
		writeError(w, serving.WrapError(err, serving.KindInvalid, "decode announcement"))
		return
	}
	if a.Engine == "" || a.Address == "" || a.DataCentre == "" {
		writeError(w, serving.NewError(serving.KindInvalid, "an announcement needs engine, address and data_centre"))
		return
	}
	e.board.send(r.Request.Context(), announced{a})
	writeJSON(w, http.StatusOK, AnnounceReply{Entries: e.entryAddresses()})
}

// entryAddresses lists this entry and the peers of its settings.
func (e *Entry) entryAddresses() []string {
	all := []string{string(e.Settings.Advertise)}
	for _, p := range e.Settings.Entry.Peers {
		all = append(all, string(p))
	}
	return all
}
