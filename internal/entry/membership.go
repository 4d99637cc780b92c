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
	// exchangeInterval is the interval between rounds of membership exchange.
	exchangeInterval = 500 * time.Millisecond
	// exchangeFanout is the number of peers that each round exchanges with.
	exchangeFanout = 2
)

// exchangeReceived is the event that delivers a peer's digest, that is, the versions of
// the records that it has, and new records from it. If reply is not nil, the members
// that are newer than the digest are sent to it.
type exchangeReceived struct {
	records []receivedRecord
	digest  map[string]engine.Digest
	reply   chan<- exchangeReply
}

// receivedRecord is a member record from a peer. An engine's record that has no
// announcement contains only a load report and cache events.
type receivedRecord struct {
	engine.Member
	load   serving.Load
	events []engine.CacheEvent
}

// exchangeReply has the members that a peer lacks and this entry's digest.
type exchangeReply struct {
	members []engine.Member
	digest  map[string]engine.Digest
}

func (ev exchangeReceived) apply(s *controlState, now time.Duration) bool {
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

// contactFinished is the event that reports whether a call to another entry succeeded.
type contactFinished struct {
	id string
	ok bool
}

func (ev contactFinished) apply(s *controlState, now time.Duration) bool {
	before := s.directory.State(now, ev.id)
	s.directory.RecordContact(now, ev.id, ev.ok)
	return s.directory.State(now, ev.id) != before
}

// heartbeat is the event that increments the version of this entry's own record.
type heartbeat struct{ leaving bool }

func (ev heartbeat) apply(s *controlState, now time.Duration) bool {
	s.directory.Heartbeat(now, ev.leaving)
	return false
}

// sweep updates the states of members by their age, logs the changes, and reports
// whether there were any.
func (b *board) sweep() bool {
	events := b.state.directory.Sweep(b.clock.Now())
	for _, ev := range events {
		klog.V(1).InfoS("Member changed state", "id", ev.Member.ID, "kind", ev.Member.Kind, "from", ev.Old, "to", ev.New)
	}
	return len(events) > 0
}

// exchangeMembership exchanges membership records with random peers until ctx ends.
func (e *Entry) exchangeMembership(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		e.board.send(ctx, heartbeat{leaving: e.draining.Load()})
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

// choosePeers returns up to exchangeFanout random peers. Dead peers and the configured
// peers are among the candidates, so that the groups of a healed network partition find
// each other again.
func (e *Entry) choosePeers() []Peer {
	known := map[string]Peer{}
	for _, p := range e.Settings.Entry.Peers {
		known[string(p)] = Peer{Address: string(p)}
	}
	for _, p := range e.board.load().Peers {
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

// exchangeWith sends the digest to a peer, applies the records in the answer, and sends
// the records that the peer lacks.
func (e *Entry) exchangeWith(ctx context.Context, peer Peer) {
	ctx, cancel := context.WithTimeout(ctx, 2*exchangeInterval)
	defer cancel()
	client := schema.NewMembersProtobufClient("http://"+peer.Address, e.cluster)
	local := e.applyExchange(ctx, exchangeReceived{})
	res, err := client.Exchange(ctx, e.prompts.encode(&schema.MemberExchange{From: string(e.Settings.Host), Digest: encodeDigest(local.digest)}))
	if peer.ID != "" {
		e.board.send(ctx, contactFinished{id: peer.ID, ok: err == nil})
	}
	if err != nil {
		klog.V(2).InfoS("Membership exchange failed", "peer", peer.Address, "err", err)
		return
	}
	e.prompts.merge(res)
	reply := e.applyExchange(ctx, exchangeReceived{records: e.decodeMembers(res.Records), digest: decodeDigest(res.Digest)})
	if len(reply.members) == 0 {
		return
	}
	_, err = client.Exchange(ctx, &schema.MemberExchange{From: string(e.Settings.Host), Records: e.encodeMembers(reply.members, decodeDigest(res.Digest))})
	if err != nil {
		klog.V(2).InfoS("Sending member records failed", "peer", peer.Address, "err", err)
	}
}

// applyExchange applies an exchange in the control goroutine and returns its reply, or
// an empty one if ctx ends before.
func (e *Entry) applyExchange(ctx context.Context, ev exchangeReceived) exchangeReply {
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

// Exchange implements schema.Members. A call without a digest only delivers records.
func (e *Entry) Exchange(ctx context.Context, req *schema.MemberExchange) (*schema.MemberExchange, error) {
	e.prompts.merge(req)
	ev := exchangeReceived{records: e.decodeMembers(req.Records), digest: decodeDigest(req.Digest)}
	if len(req.Digest) == 0 {
		e.board.send(ctx, ev)
		return &schema.MemberExchange{}, nil
	}
	reply := e.applyExchange(ctx, ev)
	return e.prompts.encode(&schema.MemberExchange{
		From:    string(e.Settings.Host),
		Records: e.encodeMembers(reply.members, ev.digest),
		Digest:  encodeDigest(reply.digest),
	}), nil
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

// encodeMembers encodes members for a peer with the given digest. It omits an engine's
// announcement, except for the load report, if the peer has it already.
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

// decodeMembers decodes the records of a peer. It skips records that cannot be decoded,
// so that one bad record does not suppress the others.
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
				klog.V(2).InfoS("Ignoring member record with invalid announcement", "id", r.Id, "err", err)
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
