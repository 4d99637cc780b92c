// Package relocation schedules the migration of running generations from an
// engine that is about to shut down. It runs in an entry, a process that forwards
// client requests to engines.
//
// # Usage
//
//	p := relocation.NewPlan(now, held, own, model, rand.Float64())
//	if p.Reserve(now, memory, true) {
//		// start the copy
//	}
//	for !p.ShouldStop(took, age) {
//		// copy the tokens generated since the last copy
//	}
//
// # When a generation is stopped
//
// An engine copies the memory of one generation after another. A generation that
// is stopped at its source needs one more, small copy. This copy waits behind the
// large ones, and the caller sees the wait as a pause. Generations therefore
// continue at their source while its network link is busy. If the source shuts
// down in the meantime, the destination prefills the tokens generated since the
// last copy.
package relocation

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/routing"
)

const (
	// minNotice is the shortest time between an engine's shutdown notice and its
	// shutdown, from the documentation of the platform that runs the engines.
	minNotice = 1500 * time.Millisecond
	// typicalNotice is the middle of the range that the platform's documentation gives
	// for the time between notice and shutdown.
	typicalNotice = 1800 * time.Millisecond
	// noticeDelay is the time from an engine's notice to its arrival at an entry.
	noticeDelay = 50 * time.Millisecond
	// copyOverhead is the factor by which copies are slower than the rate of the
	// link, because of set-up and of destinations whose links are busy. On a test
	// bench, sequential copies took 1.1 times as long as at the rate of the link.
	copyOverhead = 1.15
	// idleLinkCopyTime is the maximum duration of a small copy over an idle link,
	// including a round trip between regions.
	idleLinkCopyTime = 80 * time.Millisecond
	// maxCopyAgeShare is the share of ModelService.CopyTTL after which a generation is
	// stopped at its source even if the link is busy.
	maxCopyAgeShare = 0.6
	// otherDCFactor is the factor by which copies to another data centre are slower,
	// from the platform's documentation.
	otherDCFactor = 2.0
)

const (
	// defaultTokenTime is the time per token at a busy engine. It is used until the
	// rate of the generation has been measured.
	defaultTokenTime = 10 * time.Millisecond
	// maxOverrun is the factor by which an output may exceed its expected length.
	maxOverrun = 1.5
)

// WorthMoving reports whether a generation is likely to run beyond the notice period
// of its engine. remaining is its expected number of further tokens and tokenTime
// the time per token, 0 if unknown. Copying a generation that completes in time only
// delays the other copies.
func WorthMoving(remaining serving.Tokens, tokenTime time.Duration) bool {
	if tokenTime <= 0 {
		tokenTime = defaultTokenTime
	}
	return time.Duration(maxOverrun*float64(remaining))*tokenTime > minNotice-noticeDelay
}

// Plan schedules the copies of one entry's generations from an engine that is about
// to shut down. All entries together must not start more copies than the link can
// transfer before the shutdown: a copy that is cut off saves nothing, delays the
// others, and occupies memory at its destination for seconds. Each entry uses the
// link in proportion to its share of the memory at the engine. A plan isn't safe for
// concurrent use.
type Plan struct {
	noticeAt time.Duration
	// tokensPerSecond is the rate at which the link copies memory. If it is unknown,
	// the value is 0 and copies are assumed to take no time.
	tokensPerSecond float64
	// share is this entry's share of the memory in use at the engine. position is its
	// place among the entries that start a copy at the same time, from 0 for the
	// first to 1 for the last.
	share, position float64
	// reserved is the link time of the copies reserved so far.
	reserved   time.Duration
	maxCopyAge time.Duration
}

// NewPlan returns the plan for an engine whose notice arrived at now. held is the
// number of tokens in memory for all entries, own the number for this entry.
// position is a random number from 0 to 1.
func NewPlan(now time.Duration, held, own serving.Tokens, m *routing.ModelService, position float64) *Plan {
	p := &Plan{noticeAt: now, share: 1, position: position, maxCopyAge: time.Duration(maxCopyAgeShare * float64(m.CopyTTL))}
	if m.LinkMbps <= 0 || m.TokenBytes <= 0 {
		return p
	}
	p.tokensPerSecond = m.LinkMbps * 1e6 / (float64(m.TokenBytes) * 8) / copyOverhead
	held = max(held, own)
	if own > 0 {
		p.share = float64(own) / float64(held)
	}
	return p
}

// NoticeAt returns when the notice arrived.
func (p *Plan) NoticeAt() time.Duration { return p.noticeAt }

// SourceRuns reports whether the engine still takes the calls that it had before its notice.
func (p *Plan) SourceRuns(now time.Duration) bool { return now-p.noticeAt < minNotice-noticeDelay }

// copyTime returns the link time of a copy.
func (p *Plan) copyTime(memory serving.Tokens, sameDC bool) time.Duration {
	if p.tokensPerSecond <= 0 {
		return 0
	}
	seconds := float64(memory) / p.tokensPerSecond
	if !sameDC {
		seconds *= otherDCFactor
	}
	return time.Duration(seconds * float64(time.Second))
}

// Reserve reserves link time for a copy of memory tokens. It returns false if the
// copy would not complete before the shutdown and therefore must not be started. The
// other entries are assumed to have started copies in proportion to their shares,
// and some of them, depending on position, one more. A copy to another data centre
// must also fit in this entry's share, because it takes more link time than the
// other entries assume.
func (p *Plan) Reserve(now time.Duration, memory serving.Tokens, sameDC bool) bool {
	copyTime, end := p.copyTime(memory, sameDC), typicalNotice-noticeDelay
	start := max(now-p.noticeAt, time.Duration((float64(p.reserved)+p.position*float64(copyTime)*(1-p.share))/p.share))
	if start+copyTime > end || !sameDC && time.Duration(float64(p.reserved+copyTime)/p.share) > end {
		return false
	}
	p.reserved += copyTime
	return true
}

// Release frees the link time that was reserved for a copy that did not take place.
func (p *Plan) Release(memory serving.Tokens, sameDC bool) {
	p.reserved = max(0, p.reserved-p.copyTime(memory, sameDC))
}

// ShouldStop reports whether to stop a generation at its source. took is the
// duration of the last incremental copy and age the time since the first copy. It is
// time to stop if the link is idle, so that the final copy is fast, or if the copy
// is about to expire.
func (p *Plan) ShouldStop(took, age time.Duration) bool {
	return took <= idleLinkCopyTime || age > p.maxCopyAge
}
