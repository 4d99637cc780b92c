package entry

import (
	"context"
	"crypto/sha256"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
)

// View is a configuration at one revision, and when the leader confirmed it.
type View struct {
	Config *schema.ConfigView
	// ConfirmedAt is the time at which the request was sent whose answer brought
	// or confirmed the view, less the age that the answerer gave.
	ConfirmedAt time.Duration
	accounts    map[[sha256.Size]byte]serving.ClientAccountID
	names       map[objectName]string
	out         map[string]bool
}

type objectName struct {
	kind schema.ObjectKind
	name string
}

// newView indexes a configuration.
func newView(c *schema.ConfigView, confirmedAt time.Duration) *View {
	v := &View{
		Config:      c,
		ConfirmedAt: confirmedAt,
		accounts:    map[[sha256.Size]byte]serving.ClientAccountID{},
		names:       map[objectName]string{},
		out:         map[string]bool{},
	}
	for _, o := range c.Objects {
		v.names[objectName{o.Kind, o.Id}] = o.Id
		v.out[o.Id] = v.out[o.Id] || o.GetDataCentre().GetOut()
		if o.GetClientAccount().GetOperator() {
			continue
		}
		for _, hash := range o.GetClientAccount().GetKeyHashes() {
			if len(hash) != sha256.Size {
				continue
			}
			v.accounts[[sha256.Size]byte(hash)] = serving.ClientAccountID(o.Id)
		}
	}
	for _, a := range c.Aliases {
		v.names[objectName{a.Kind, a.Name}] = a.Target
	}
	return v
}

// resolve returns the canonical id of a name from any naming scheme.
func (v *View) resolve(kind schema.ObjectKind, name string) (string, bool) {
	id, ok := v.names[objectName{kind, name}]
	return id, ok
}

// viewReceived is the event of a view that was brought or confirmed.
type viewReceived struct {
	view *View
	// confirms is the revision that an answer without configuration confirms.
	confirms uint64
	at       time.Duration
	// list is the entry list if it changed.
	list *schema.EntryList
}

func (ev viewReceived) apply(b *controlState, _ time.Duration) bool {
	if ev.list != nil && (b.Owners == nil || ev.list.Epoch > b.Owners.Epoch) {
		b.Owners = decodeEntryList(ev.list)
	}
	if ev.view == nil {
		if b.View == nil || b.View.Config.Revision != ev.confirms || ev.at <= b.View.ConfirmedAt {
			return false
		}
		c := *b.View
		c.ConfirmedAt = ev.at
		b.View = &c
		return true
	}
	if b.View != nil && ev.view.Config.Revision < b.View.Config.Revision {
		return false // A view never goes back.
	}
	b.View = ev.view
	return true
}

func decodeEntryList(l *schema.EntryList) *OwnerList {
	list := &OwnerList{Epoch: l.Epoch}
	for _, e := range l.Entries {
		list.Entries = append(list.Entries, engine.Entry{
			Host: serving.HostID(e.Host), Address: e.Address,
			DataCentre: serving.DataCentreID(e.DataCentre), Region: serving.RegionID(e.Region),
		})
	}
	return list
}

func encodeEntryList(l *OwnerList) *schema.EntryList {
	list := &schema.EntryList{Epoch: l.Epoch}
	for _, e := range l.Entries {
		list.Entries = append(list.Entries, &schema.ListedEntry{
			Host: string(e.Host), Address: e.Address, DataCentre: string(e.DataCentre), Region: string(e.Region),
		})
	}
	return list
}

// viewFresh tells whether new work may start under the view of a snapshot.
func (e *Entry) viewFresh(b *Blackboard) bool {
	if b.View == nil {
		return false
	}
	cfg := e.Settings.Entry
	return e.Clock.Now()-b.View.ConfirmedAt <= cfg.ViewLease.Duration || cfg.OnExpiredView == "serve"
}

// pollViews asks control replicas, and other entries if none answers, for the configuration.
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

func (e *Entry) pollOnce(ctx context.Context) {
	sources := append(append([]string{}, e.controlAddresses()...), e.entryAddresses()[1:]...)
	for i := range sources {
		n := (e.viewSource + i) % len(sources)
		if err := e.pollFrom(ctx, sources[n]); err == nil {
			e.viewSource = n
			return
		} else if ctx.Err() == nil {
			klog.V(2).InfoS("View poll failed", "source", sources[n], "err", err)
		}
	}
	klog.InfoS("No source answered the view poll", "sources", len(sources))
}

func (e *Entry) controlAddresses() []string {
	var all []string
	for _, a := range e.Settings.Entry.Control {
		all = append(all, string(a))
	}
	return all
}

// pollFrom asks one source; it bounds the wait so that a silent source leaves time for others.
func (e *Entry) pollFrom(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, e.Settings.Entry.ViewPoll.Duration)
	defer cancel()
	sentAt := e.Clock.Now()
	req := &schema.ViewRequest{
		Entry: string(e.Settings.Host), Address: string(e.Settings.Advertise),
		DataCentre: string(e.Settings.DataCentre), Region: string(e.Settings.Region),
		Incarnation: strconv.FormatUint(uint64(e.incarnation), 10), Leaving: e.draining.Load(),
	}
	b := e.board.load()
	if b.View != nil {
		req.HaveRevision = b.View.Config.Revision
	}
	if b.Owners != nil {
		req.EntriesEpoch = b.Owners.Epoch
	}
	res, err := schema.NewViewsProtobufClient("http://"+address, e.clusterClient).GetView(ctx, req)
	if err != nil {
		return err
	}
	confirmedAt := sentAt - time.Duration(res.AgeMs)*time.Millisecond
	if res.Unchanged {
		e.board.send(ctx, viewReceived{confirms: res.Revision, at: confirmedAt, list: res.Entries})
		return nil
	}
	e.board.send(ctx, viewReceived{view: newView(res.Config, confirmedAt), list: res.Entries})
	return nil
}

// GetView gives this entry's view, with its age, to another entry.
func (e *Entry) GetView(_ context.Context, req *schema.ViewRequest) (*schema.ViewResult, error) {
	b := e.board.load()
	if b.View == nil || b.View.Config.Revision < req.HaveRevision || !e.viewFresh(b) {
		return nil, serving.NewError(serving.KindViewExpired, "this entry has no view that is new enough")
	}
	age := e.Clock.Now() - b.View.ConfirmedAt
	res := &schema.ViewResult{Revision: b.View.Config.Revision, AgeMs: age.Milliseconds() + 1}
	if res.Unchanged = res.Revision == req.HaveRevision; !res.Unchanged {
		res.Config = b.View.Config
	}
	if b.Owners != nil && b.Owners.Epoch != req.EntriesEpoch {
		res.Entries = encodeEntryList(b.Owners)
	}
	return res, nil
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
