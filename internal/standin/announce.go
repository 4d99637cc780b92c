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

// maxCacheEvents bounds the cache events of one announcement.
const maxCacheEvents = 256

// Announcement is what an engine sends; a leaving one adds the time that it has left.
type Announcement struct {
	engine.Announcement
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
}

type lateEvent struct {
	engine.CacheEvent
	at time.Time
}

// reports holds what was not yet announced, and where to announce it.
type reports struct {
	loads     []serving.Load
	events    []lateEvent
	seq       uint64
	announced uint64
	owner     string
	// first is the configured entry that answered last; learned are the entries that it named.
	first   int
	learned []string
}

// cacheEvent numbers an event; a lost one leaves a gap in the numbers.
func (e *Engine) cacheEvent(op, prefix string) {
	e.reports.seq++
	if e.random.Float64() < e.CacheLoss || len(e.reports.events) >= 16*maxCacheEvents {
		return
	}
	ev := engine.CacheEvent{Seq: e.reports.seq, Op: op, Prefix: prefix}
	e.reports.events = append(e.reports.events, lateEvent{ev, time.Now()})
}

func (e *Engine) announceLoop(ctx context.Context) {
	t := time.NewTicker(e.AnnounceEvery)
	defer t.Stop()
	for {
		if err := e.announce(ctx); err != nil {
			klog.V(1).InfoS("announcement failed", "engine", e.Name, "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-e.kick:
		}
	}
}

// announcement builds the next announcement; the load and the cache events in it lag.
func (e *Engine) announcement(now time.Time) *Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.batch.load(now)
	l.Running += serving.Slots(e.calls)
	e.reports.loads = append(e.reports.loads, l)
	for len(e.reports.loads) > 1 && e.reports.loads[1].AsOfMS <= now.Add(-e.LoadLag).UnixMilli() {
		e.reports.loads = e.reports.loads[1:]
	}
	var due []engine.CacheEvent
	for len(e.reports.events) > 0 && now.Sub(e.reports.events[0].at) >= e.CacheLag && len(due) < maxCacheEvents {
		due = append(due, e.reports.events[0].CacheEvent)
		e.reports.events = e.reports.events[1:]
	}
	e.reports.announced++
	a := &Announcement{Announcement: engine.Announcement{
		Engine: e.Name, Host: e.Host, Address: cmp.Or(e.Advertise, e.Addr()), DataCentre: e.DataCentre, Seq: e.reports.announced,
		Incarnation: e.Incarnation, Kind: e.Kind, Services: e.Services, Models: slices.Clone(e.Models),
		Role: e.Role, State: e.state, Capacity: e.Capacity, Load: e.reports.loads[0],
		ChecksFencing: e.ChecksFencing, CacheEvents: due,
	}}
	if !e.deadline.IsZero() {
		a.DeadlineMS = max(0, e.deadline.Sub(now).Milliseconds())
	}
	return a
}

// announce sends one announcement to the owner if one is known, else to the entries in turn.
func (e *Engine) announce(ctx context.Context) error {
	e.mu.Lock()
	_, mute := e.fault("mute")
	e.mu.Unlock()
	if mute {
		return nil
	}
	body, err := json.Marshal(e.announcement(time.Now()))
	if err != nil {
		return eris.Wrap(err, "encode announcement")
	}
	r := &e.reports
	targets := slices.Concat(e.Entries[r.first:], e.Entries[:r.first], r.learned)
	if r.owner != "" {
		targets = append([]string{r.owner}, targets...)
	}
	for _, target := range targets {
		var reply engine.Reply
		if reply, err = e.post(ctx, target, body); err == nil {
			r.owner, r.first, r.learned = reply.Owner, max(0, slices.Index(e.Entries, target)), reply.Entries
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
