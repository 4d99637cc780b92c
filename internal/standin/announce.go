package standin

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
)

// maxCacheEvents limits the cache events in one announcement.
const maxCacheEvents = 256

// Announcement is the body of an engine's announcement. DeadlineMS is the time until
// a leaving engine exits, or 0 if there is no deadline or it has passed.
type Announcement struct {
	engine.Announcement
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
}

// delayedEvent is a cache event that is announced CacheLag after createdAt.
type delayedEvent struct {
	engine.CacheEvent
	createdAt time.Time
}

// announceState holds the reports that are not announced yet, and the addresses to
// announce to. Engine.mu guards loads, events and the sequence numbers; only the
// announce loop uses the addresses.
type announceState struct {
	loads       []serving.Load
	events      []delayedEvent
	eventSeq    uint64
	announceSeq uint64
	owner       string
	// preferredEntry is the index in Engine.Entries of the entry that accepted the last
	// announcement, or 0 if the entry is not listed there. discovered are the entries
	// that the last reply listed.
	preferredEntry int
	discovered     []string
}

// addCacheEvent queues a cache event for announcement. A fraction CacheLoss of the
// events is dropped, which leaves gaps in the sequence numbers. While the events of 16
// announcements are queued, all further events are dropped. The caller must hold e.mu.
func (e *Engine) addCacheEvent(op, prefix string) {
	e.announceState.eventSeq++
	if e.random.Float64() < e.CacheLoss || len(e.announceState.events) >= 16*maxCacheEvents {
		return
	}
	ev := engine.CacheEvent{Seq: e.announceState.eventSeq, Op: op, Prefix: prefix}
	e.announceState.events = append(e.announceState.events, delayedEvent{ev, time.Now()})
}

func (e *Engine) announceLoop(ctx context.Context) {
	t := time.NewTicker(e.AnnounceEvery)
	defer t.Stop()
	for {
		if err := e.announce(ctx); err != nil {
			klog.V(1).InfoS("Announcement failed", "engine", e.Name, "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-e.announceNow:
		}
	}
}

// announcement builds the next announcement. It contains the newest load report that is at
// least LoadLag old, or the oldest one if there is none, and cache events that are at least
// CacheLag old.
func (e *Engine) announcement(now time.Time) *Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.batch.load(now)
	l.Running += serving.Slots(e.activeCalls)
	e.announceState.loads = append(e.announceState.loads, l)
	for len(e.announceState.loads) > 1 && e.announceState.loads[1].AsOfMS <= now.Add(-e.LoadLag).UnixMilli() {
		e.announceState.loads = e.announceState.loads[1:]
	}
	var due []engine.CacheEvent
	for len(e.announceState.events) > 0 && now.Sub(e.announceState.events[0].createdAt) >= e.CacheLag && len(due) < maxCacheEvents {
		due = append(due, e.announceState.events[0].CacheEvent)
		e.announceState.events = e.announceState.events[1:]
	}
	e.announceState.announceSeq++
	a := &Announcement{Announcement: engine.Announcement{
		Engine: e.Name, Host: e.Host, Address: cmp.Or(e.Advertise, e.Addr()), DataCentre: e.DataCentre, Seq: e.announceState.announceSeq,
		UptimeMS:    now.Sub(e.startedAt).Milliseconds(),
		Incarnation: e.Incarnation, Kind: e.Kind, Services: e.Services, Models: slices.Clone(e.Models),
		Role: e.Role, State: e.state, Capacity: e.Capacity, Load: e.announceState.loads[0],
		ChecksFencing: e.ChecksFencing, CacheEvents: due,
	}}
	if !e.deadline.IsZero() {
		a.DeadlineMS = max(0, e.deadline.Sub(now).Milliseconds())
	}
	return a
}

// announce sends one announcement to the first target that accepts it: the owner, if a
// reply named one, then the configured entries, then the discovered ones.
func (e *Engine) announce(ctx context.Context) error {
	e.mu.Lock()
	_, suppressed := e.fault("mute")
	e.mu.Unlock()
	if suppressed {
		return nil
	}
	body, err := json.Marshal(e.announcement(time.Now()))
	if err != nil {
		return eris.Wrap(err, "encode announcement")
	}
	s := &e.announceState
	targets := slices.Concat(e.Entries[s.preferredEntry:], e.Entries[:s.preferredEntry], s.discovered)
	if s.owner != "" {
		targets = append([]string{s.owner}, targets...)
	}
	for _, target := range targets {
		var reply engine.Reply
		if reply, err = e.post(ctx, target, body); err == nil {
			s.owner, s.preferredEntry, s.discovered = reply.Owner, max(0, slices.Index(e.Entries, target)), reply.Entries
			return nil
		}
	}
	return err
}

func (e *Engine) post(ctx context.Context, target string, body []byte) (reply engine.Reply, err error) {
	ctx, cancel := context.WithTimeout(ctx, e.AnnounceEvery)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+"/v1/engines/announce", bytes.NewReader(body))
	if err != nil {
		return reply, eris.Wrap(err, "build announcement")
	}
	req.Header.Set("Authorization", "Bearer "+e.ClusterKey)
	req.Header.Set("Content-Type", "application/json")
	resp, err := e.client.Do(req)
	if err != nil {
		return reply, eris.Wrap(err, "announce")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return reply, eris.Errorf("entry %s answered the announcement with status %d", target, resp.StatusCode)
	}
	return reply, decode(resp.Body, &reply)
}
