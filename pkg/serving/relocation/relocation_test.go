package relocation_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/relocation"
	"turmericdrum.org/turmericdrum/pkg/serving/routing"
)

var model = &routing.ModelService{TokenBytes: 327_680, LinkMbps: 47_000, SupportsMoves: true}

const (
	// noticeDelay is the time from the notice to its arrival at the entries.
	noticeDelay = 30 * time.Millisecond
	// tokenTime is the time per token at the source.
	tokenTime = 9 * time.Millisecond
	// otherDCFactor is the factor by which copies between data centres are slower,
	// from the platform's documentation.
	otherDCFactor = 2
)

// link simulates an engine's link, which executes one copy after another. freeAt is
// when it becomes idle.
type link struct{ freeAt time.Duration }

func (l *link) copy(at time.Duration, tokens serving.Tokens) time.Duration {
	bits := float64(tokens) * float64(model.TokenBytes) * 8
	l.freeAt = max(l.freeAt, at) + time.Duration(bits/(model.LinkMbps*1e6)*float64(time.Second))
	return l.freeAt
}

// Guards against long pauses and lost streams when an engine shuts down 1.5 s after
// its notice. Each of its long streams belongs to a different entry. Every stream must
// stop, copy its remaining tokens and continue elsewhere before the shutdown, with a
// pause of at most 180 ms. This includes 60 ms for the round trip and the first event.
func TestReclaimedEngine(t *testing.T) {
	const (
		notice  = 1500 * time.Millisecond
		maxStop = 120 * time.Millisecond
	)
	for _, streams := range []int{1, 3, 5} {
		l := link{}
		held := serving.Tokens(0)
		var tokens []serving.Tokens
		for i := range streams {
			tokens = append(tokens, serving.Tokens(3200+200*i))
			held += tokens[i]
		}
		copied := make([]time.Duration, streams)
		for i := range streams {
			p := relocation.NewPlan(noticeDelay, held, tokens[i], model, float64(i)/float64(streams))
			assert.Assert(t, p.Reserve(noticeDelay, tokens[i], true), "%d streams: stream %d isn't copied", streams, i)
			copied[i] = l.copy(noticeDelay, tokens[i])
		}
		p := relocation.NewPlan(noticeDelay, held, tokens[0], model, 0)
		for i := range streams {
			at, last := copied[i], noticeDelay
			for {
				done := l.copy(at, serving.Tokens((at-last)/tokenTime))
				took := done - at
				at, last = done, at
				if p.ShouldStop(took, at-copied[i]) {
					break
				}
				at += 50 * time.Millisecond
			}
			done := l.copy(at, serving.Tokens((at-last)/tokenTime))
			assert.Assert(t, done-at <= maxStop, "%d streams: stream %d stops at %v and is copied at %v", streams, i, at, done)
			assert.Assert(t, done < notice, "%d streams: stream %d is copied at %v", streams, i, done)
		}
	}
}

// Guards against copies that are cut off by the shutdown of a full engine. Its link
// needs 1.9 s to copy its memory. The engines in the same data centre have room for
// some of its streams, and the others may be copied to other data centres, which
// takes twice as long. Only copies that complete before the shutdown may be started,
// and copies to other data centres must not cost more streams than they save.
func TestFullEngine(t *testing.T) {
	const (
		entries = 4
		each    = 3
		size    = serving.Tokens(2_866)
		// notice is the middle of the range of notice periods in the platform's
		// documentation.
		notice = 1800 * time.Millisecond
		// allSameDC is the number of streams that the link copies in that time if all
		// destinations are in the same data centre, including the overhead of copies.
		allSameDC = 9
	)
	for _, tc := range []struct {
		name string
		// sameDC is the number of streams of each entry for which the same data centre
		// has room.
		sameDC int
		want   int
	}{
		{"all in the same data centre", 3, allSameDC},
		{"one of three in another data centre", 2, 8},
		{"all in another data centre", 0, 4},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := link{}
			reserved := 0
			plans := make([]*relocation.Plan, entries)
			for i := range plans {
				plans[i] = relocation.NewPlan(noticeDelay, entries*each*size, each*size, model, float64(i)/entries)
			}
			for stream := range each {
				for _, p := range plans {
					sameDC, copied := stream < tc.sameDC, size
					if !sameDC {
						copied = otherDCFactor * size
					}
					if p.Reserve(noticeDelay, size, sameDC) {
						reserved++
						done := l.copy(noticeDelay, copied)
						assert.Assert(t, done <= notice, "copy %d ends at %v", reserved, done)
					}
				}
			}
			assert.Assert(t, reserved >= tc.want, "%d of %d streams are copied", reserved, entries*each)
		})
	}
}

// Guards against link time that stays reserved for a refused copy, and against
// copies that start too late to complete.
func TestLinkTime(t *testing.T) {
	p := relocation.NewPlan(noticeDelay, 30_000, 30_000, model, 0.5)
	for range 5 {
		assert.Assert(t, p.Reserve(noticeDelay, 4_000, true))
	}
	assert.Assert(t, p.Reserve(noticeDelay, 4_000, true))
	assert.Assert(t, !p.Reserve(noticeDelay, 4_000, true))
	p.Release(4_000, true)
	assert.Assert(t, p.Reserve(noticeDelay, 4_000, true))
	p.Release(4_000, true)
	assert.Assert(t, !p.Reserve(noticeDelay+1700*time.Millisecond, 4_000, true))
}

func TestWorthMoving(t *testing.T) {
	for _, tc := range []struct {
		name      string
		remaining serving.Tokens
		tokenTime time.Duration
		want      bool
	}{
		{"a short output completes in time", 40, 0, false},
		{"a long output at its start", 900, 0, true},
		{"a long output near its end", 40, 9 * time.Millisecond, false},
		{"a slow engine", 60, 30 * time.Millisecond, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, relocation.WorthMoving(tc.remaining, tc.tokenTime), tc.want)
		})
	}
}
