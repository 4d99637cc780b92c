package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/placement"
	"turmericdrum.org/turmericdrum/pkg/serving/rollout"
)

const (
	// softwareRefresh is how long the engines that calls may get are used before they are
	// determined again.
	softwareRefresh = 50 * time.Millisecond
	// countsInterval is the time between two reports of counts, and countsIntervalPerEntry
	// what it is longer for each entry, so that hubs with many entries forward fewer reports.
	countsInterval         = 250 * time.Millisecond
	countsIntervalPerEntry = 500 * time.Microsecond
	// minCountedKeys is the number of keys with an engine that an entry counts at least, and
	// sharedCountedKeys the number for all entries together. Hubs keep the counts of all entries.
	minCountedKeys    = 48
	sharedCountedKeys = 1 << 16
	// keptKeys is the part of rollout.MaxKeys that is kept for counts of groups of engines.
	keptKeys = 512
	// moveWindow is the time after which the plan of the moves from an engine of the old
	// version begins anew. Plans assume that the engine ends.
	moveWindow = 1800 * time.Millisecond
	// endedVersion is the number of calls in a row that don't reach the old version after which an
	// entry without a lease uses both versions in the cutover: the rollout was completed, and the
	// old engines have stopped.
	endedVersion = 3
	// moveBefore is how long before the end of a rollout streams begin to leave the old version.
	// 24 streams of 3,000 tokens and 330 KB for each token take about 4 s on a link of 47 Gbit/s.
	// The earlier ones would mostly end before.
	moveBefore = 6 * time.Second
)

// Exposure enables rollouts and bounds the calls that a version in test may get.
type Exposure struct {
	Enabled bool
	// Share is the largest share of the calls of a service, Allowance the number of calls
	// beyond it over all entries.
	Share, Allowance float64
}

// rollouts holds the rollouts that this entry knows. mu of the blackboard guards it.
type rollouts struct {
	exposure Exposure
	started  time.Duration
	// confirmed is set once a hub with a current state has answered. revision is that of the
	// rollouts.
	confirmed bool
	revision  uint64
	lease     rollout.Lease
	services  map[serving.ServiceID]*serviceRollout
	// reportedTo is the incarnation of the hub that has all counts but the changed ones.
	reportedTo uint64
}

// serviceRollout is the rollout of one service at this entry.
type serviceRollout struct {
	// Rollout is the state as of the time updatedAt.
	rollout.Rollout
	id        uint64
	updatedAt time.Duration
	quota     rollout.Quota
	brake     rollout.Brake
	evidence  rollout.Evidence
	// changed holds the keys whose counts the hub does not have.
	changed    map[rollout.Key]bool
	sequence   uint64
	reportedAt time.Duration

	// usual restricts the engines of most calls, test those of the calls that the canary gets,
	// and comparison those of the calls that the old version gets in the cutover.
	usual, test, comparison placement.Software
	refreshedAt             time.Duration
	// mayUse is whether this entry may use the version in test.
	mayUse bool
	// newEngines is the number of usable engines of the new version.
	newEngines int
	// oldUnreachable counts the calls in a row that did not reach an engine of another version.
	oldUnreachable int
}

// at returns the state of the rollout at a time.
func (s *serviceRollout) at(now time.Duration) rollout.Rollout {
	r := s.Rollout
	if r.Phase.InProgress() {
		r.Elapsed += max(0, now-s.updatedAt)
	}
	return r
}

// restrict sets the restriction of the engines of a call that is placed now. A call for
// comparison keeps its own until endComparison. The caller holds mu of the blackboard.
func (b *blackboard) restrict(now time.Duration, need *placement.Need) {
	s := b.rollouts.services[need.Service.ID]
	if s == nil {
		need.Software = nil
		return
	}
	s.refresh(now, b)
	if need.Software != &s.comparison || s.Phase != rollout.Cutover {
		need.Software = &s.usual
	}
}

// endComparison ends the restriction of a call for comparison, for which no engine has room. It
// returns false if the call was none.
func (b *blackboard) endComparison(need *placement.Need) bool {
	s := b.rollouts.services[need.Service.ID]
	if s == nil || need.Software != &s.comparison {
		return false
	}
	need.Software = nil
	return true
}

// refresh determines the engines that calls may get, if the lease or the brake has changed or
// softwareRefresh is over.
func (s *serviceRollout) refresh(now time.Duration, b *blackboard) {
	mayUse := b.rollouts.lease.Valid(now) && !s.brake.Engaged()
	if mayUse == s.mayUse && now < s.refreshedAt+softwareRefresh && s.refreshedAt > 0 {
		return
	}
	if mayUse != s.mayUse && s.Phase.InProgress() {
		klog.InfoS("Use of the version in test changed", "service", s.Service, "to", s.To, "phase", s.Phase, "allowed", mayUse,
			"lease", b.rollouts.lease.Valid(now), "brake", s.brake.Engaged())
	}
	s.mayUse, s.refreshedAt = mayUse, now
	of, others := b.pool.ByVersion(s.Service, s.To)
	s.newEngines = len(of)
	s.comparison = placement.Software{Not: s.To}
	if s.Phase == rollout.Canary || s.Phase == rollout.LoadTest {
		s.test = placement.Software{Only: s.To, Among: map[serving.EngineID]bool{}}
		for _, id := range rollout.CanarySubset(of, rollout.CanarySize(len(of), others, b.rollouts.exposure.Share)) {
			s.test.Among[id] = true
		}
	}
	onlyNew, notNew := placement.Software{Only: s.To}, placement.Software{Not: s.To}
	s.usual = placement.Software{}
	switch {
	case s.Phase == rollout.Canary || s.Phase == rollout.LoadTest:
		s.usual = notNew
	case s.Phase == rollout.Cutover && mayUse && len(of) > 0:
		s.usual = onlyNew
	case s.Phase == rollout.Cutover && others > 0 && s.oldUnreachable < endedVersion:
		s.usual = notNew
	case s.Phase == rollout.Completed && len(of) > 0:
		s.usual = onlyNew
	case s.Phase == rollout.Reverted && others > 0:
		s.usual = notNew
	}
}

// placeInRollout chooses the version for a call to a service with a rollout in progress. It
// claims an engine for a call of the canary. For all others it returns nil, and the call is
// placed as usual, in the cutover partly at the old version for comparison. repeated is set if
// the call was sent to an engine before.
func (j *job) placeInRollout(need *placement.Need, repeated bool) *placement.Ticket {
	b := &j.g.board
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.rollouts.services[need.Service.ID]
	if s == nil || !s.Phase.InProgress() || repeated {
		return nil
	}
	now := j.g.Clock.Now()
	s.refresh(now, b)
	state := s.at(now)
	allowed := s.mayUse && s.newEngines > 0 && s.quota.Allows(&state, repeated)
	if s.Phase == rollout.Cutover {
		if s.mayUse && !allowed {
			need.Software = &s.comparison
		}
		// Counted before the call is placed, so that concurrent calls are spread.
		s.quota.CountSent(allowed, repeated)
		j.counted = true
		return nil
	}
	if !allowed {
		if s.newEngines > 0 {
			rolloutCallsWithheld.Add(1)
		}
		return nil
	}
	need.Software = &s.test
	ticket, err := b.pool.Place(now, need)
	if err != nil {
		return nil
	}
	// Counted at once, so that concurrent calls don't use the same part of the quota.
	s.quota.CountSent(true, repeated)
	j.counted = true
	return ticket
}

// attemptRecord counts one call at one engine. The zero value counts nothing.
type attemptRecord struct {
	s   *serviceRollout
	key rollout.Key
	// cold is set if the engine was cold, so that the outcome says nothing of the version.
	cold bool
}

// beginAttempt counts a call that is sent to the engine of a ticket in the rollout of its
// service. Outcomes count for first attempts only; repeated is set for others, which count in
// the quota. The caller holds mu of the blackboard.
func (j *job) beginAttempt(t *placement.Ticket, repeated bool) {
	b := &j.g.board
	counted := j.counted
	j.record, j.counted = attemptRecord{}, false
	s := b.rollouts.services[j.Service.ID]
	if s == nil || !s.Phase.InProgress() {
		return
	}
	now := j.g.Clock.Now()
	isNew := t.Version == s.To
	if !counted {
		s.quota.CountSent(isNew, repeated)
	}
	// What engines have cached of the prompt isn't known for calls whose engine the hub chose.
	key := rollout.Key{Route: j.Route.Name, Slice: s.at(now).Slice(), Class: rollout.ClassOf(j.PromptTokens)}
	if isNew {
		key.Version, key.Engine = s.To, t.Engine
		rolloutCalls.Add("new", 1)
	} else {
		rolloutCalls.Add("old", 1)
	}
	if repeated {
		// Calls that failed at one engine fail more often at the next, whatever its version.
		return
	}
	key = s.countedKey(key, b.pool.Entries())
	j.record = attemptRecord{s: s, key: key, cold: now < t.ColdUntil}
	s.evidence.Sent(key)
	s.changed[key] = true
}

// groupedEngines are the names under which the calls of engines are counted together. There are
// several, because failures count against the version only if they show at several engines.
var groupedEngines = [...]serving.EngineID{"group-0", "group-1", "group-2", "group-3"}

// countedKey returns the key under which a call is counted. Above the bounds engines are
// grouped, and then the route is left out.
func (s *serviceRollout) countedKey(key rollout.Key, entries int) rollout.Key {
	most := min(rollout.MaxKeys-keptKeys, max(minCountedKeys, sharedCountedKeys/entries))
	if s.evidence[key] == nil && len(s.evidence) >= most {
		if key.Engine != "" {
			key.Engine = groupedEngines[xxhash.Sum64String(string(key.Engine))%uint64(len(groupedEngines))]
		}
		if s.evidence[key] == nil && len(s.evidence) >= rollout.MaxKeys-8*rollout.Slices {
			key.Route = rollout.OtherRoute
		}
	}
	return key
}

// firstEvent counts the time to the first event of a stream. The caller holds mu of the
// blackboard.
func (a *attemptRecord) firstEvent(took time.Duration) {
	if a.s == nil || a.cold {
		return
	}
	a.s.evidence.Add(a.key).First.Add(took)
	a.s.changed[a.key] = true
}

// endAttempt counts the outcome of the call that beginAttempt counted last.
func (j *job) endAttempt(o placement.Outcome, t rollout.Times) {
	if j.record.s == nil {
		return
	}
	j.g.board.mu.Lock()
	defer j.g.board.mu.Unlock()
	s, key := j.record.s, j.record.key
	cause := context.Cause(j.ctx)
	bad := o == placement.Failed || o == placement.Broken || o == placement.Abandoned
	switch {
	case j.record.cold, o != placement.OK && (errors.Is(cause, context.Canceled) || errors.Is(cause, errShutdown)):
		s.evidence.Uncounted(key)
	case o == placement.OK:
		s.evidence.Answered(key, t)
		s.brake.Record(key.Version != "", false)
	case bad:
		// A call whose time is over counts as failed: a slow version lets calls time out.
		s.evidence.Failed(key)
		s.brake.Record(key.Version != "", true)
	default:
		// The engine did not take the call.
		s.evidence.Uncounted(key)
	}
	if key.Version == "" {
		s.countOld(o)
	}
	s.changed[key] = true
	j.record = attemptRecord{}
}

// leaveAttempt counts that the call has left the engine before its end, because its stream moved.
func (j *job) leaveAttempt() {
	if j.record.s == nil {
		return
	}
	j.g.board.mu.Lock()
	defer j.g.board.mu.Unlock()
	j.record.s.evidence.Uncounted(j.record.key)
	j.record.s.changed[j.record.key] = true
	j.record = attemptRecord{}
}

// countOld counts the outcome of a call at another version.
func (s *serviceRollout) countOld(o placement.Outcome) {
	switch o {
	case placement.Unreachable:
		if s.oldUnreachable++; s.oldUnreachable == endedVersion {
			s.refreshedAt = 0
		}
	case placement.OK, placement.Failed, placement.Refused:
		s.oldUnreachable = 0
	}
}

// rolloutsRevision returns the revision of the rollouts that the entry has.
func (b *blackboard) rolloutsRevision() *uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	revision := b.rollouts.revision
	return &revision
}

// reportRollouts returns what a poll of a hub reports, and a function that is called with whether the
// hub has answered. hub is the incarnation of the hub's last answer.
func (b *blackboard) reportRollouts(now time.Duration, hub uint64) ([]*schema.RolloutReport, func(answered bool)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	full := hub != b.rollouts.reportedTo || hub == 0
	interval := countsInterval + time.Duration(b.pool.Entries())*countsIntervalPerEntry
	var out []*schema.RolloutReport
	sent := map[*serviceRollout][]rollout.Key{}
	for _, s := range b.rollouts.services {
		state := s.at(now)
		if full {
			s.markChanged()
		}
		if !state.Phase.InProgress() || !full && !state.Exclusive() && now-s.reportedAt < interval {
			continue
		}
		s.reportedAt = now
		s.sequence++
		report := &schema.RolloutReport{Id: s.id, Phase: confirmedPhase(&state).ToWire(), Sequence: s.sequence,
			OldRunning: int32(b.pool.OwnRunningExcept(s.Service, s.To))}
		sent[s] = nil
		for key := range s.changed {
			report.Counts = append(report.Counts, s.evidence.Add(key).ToWire(key))
			sent[s] = append(sent[s], key)
		}
		clear(s.changed)
		out = append(out, report)
	}
	return out, func(answered bool) {
		b.mu.Lock()
		defer b.mu.Unlock()
		for s, keys := range sent {
			if answered {
				s.brake.Release()
				continue
			}
			for _, key := range keys {
				s.changed[key] = true
			}
		}
	}
}

// confirmedPhase returns the phase that an entry confirms to the hub: the cutover only once no
// call goes to the old version for comparison.
func confirmedPhase(r *rollout.Rollout) rollout.Phase {
	if r.Phase == rollout.Cutover && !r.Exclusive() {
		return rollout.LoadTest
	}
	return r.Phase
}

func (s *serviceRollout) markChanged() {
	for key := range s.evidence {
		s.changed[key] = true
	}
}

// applyRollouts applies the rollouts in the answer of a hub, to a poll that was sent at asked.
func (b *blackboard) applyRollouts(now, asked time.Duration, res *schema.WatchResult) {
	if !b.rollouts.exposure.Enabled || res.RolloutsRevision == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r := &b.rollouts
	if r.reportedTo != res.GetHubIncarnation() {
		// The hub has only what this poll reported.
		r.reportedTo = res.GetHubIncarnation()
		for _, s := range r.services {
			s.markChanged()
		}
	}
	if res.GetRolloutsRevision() > r.revision {
		r.replace(now, res)
	}
	if res.GetConfirmed() && res.StateAgeMs != nil && res.GetRolloutsRevision() == r.revision {
		r.confirmed = true
		r.lease.Confirm(asked - time.Duration(max(0, res.GetStateAgeMs()))*time.Millisecond)
	}
	for _, s := range r.services {
		s.refresh(now, b)
	}
	if len(r.services) > 0 {
		b.placeWaiting(now)
	}
}

// replace replaces the rollouts by those of an answer.
func (r *rollouts) replace(now time.Duration, res *schema.WatchResult) {
	next := map[serving.ServiceID]*serviceRollout{}
	for _, m := range res.GetRollouts() {
		state := rollout.FromWire(m)
		if state.Validate() != nil || state.Phase == 0 {
			klog.InfoS("Rollout ignored, it is not valid", "id", m.GetId(), "service", m.GetService(), "to", m.GetTo(), "phase", m.GetPhase())
			continue
		}
		s := r.services[state.Service]
		if s == nil || s.id != m.GetId() {
			// The predecessor of a process that started after the order may have used the
			// allowance of the host.
			before := r.confirmed && now-r.started >= state.Elapsed
			s = &serviceRollout{id: m.GetId(), evidence: rollout.Evidence{}, changed: map[rollout.Key]bool{}, quota: rollout.Quota{Share: r.exposure.Share,
				Allowance: rollout.AllowanceFor(int(m.GetEntries()), r.exposure.Allowance, before), Draw: rand.Float64()}}
		}
		if s.Phase != state.Phase {
			all, sentNew := s.quota.Sent()
			klog.InfoS("Rollout phase applied", "id", s.id, "service", state.Service, "to", state.To, "phase", state.Phase, "reason", state.Reason,
				"elapsed", state.Elapsed, "duration", state.Duration, "sent", all, "sent_new", sentNew, "allowance", s.quota.Allowance)
		}
		s.Rollout, s.updatedAt, s.refreshedAt = state, now, 0
		next[state.Service] = s
	}
	r.services, r.revision = next, res.GetRolloutsRevision()
}

// leaveOldVersions moves the streams at engines of old versions shortly before the end of the
// rollout. Streams that were sent there for comparison begin to move when no others are.
func (g *Gateway) leaveOldVersions() {
	b := &g.board
	b.mu.Lock()
	defer b.mu.Unlock()
	now := g.Clock.Now()
	for _, s := range b.rollouts.services {
		state := s.at(now)
		ending := state.Exclusive() || state.Phase == rollout.Cutover && state.Elapsed >= state.Duration-moveBefore
		if !ending || !s.mayUse && s.Phase != rollout.Completed || s.newEngines == 0 {
			continue
		}
		cutoverAt := now - (state.Elapsed - state.PhaseAt)
		leaves := func(r *relay) bool { return state.Exclusive() || r.sentAt < cutoverAt }
		for id := range b.streams {
			if !b.pool.HasOtherVersion(id, s.Service, s.To) {
				continue
			}
			if plan := b.movePlans[id]; plan != nil && now-plan.NoticeAt() > moveWindow {
				delete(b.movePlans, id)
			}
			for r := range b.streams[id] {
				r.forgetFailedMove()
			}
			g.moveStreamsIf(id, leaves)
		}
	}
}

// forgetFailedMove forgets a move that has ended without a copy, so that another one can start.
func (r *relay) forgetFailedMove() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.move == nil {
		return
	}
	select {
	case <-r.move.done:
		if r.move.dest == nil && r.move.latestCopy.Handle == "" {
			r.move = nil
		}
	default:
	}
}
