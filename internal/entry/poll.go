package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/internal/rpc"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/registry"
)

// hedgeFraction is the part of the poll interval after which the next source is
// asked as well: a frozen replica accepts connections but never answers.
const hedgeFraction = 4

// pollAnswer is one source's answer to a poll.
type pollAnswer struct {
	source string
	age    time.Duration
	err    error
}

// pollViews asks for the configuration until ctx ends.
func (e *Entry) pollViews(ctx context.Context) {
	ticker := time.NewTicker(e.Settings.Entry.ViewPoll.Duration)
	defer ticker.Stop()
	for {
		e.pollOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// pollOnce asks the sources one after the other, the one that answered last
// first, until an answer is no older than a poll interval. It does not wait for
// a silent source before it asks the next.
func (e *Entry) pollOnce(ctx context.Context) {
	interval := e.Settings.Entry.ViewPoll.Duration
	ctx, cancel := context.WithTimeout(ctx, interval)
	defer cancel()
	round := &pollRound{entry: e, sources: e.pollSources(), asked: map[string]bool{}}
	round.answers = make(chan pollAnswer, len(round.sources)+maxLeaderHints)
	round.next(ctx)
	hedge := time.NewTicker(interval / hedgeFraction)
	defer hedge.Stop()
	for round.waiting > 0 {
		select {
		case <-hedge.C:
			round.next(ctx)
		case a := <-round.answers:
			round.waiting--
			if a.err == nil && a.age <= interval {
				e.viewSource = a.source
				return
			}
			round.follow(ctx, a.err)
		}
	}
	if ctx.Err() == nil {
		klog.V(1).InfoS("No source brought a fresh view", "asked", len(round.asked))
	}
}

// pollRound is the state of one poll.
type pollRound struct {
	entry   *Entry
	sources []string
	asked   map[string]bool
	answers chan pollAnswer
	waiting int
	hints   int
}

// next asks the next source that was not asked yet.
func (r *pollRound) next(ctx context.Context) {
	for len(r.sources) > 0 && ctx.Err() == nil {
		source := r.sources[0]
		r.sources = r.sources[1:]
		if r.ask(ctx, source) {
			return
		}
	}
}

func (r *pollRound) ask(ctx context.Context, source string) bool {
	if r.asked[source] {
		return false
	}
	r.asked[source] = true
	r.waiting++
	go func() { r.answers <- r.entry.pollFrom(ctx, source) }()
	return true
}

// follow asks the leader that a refusal names, or else the next source.
func (r *pollRound) follow(ctx context.Context, err error) {
	if hint := leaderHint(err); hint != "" && r.hints < maxLeaderHints {
		r.hints++
		if r.ask(ctx, hint) {
			return
		}
	}
	if r.waiting == 0 {
		r.next(ctx)
	}
}

// maxLeaderHints bounds the leader hints that one poll follows.
const maxLeaderHints = 2

// leaderHint returns the leader's address that a refusal names.
func leaderHint(err error) string {
	if err == nil || serving.KindOf(err) != serving.KindNotLeader {
		return ""
	}
	return serving.AsError(err).Detail
}

// pollSources lists the sources of a poll, the one that answered last first.
func (e *Entry) pollSources() []string {
	var all []string
	if e.viewSource != "" {
		all = append(all, e.viewSource)
	}
	all = append(all, e.controlAddresses()...)
	return append(all, e.entryAddresses()[1:]...)
}

func (e *Entry) controlAddresses() []string {
	var all []string
	for _, a := range e.Settings.Entry.Control {
		all = append(all, string(a))
	}
	return all
}

// update returns the configuration after an answer; v is nil before the first one.
func (v *View) update(c *schema.ConfigView) (*registry.View, error) {
	if v == nil {
		return registry.NewView(c)
	}
	return v.Update(c)
}

// pollFrom asks one source.
func (e *Entry) pollFrom(ctx context.Context, source string) pollAnswer {
	sentAt := e.Clock.Now()
	req := &schema.ViewRequest{
		Entry: string(e.Settings.Host), Address: string(e.Settings.Advertise),
		DataCentre: string(e.Settings.DataCentre), Region: string(e.Settings.Region),
		Incarnation: strconv.FormatUint(uint64(e.incarnation), 10), Leaving: e.draining.Load(),
	}
	b := e.board.load()
	if b.Owners != nil {
		req.EntriesEpoch = b.Owners.Epoch
	}
	held := b.View
	if held != nil {
		req.HaveRevision = uint64(held.Revision())
		req.ConfigRevision = req.HaveRevision
	}
	res, err := schema.NewViewsProtobufClient("http://"+source, e.cluster).GetView(ctx, req)
	if err != nil {
		klog.V(2).InfoS("View poll failed", "source", source, "err", err)
		return pollAnswer{source: source, err: rpc.FromTwirp(err)}
	}
	age := time.Duration(max(res.AgeMs, 0)) * time.Millisecond
	ev := viewReceived{revision: serving.Revision(res.Revision), at: sentAt - age, list: res.Entries}
	if !res.Unchanged {
		if ev.view, err = held.update(res.Config); err != nil {
			klog.ErrorS(err, "Configuration refused", "source", source, "revision", res.Revision)
			return pollAnswer{source: source, err: err}
		}
	}
	e.board.send(ctx, ev)
	return pollAnswer{source: source, age: age}
}

// keyTransport adds a key to every request.
type keyTransport struct {
	key  string
	next http.RoundTripper
}

// RoundTrip sends the request with the key.
func (t keyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	c := r.Clone(r.Context())
	c.Header.Set("Authorization", "Bearer "+t.key)
	return t.next.RoundTrip(c)
}
