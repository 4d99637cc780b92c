package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
)

const (
	// exchangeInterval is the time between exchanges of membership with peers.
	exchangeInterval = 500 * time.Millisecond
	// exchangeFanout is the number of peers of one round.
	exchangeFanout = 2
)

// exchanged is the event of records that a peer sent. With a reply channel it
// answers what the peer lacks.
type exchanged struct {
	records []receivedRecord
	digest  map[string]engine.Digest
	reply   chan<- exchangeReply
}

// receivedRecord is a member that a peer sent. An engine without an announcement
// has a load report only.
type receivedRecord struct {
	engine.Member
	load   serving.Load
	events []engine.CacheEvent
}

type exchangeReply struct {
	members []engine.Member
	digest  map[string]engine.Digest
}

func (ev exchanged) apply(s *controlState, now time.Duration) bool {
	before := len(s.directory.Digest())
	for _, r := range ev.records {
		if r.Kind == engine.MemberEngine && r.Announcement == nil {
			s.directory.MergeLoadReport(now, r.Member, r.load, r.events)
			continue
		}
		s.directory.Merge(now, []engine.Member{r.Member})
	}
	if ev.reply != nil {
		ev.reply <- exchangeReply{members: s.directory.Newer(ev.digest), digest: s.directory.Digest()}
	}
	return len(s.directory.Digest()) != before
}

// contacted is the event of a call to a member that did or did not succeed.
type contacted struct {
	id string
	ok bool
}

func (ev contacted) apply(s *controlState, now time.Duration) bool {
	before := s.directory.State(now, ev.id)
	s.directory.RecordContact(now, ev.id, ev.ok)
	return s.directory.State(now, ev.id) != before
}

// beat is the event that counts one more version of this entry.
type beat struct{ leaving bool }

func (ev beat) apply(s *controlState, now time.Duration) bool {
	s.directory.Heartbeat(now, ev.leaving)
	return false
}

// sweep logs changes of state and tells whether there were any.
func (b *board) sweep() bool {
	events := b.state.directory.Sweep(b.clock.Now())
	for _, ev := range events {
		klog.V(1).InfoS("Member changed", "id", ev.Member.ID, "kind", ev.Member.Kind, "from", ev.Old, "to", ev.New)
	}
	return len(events) > 0
}

// exchangeMembership keeps the membership equal among entries.
func (e *Entry) exchangeMembership(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		e.board.send(ctx, beat{leaving: e.draining.Load()})
		for _, peer := range e.choosePeers() {
			go e.exchangeWith(ctx, peer)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// choosePeers returns some peers at random. Dead ones and the peers of the
// settings stay among them, so that parted groups find each other again.
func (e *Entry) choosePeers() []Peer {
	known := map[string]Peer{}
	for _, p := range e.Settings.Entry.Peers {
		known[string(p)] = Peer{Address: string(p)}
	}
	for _, p := range e.board.load().Entries {
		known[p.Address] = p
	}
	delete(known, string(e.Settings.Advertise))
	var peers []Peer
	for _, p := range known {
		peers = append(peers, p)
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), exchangeFanout)]
}

// exchangeWith sends the digest to a peer, takes over what it answers, and sends
// what it lacks.
func (e *Entry) exchangeWith(ctx context.Context, peer Peer) {
	ctx, cancel := context.WithTimeout(ctx, 2*exchangeInterval)
	defer cancel()
	client := schema.NewMembersProtobufClient("http://"+peer.Address, e.cluster)
	mine := e.localExchange(ctx, exchanged{})
	res, err := client.Exchange(ctx, &schema.MemberExchange{From: string(e.Settings.Host), Digest: encodeDigest(mine.digest)})
	if peer.ID != "" {
		e.board.send(ctx, contacted{id: peer.ID, ok: err == nil})
	}
	if err != nil {
		klog.V(2).InfoS("Membership exchange failed", "peer", peer.Address, "err", err)
		return
	}
	lacking := e.localExchange(ctx, exchanged{records: e.decodeMembers(res.Records), digest: decodeDigest(res.Digest)})
	if len(lacking.members) == 0 {
		return
	}
	_, err = client.Exchange(ctx, &schema.MemberExchange{From: string(e.Settings.Host), Records: e.encodeMembers(lacking.members, decodeDigest(res.Digest))})
	if err != nil {
		klog.V(2).InfoS("Sending members failed", "peer", peer.Address, "err", err)
	}
}

// localExchange passes an exchange through the control goroutine.
func (e *Entry) localExchange(ctx context.Context, ev exchanged) exchangeReply {
	reply := make(chan exchangeReply, 1)
	ev.reply = reply
	e.board.send(ctx, ev)
	select {
	case r := <-reply:
		return r
	case <-ctx.Done():
		return exchangeReply{}
	}
}

// Exchange answers a peer's exchange. A call without a digest only brings records.
func (e *Entry) Exchange(ctx context.Context, req *schema.MemberExchange) (*schema.MemberExchange, error) {
	ev := exchanged{records: e.decodeMembers(req.Records), digest: decodeDigest(req.Digest)}
	if len(req.Digest) == 0 {
		e.board.send(ctx, ev)
		return &schema.MemberExchange{}, nil
	}
	reply := e.localExchange(ctx, ev)
	return &schema.MemberExchange{
		From:    string(e.Settings.Host),
		Records: e.encodeMembers(reply.members, ev.digest),
		Digest:  encodeDigest(reply.digest),
	}, nil
}

func encodeDigest(digest map[string]engine.Digest) []*schema.MemberDigest {
	var all []*schema.MemberDigest
	for id, d := range digest {
		all = append(all, &schema.MemberDigest{Id: id, Incarnation: uint64(d.Incarnation), Version: d.Version, Described: d.DescriptionVersion})
	}
	return all
}

func decodeDigest(all []*schema.MemberDigest) map[string]engine.Digest {
	digest := map[string]engine.Digest{}
	for _, d := range all {
		digest[d.Id] = engine.Digest{Incarnation: serving.Incarnation(d.Incarnation), Version: d.Version, DescriptionVersion: d.Described}
	}
	return digest
}

// encodeMembers encodes members for a peer with a digest. The announcement of an
// engine is left out if the peer has it already.
func (e *Entry) encodeMembers(members []engine.Member, digest map[string]engine.Digest) []*schema.MemberRecord {
	now := e.Clock.Now()
	var records []*schema.MemberRecord
	for _, m := range members {
		r := &schema.MemberRecord{
			Id: m.ID, Kind: string(m.Kind), Address: m.Address,
			DataCentre: string(m.DataCentre), Region: string(m.Region),
			Incarnation: uint64(m.Incarnation), Version: m.Version,
			AgeMs: (now - m.LastSeen).Milliseconds(),
		}
		if m.Leaving {
			r.State = string(engine.StateLeaving)
		}
		if m.Announcement != nil {
			encodeReport(r, &m)
			if known := digest[m.ID]; known.Incarnation != m.Incarnation || known.DescriptionVersion != m.DescriptionVersion {
				r.Announcement, _ = json.Marshal(m.Announcement)
			}
		}
		records = append(records, r)
	}
	return records
}

// decodeMembers skips records that cannot be decoded, so that one bad record
// does not hide the others.
func (e *Entry) decodeMembers(records []*schema.MemberRecord) []receivedRecord {
	now := e.Clock.Now()
	var members []receivedRecord
	for _, r := range records {
		m := receivedRecord{Member: engine.Member{
			DescriptionVersion: r.Described,
			ID:                 r.Id, Kind: engine.MemberKind(r.Kind), Address: r.Address,
			DataCentre: serving.DataCentreID(r.DataCentre), Region: serving.RegionID(r.Region),
			Incarnation: serving.Incarnation(r.Incarnation), Version: r.Version,
			Leaving:  r.State == string(engine.StateLeaving),
			LastSeen: now - time.Duration(max(r.AgeMs, 0))*time.Millisecond,
		}}
		m.load, m.events = decodeReport(r)
		if m.Kind == engine.MemberEngine && len(r.Announcement) > 0 {
			a, err := engine.DecodeAnnouncement(r.Announcement)
			if err != nil {
				klog.V(2).InfoS("Member record refused", "id", r.Id, "err", err)
				continue
			}
			m.Announcement = a
		}
		members = append(members, m)
	}
	return slices.Clip(members)
}

func encodeReport(r *schema.MemberRecord, m *engine.Member) {
	l := m.Announcement.Load
	r.Described = m.DescriptionVersion
	r.Load = &schema.EngineLoad{
		Running: int64(l.Running), Queued: int64(l.Queued), BlocksUsed: int64(l.BlocksUsed), StepMs: float32(l.StepMS),
		Preemptions: l.Preemptions, TokensOut: int64(l.TokensOut), AsOfMs: l.AsOfMS,
	}
	for _, ev := range m.Announcement.CacheEvents {
		prefix, _ := strconv.ParseUint(ev.Prefix, 16, 64)
		r.CacheEvents = append(r.CacheEvents, &schema.EngineCacheEvent{Seq: ev.Seq, Op: ev.Op, Prefix: prefix})
	}
}

func decodeReport(r *schema.MemberRecord) (serving.Load, []engine.CacheEvent) {
	l := r.GetLoad()
	load := serving.Load{
		Running: serving.Slots(l.GetRunning()), Queued: serving.Slots(l.GetQueued()), BlocksUsed: serving.Blocks(l.GetBlocksUsed()),
		StepMS: float64(l.GetStepMs()), Preemptions: l.GetPreemptions(), TokensOut: serving.Tokens(l.GetTokensOut()), AsOfMS: l.GetAsOfMs(),
	}
	var events []engine.CacheEvent
	for _, ev := range r.GetCacheEvents() {
		events = append(events, engine.CacheEvent{Seq: ev.GetSeq(), Op: ev.GetOp(), Prefix: strconv.FormatUint(ev.GetPrefix(), 16)})
	}
	return load, events
}
