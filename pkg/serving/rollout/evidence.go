package rollout

import (
	"math"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

const (
	// Buckets is the number of buckets of a histogram.
	Buckets = 24
	// bucketsPerOctave is the number of buckets for each doubling of the time. Buckets reach
	// from 1 ms to 41 s.
	bucketsPerOctave = 1.5
	// MaxKeys bounds the keys of an Evidence, about 1.4 MB. From then on, calls with new keys
	// are counted under the route OtherRoute of the same version and slice, without the
	// engine, and dropped if there are too many of those, too.
	MaxKeys = 4096
	// otherKeys is the number of keys above MaxKeys: two versions with all slices.
	otherKeys = 2 * Slices
	// OtherRoute is the route under which calls are counted above MaxKeys.
	OtherRoute = "*"
)

// Histogram counts durations in logarithmic buckets. Bucket 0 holds durations below 1 ms,
// and bucket i those below 2^(i/1.5) ms. The last one holds all longer ones.
type Histogram [Buckets]uint32

// Add counts a duration.
func (h *Histogram) Add(d time.Duration) {
	i := bucketOf(d)
	if h[i] < math.MaxUint32 {
		h[i]++
	}
}

// Merge adds the counts of other.
func (h *Histogram) Merge(other *Histogram) {
	for i, n := range other {
		h[i] = uint32(min(uint64(h[i])+uint64(n), math.MaxUint32))
	}
}

// Count returns the number of durations.
func (h *Histogram) Count() int64 {
	n := int64(0)
	for _, c := range h {
		n += int64(c)
	}
	return n
}

// Quantile returns the duration below which the share q of all durations lies, 0 if there
// are none. Within a bucket it interpolates on the logarithmic scale.
func (h *Histogram) Quantile(q float64) time.Duration {
	n := h.Count()
	if n == 0 {
		return 0
	}
	rank, below := q*float64(n), 0.0
	last := 0
	for i, c := range h {
		if c == 0 {
			continue
		}
		last = i
		if below+float64(c) >= rank {
			return durationAt(float64(i) - 1 + max(0, rank-below)/float64(c))
		}
		below += float64(c)
	}
	return durationAt(float64(last))
}

// ShareAbove returns the share of durations longer than d, 0 if there are none.
func (h *Histogram) ShareAbove(d time.Duration) float64 {
	n := h.Count()
	if n == 0 {
		return 0
	}
	return h.above(d) / float64(n)
}

// above returns the number of durations longer than d, interpolated within its bucket.
func (h *Histogram) above(d time.Duration) float64 {
	pos := positionOf(d)
	n := 0.0
	for i, c := range h {
		if c > 0 {
			n += float64(c) * min(1, max(0, float64(i)-pos))
		}
	}
	return n
}

// positionOf returns where d lies on the scale of buckets: bucket i holds the positions
// from i-1 to i.
func positionOf(d time.Duration) float64 {
	ms := float64(d) / float64(time.Millisecond)
	if ms <= 0.5 {
		return -1
	}
	return min(Buckets-1, max(-1, bucketsPerOctave*math.Log2(ms)))
}

func durationAt(position float64) time.Duration {
	return time.Duration(math.Exp2(position/bucketsPerOctave) * float64(time.Millisecond))
}

func bucketOf(d time.Duration) int {
	ms := float64(d) / float64(time.Millisecond)
	if ms < 1 {
		return 0
	}
	return min(Buckets-1, 1+int(bucketsPerOctave*math.Log2(ms)))
}

// Slices is the number of parts into which the duration of a rollout is divided.
const Slices = 10

// Slice is the part of the duration in which a call was sent, from 0. Calls are counted by
// the time when they were sent, so that calls of both versions that are compared have the
// same age and met the same conditions. The last slice also holds calls sent after the end.
type Slice uint8

// Slice returns the slice of calls that are sent now.
func (r Rollout) Slice() Slice {
	return Slice(min(Slices-1, int(r.Fraction()*Slices)))
}

// Class groups calls by the tokens of their prompt that an engine has to read, because it has
// not cached them. Only calls of one class are compared: the new engines have cached little,
// so that their first events come later, whatever their version.
type Class uint8

// Classes is the number of classes.
const Classes = 4

// ClassOf returns the class of a call with a number of tokens to read at the chosen engine, 0
// for a call without a prompt.
func ClassOf(unread serving.Tokens) Class {
	switch {
	case unread < 256:
		return 0
	case unread < 1024:
		return 1
	case unread < 4096:
		return 2
	}
	return 3
}

// Key identifies the calls that are counted together.
type Key struct {
	// Version is the version of the new engines, and empty for all other versions.
	Version Version
	Route   string
	// Engine is set for the new version only.
	Engine serving.EngineID
	Slice  Slice
	Class  Class
}

// Valid reports whether a key that another process reported may belong to a rollout to the
// version.
func (k Key) Valid(to Version) bool {
	return (k.Version == to || k.Version == "" && k.Engine == "") && k.Slice < Slices && k.Class < Classes
}

// Times are the times that an answer took; 0 means that the time is unknown or does not
// apply.
type Times struct {
	// First is the time to the first event, Token the mean time per token after it, and
	// Whole the time of the whole answer.
	First, Token, Whole time.Duration
}

// Counts holds the numbers of calls of one key. All of them only grow.
type Counts struct {
	// Sent counts calls that were sent to an engine. Answered and Failed count those that
	// ended with and without a valid answer. Uncounted counts calls that say nothing of the
	// version: the engine was cold or refused the call as not run, or the caller left.
	Sent, Answered, Failed, Uncounted int64
	First, Token, Whole               Histogram
}

// Merge adds the counts of other.
func (c *Counts) Merge(other *Counts) {
	c.Sent += other.Sent
	c.Answered += other.Answered
	c.Failed += other.Failed
	c.Uncounted += other.Uncounted
	c.First.Merge(&other.First)
	c.Token.Merge(&other.Token)
	c.Whole.Merge(&other.Whole)
}

// Valid reports whether no count is negative or above what the calls sent explain.
func (c *Counts) Valid() bool {
	return c.Sent >= 0 && c.Answered >= 0 && c.Failed >= 0 && c.Uncounted >= 0 &&
		c.Sent <= maxCount && c.Answered <= c.Sent && c.Failed <= c.Sent && c.Uncounted <= c.Sent &&
		c.Answered+c.Failed+c.Uncounted <= c.Sent &&
		c.First.Count() <= c.Sent && c.Token.Count() <= c.Sent && c.Whole.Count() <= c.Sent
}

// maxCount is the largest valid count, so that sums over all entries cannot overflow.
const maxCount = math.MaxUint32

// Evidence holds the counts of a rollout by key.
type Evidence map[Key]*Counts

// Add returns the counts of a key and adds the key if it is new.
func (e Evidence) Add(key Key) *Counts {
	if c := e[key]; c != nil {
		return c
	}
	if len(e) >= MaxKeys {
		key = Key{Version: key.Version, Route: OtherRoute, Slice: key.Slice}
		if c := e[key]; c != nil {
			return c
		}
	}
	c := &Counts{}
	if len(e) < MaxKeys+otherKeys {
		e[key] = c
	}
	return c
}

// Sent counts a call that was sent to an engine.
func (e Evidence) Sent(key Key) { e.Add(key).Sent++ }

// Answered counts the valid answer to a call. Sent must have been called with the same key.
func (e Evidence) Answered(key Key, t Times) {
	c := e.Add(key)
	c.Answered++
	for _, v := range []struct {
		d time.Duration
		h *Histogram
	}{{t.First, &c.First}, {t.Token, &c.Token}, {t.Whole, &c.Whole}} {
		if v.d > 0 {
			v.h.Add(v.d)
		}
	}
}

// Failed counts a call that ended without a valid answer.
func (e Evidence) Failed(key Key) { e.Add(key).Failed++ }

// Uncounted counts a call whose outcome says nothing of the version. For a cold engine it is
// called together with Sent, and neither Answered nor Failed is called later.
func (e Evidence) Uncounted(key Key) { e.Add(key).Uncounted++ }

// Merge adds the counts of other.
func (e Evidence) Merge(other Evidence) {
	for key, c := range other {
		e.Add(key).Merge(c)
	}
}
