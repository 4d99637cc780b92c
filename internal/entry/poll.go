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

// hedgesPerPoll is the number of parts of a poll interval. After each part without a
// fresh answer, the next source is polled as well, because a frozen replica accepts
// connections but never answers.
const hedgesPerPoll = 4

// pollAnswer is the result of polling one source.
type pollAnswer struct {
	source string
	// age is the age of the view according to the source.
	age time.Duration
	err error
}

// pollViews polls the configuration view until ctx ends.
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

// pollOnce polls the sources in turn, starting with the one that last answered in time,
// until one returns or confirms a view that is no older than a poll interval. It does not
// wait for a source that does not answer before it asks the next.
func (e *Entry) pollOnce(ctx context.Context) {
	interval := e.Settings.Entry.ViewPoll.Duration
	ctx, cancel := context.WithTimeout(ctx, interval)
	defer cancel()
	round := &pollRound{entry: e, sources: e.pollSources(), asked: map[string]bool{}}
	round.answers = make(chan pollAnswer, len(round.sources)+maxLeaderHints)
	round.askNext(ctx)
	hedge := time.NewTicker(interval / hedgesPerPoll)
	defer hedge.Stop()
	for round.waiting > 0 {
		select {
		case <-hedge.C:
			round.askNext(ctx)
		case a := <-round.answers:
			round.waiting--
			if a.err == nil && a.age <= interval {
				e.viewSource = a.source
				return
			}
			round.askHintOrNext(ctx, a.err)
		}
	}
	if ctx.Err() == nil {
		klog.V(1).InfoS("No source answered the poll with a fresh view", "asked", len(round.asked))
	}
}

// pollRound is the state of one poll.
type pollRound struct {
	entry   *Entry
	sources []string
	asked   map[string]bool
	answers chan pollAnswer
	waiting int
	// hints counts the leader hints that were followed.
	hints int
}

// askNext polls the next source that has not been asked in this round.
func (r *pollRound) askNext(ctx context.Context) {
	for len(r.sources) > 0 && ctx.Err() == nil {
		source := r.sources[0]
		r.sources = r.sources[1:]
		if r.ask(ctx, source) {
			return
		}
	}
}

// ask starts a poll of one source. It returns false if the source was asked before.
func (r *pollRound) ask(ctx context.Context, source string) bool {
	if r.asked[source] {
		return false
	}
	r.asked[source] = true
	r.waiting++
	go func() { r.answers <- r.entry.pollFrom(ctx, source) }()
	return true
}

// askHintOrNext polls the leader that err names. Without such a hint it polls the next
// source if no other poll is pending.
func (r *pollRound) askHintOrNext(ctx context.Context, err error) {
	if hint := leaderHint(err); hint != "" && r.hints < maxLeaderHints {
		r.hints++
		if r.ask(ctx, hint) {
			return
		}
	}
	if r.waiting == 0 {
		r.askNext(ctx)
	}
}

// maxLeaderHints bounds the leader hints that one poll follows.
const maxLeaderHints = 2

// leaderHint returns the leader's address from a not-leader error, or "".
func leaderHint(err error) string {
	if err == nil || serving.KindOf(err) != serving.KindNotLeader {
		return ""
	}
	return serving.AsError(err).Detail
}

// pollSources returns the sources of a poll: the one that last answered in time, the
// control replicas, and the other entries.
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

// update returns the configuration after an answer. v is nil before the first answer.
func (v *View) update(c *schema.ConfigView) (*registry.View, error) {
	if v == nil {
		return registry.NewView(c)
	}
	return v.Update(c)
}

// pollFrom polls one source and passes the view to the control goroutine.
func (e *Entry) pollFrom(ctx context.Context, source string) pollAnswer {
	sentAt := e.Clock.Now()
	req := &schema.ViewRequest{
		Entry: string(e.Settings.Host), Address: string(e.Settings.Advertise),
		DataCentre: string(e.Settings.DataCentre), Region: string(e.Settings.Region),
		Incarnation: strconv.FormatUint(uint64(e.incarnation), 10), Leaving: e.draining.Load(),
	}
	b := e.board.load()
	if b.OwnerCandidates != nil {
		req.EntriesEpoch = b.OwnerCandidates.Epoch
	}
	current := b.View
	if current != nil {
		req.HaveRevision = uint64(current.Revision())
		req.ConfigRevision = req.HaveRevision
	}
	res, err := schema.NewViewsProtobufClient("http://"+source, e.cluster).GetView(ctx, req)
	if err != nil {
		klog.V(2).InfoS("View poll failed", "source", source, "err", err)
		return pollAnswer{source: source, err: rpc.FromTwirp(err)}
	}
	age := time.Duration(max(res.AgeMs, 0)) * time.Millisecond
	ev := viewReceived{revision: serving.Revision(res.Revision), confirmedAt: sentAt - age, entryList: res.Entries}
	if !res.Unchanged {
		if ev.view, err = current.update(res.Config); err != nil {
			klog.ErrorS(err, "Configuration refused", "source", source, "revision", res.Revision)
			return pollAnswer{source: source, err: err}
		}
	}
	e.board.send(ctx, ev)
	return pollAnswer{source: source, age: age}
}

// keyTransport adds the cluster key to every request.
type keyTransport struct {
	key  string
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t keyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	c := r.Clone(r.Context())
	c.Header.Set("Authorization", "Bearer "+t.key)
	return t.next.RoundTrip(c)
}
