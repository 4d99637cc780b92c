// Package relocation schedules how running generations are moved away from an
// engine that is about to end.
//
// # Usage
//
//	d := relocation.Depart(now, held, own, model, rand.Float64())
//	if d.Take(now, memory, true) {
//		// order the copy
//	}
//	for !d.StopNow(took, age) {
//		// bring the copy up to date
//	}
//
// # When the source is stopped
//
// An engine copies one generation's memory after another. A generation that is
// stopped needs one more, small copy, which waits behind the large ones, and its
// caller sees that wait as a pause. Generations therefore go on at their source
// while its link is busy. If it ends meanwhile, the destination reads the tokens
// made since the copy, as fast as a prompt.
package relocation

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/routing"
)

const (
	// shortestNotice is the shortest time between an engine's notice and its end
	// that the platform's pages name.
	shortestNotice = 1500 * time.Millisecond
	// usualNotice is the middle of the times that they name.
	usualNotice = 1800 * time.Millisecond
	// noticeDelay is the age of the notice when it reaches an entry.
	noticeDelay = 50 * time.Millisecond
	// copySlack is the factor by which copies are slower than the link's rate, for
	// set-up and for links of destinations that are busy too; copies one after
	// another took 1.1 times as long on the users' bench.
	copySlack = 1.15
	// freeLink is the longest time of an order for a small copy over a link that is
	// free, a round trip between regions included.
	freeLink = 80 * time.Millisecond
	// copyAge is the part of the time for which copies are kept at which a copy
	// counts as too old to wait longer for the end of its source.
	copyAge = 0.6
	// farFactor is the factor by which copies to other data centres are slower; the
	// platform's pages name it.
	farFactor = 2.0
)

const (
	// usualPace is the time for a token at a busy engine, for a generation whose own
	// pace is not known yet.
	usualPace = 10 * time.Millisecond
	// hintSlack is the factor by which an answer may outrun its expected length.
	hintSlack = 1.5
)

// Worthwhile tells whether a generation that is expected to make a number of
// tokens more, at a pace of 0 for unknown, is likely to outlive the notice of its
// engine. Copying one that ends by itself only delays the others.
func Worthwhile(remaining serving.Tokens, pace time.Duration) bool {
	if pace <= 0 {
		pace = usualPace
	}
	return time.Duration(hintSlack*float64(remaining))*pace > shortestNotice-noticeDelay
}

// Departure plans the moves of one entry's generations away from an engine that
// is about to end. It shares out the time of the engine's link: all entries
// together may order no more copies than the link carries until the engine ends,
// since a copy that the end cuts off saves nothing, holds up the others and keeps
// memory at its destination for seconds. Every entry uses the part that is its
// part of the memory held there. It isn't safe for concurrent use.
type Departure struct {
	began time.Duration
	// second is the number of tokens that the link carries in a second.
	second float64
	// part is this entry's part of the memory held there, and turn its place among
	// the entries that order a copy at the same time, from 0 to 1.
	part, turn float64
	spent      time.Duration
	stopAfter  time.Duration
}

// Depart returns the plan for an engine whose notice arrived at now, and whose
// generations hold a number of tokens in memory: those of all entries, and this
// entry's own. The turn is a random number from 0 to 1.
func Depart(now time.Duration, held, own serving.Tokens, m *routing.ModelService, turn float64) *Departure {
	d := &Departure{began: now, part: 1, turn: turn, stopAfter: time.Duration(copyAge * float64(m.CopyFor))}
	if m.LinkMbps <= 0 || m.TokenBytes <= 0 {
		return d
	}
	d.second = m.LinkMbps * 1e6 / (float64(m.TokenBytes) * 8) / copySlack
	held = max(held, own)
	if own > 0 {
		d.part = float64(own) / float64(held)
	}
	return d
}

// Began returns when the notice arrived.
func (d *Departure) Began() time.Duration { return d.began }

// cost is the time of the link that a copy takes.
func (d *Departure) cost(memory serving.Tokens, near bool) time.Duration {
	if d.second <= 0 {
		return 0
	}
	seconds := float64(memory) / d.second
	if !near {
		seconds *= farFactor
	}
	return time.Duration(seconds * float64(time.Second))
}

// Take claims time of the link for a copy of a number of tokens. It returns false
// if the copy would not end before the engine does: then it must not be ordered.
// The other entries are assumed to have ordered as many copies for their parts, and
// some of them, by this entry's turn, one more. A copy to another data centre must also fit in this entry's part, since
// it takes more of the link than the others count on.
func (d *Departure) Take(now time.Duration, memory serving.Tokens, near bool) bool {
	cost, end := d.cost(memory, near), usualNotice-noticeDelay
	queue := max(now-d.began, time.Duration((float64(d.spent)+d.turn*float64(cost)*(1-d.part))/d.part))
	if queue+cost > end || !near && time.Duration(float64(d.spent+cost)/d.part) > end {
		return false
	}
	d.spent += cost
	return true
}

// Return gives back the time of a copy that was refused.
func (d *Departure) Return(memory serving.Tokens, near bool) {
	d.spent = max(0, d.spent-d.cost(memory, near))
}

// StopNow tells whether to stop a generation at its source, after an order to
// bring its copy up to date took a time, and age after its first copy: the link is
// free, so that the last copy is quick, or the copy is about to expire.
func (d *Departure) StopNow(took, age time.Duration) bool {
	return took <= freeLink || age > d.stopAfter
}
