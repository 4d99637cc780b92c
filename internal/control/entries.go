package control

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

const (
	// entryTimeout is the time without polls after which an entry is removed from
	// the list. An entry polls every 500 ms.
	entryTimeout = 3 * time.Second
	// entryCheckInterval is the time between comparisons of the list with the
	// polls.
	entryCheckInterval = 250 * time.Millisecond
)

// entryPolls tracks which entries poll this replica and derives the entry list from
// their polls.
type entryPolls struct {
	mu    sync.Mutex
	polls map[string]entryPoll
	// leadingSince is the time at which this replica became leader. It is valid
	// while leading is true.
	leadingSince time.Duration
	leading      bool
}

type entryPoll struct {
	entry      *schema.ListedEntry
	receivedAt time.Duration
}

// record stores the poll of an entry, or removes an entry that is leaving.
func (p *entryPolls) record(now time.Duration, r *schema.ViewRequest) {
	if r.GetEntry() == "" || r.GetAddress() == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.polls == nil {
		p.polls = map[string]entryPoll{}
	}
	if r.GetLeaving() {
		delete(p.polls, r.GetEntry())
		return
	}
	p.polls[r.GetEntry()] = entryPoll{receivedAt: now, entry: &schema.ListedEntry{
		Host: r.GetEntry(), Address: r.GetAddress(), DataCentre: r.GetDataCentre(),
		Region: r.GetRegion(), Incarnation: r.GetIncarnation(),
	}}
}

// updatedList returns the list that should replace the current one. It returns nil
// if the list needs no change, if the new list would be empty or if this replica is
// not the leader. In its first entryTimeout as leader a replica removes no entry,
// because some may not have polled it yet.
func (p *entryPolls) updatedList(now time.Duration, leader bool, current *schema.EntryList) []*schema.ListedEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	if leader && !p.leading {
		p.leadingSince = now
	}
	p.leading = leader
	if !leader {
		return nil
	}
	list := map[string]*schema.ListedEntry{}
	if now-p.leadingSince < entryTimeout {
		for _, e := range current.GetEntries() {
			list[e.GetHost()] = e
		}
	}
	for host, poll := range p.polls {
		if now-poll.receivedAt > entryTimeout {
			delete(p.polls, host)
			continue
		}
		list[host] = poll.entry
	}
	if sameEntries(list, current.GetEntries()) {
		return nil
	}
	return slices.Collect(maps.Values(list))
}

func sameEntries(list map[string]*schema.ListedEntry, current []*schema.ListedEntry) bool {
	if len(list) != len(current) {
		return false
	}
	for _, e := range current {
		if !proto.Equal(list[e.GetHost()], e) {
			return false
		}
	}
	return true
}

// maintainEntries updates the entry list from the polls while this replica is the
// leader.
func (s *Server) maintainEntries(ctx context.Context) {
	ticker := time.NewTicker(entryCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		_, leader := s.Log.Leader()
		current := s.Machine.Entries()
		list := s.polls.updatedList(s.Clock.Now(), leader, current)
		if list == nil {
			continue
		}
		s.setEntries(ctx, &schema.SetEntries{ExpectedEpoch: current.GetEpoch(), Entries: list})
	}
}

func (s *Server) setEntries(ctx context.Context, c *schema.SetEntries) {
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	res, err := s.propose(ctx, &schema.Command{Body: &schema.Command_SetEntries{SetEntries: c}})
	if err != nil && serving.KindOf(err) != serving.KindNotLeader {
		klog.InfoS("Entry list not changed", "err", err)
		return
	}
	klog.InfoS("Entry list changed", "entries", len(c.GetEntries()), "outcome", res.GetChange().GetOutcome(), "epoch", res.GetChange().GetRevision())
}
