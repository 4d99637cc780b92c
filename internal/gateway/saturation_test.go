package gateway

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving/saturation"
)

// stepClock is a clock that the test sets.
type stepClock struct{ now time.Duration }

// Now implements serving.Clock.
func (c *stepClock) Now() time.Duration { return c.now }

// Guards against an entry that does not report the saturation of its host, or that stays not
// ready once no hub grants it any more. The hub is lost while the entry is away; the entry may
// also be suspended then, so that it decides nothing.
func TestReadinessOfSaturatedEntry(t *testing.T) {
	clock := &stepClock{now: time.Minute}
	g := &Gateway{Host: "10.0.0.1", DataCentre: "a", Region: "a", Clock: clock, Capacity: saturation.Capacity{Cores: 0.144, LinkMbps: 7.5, Descriptors: 2875}}
	g.setup()
	g.board.view.Store(&view{})
	l := &g.hostLoad
	ready := func() bool {
		w := httptest.NewRecorder()
		g.ready(w, nil)
		return w.Code == http.StatusOK
	}
	used := saturation.Sample{}
	for _, tc := range []struct {
		name     string
		level    float64
		duration time.Duration
		// polls is whether the hub answers, and decides whether the process runs.
		polls, decides bool
		ready          bool
	}{
		{"little load", 0.3, 2 * time.Second, true, true, true},
		{"wave", 1, 3 * time.Second, true, true, false},
		{"hub lost for less than a grant is valid", 1, 700 * time.Millisecond, false, true, false},
		{"hub lost", 1, 600 * time.Millisecond, false, true, true},
		{"hub back", 1, 6 * time.Second, true, true, false},
		{"suspended", 1, 1100 * time.Millisecond, false, false, true},
	} {
		for end := clock.now + tc.duration; clock.now < end; clock.now += pollWait {
			used.Processor += time.Duration(tc.level * g.Capacity.Cores * float64(pollWait))
			if tc.decides {
				l.observe(clock.now, used)
			}
			if tc.polls {
				m := l.report(clock.now, false)
				granted := m.GetPhase() != uint32(saturation.Ready)
				l.apply(clock.now, &schema.SaturationAnswer{Entries: 8, Granted: granted})
			}
		}
		assert.Equal(t, ready(), tc.ready, tc.name)
	}
}

// Guards against reports of a state that the hub can't use, and against a state in every poll.
func TestReportsOfState(t *testing.T) {
	for _, tc := range []struct {
		name     string
		capacity saturation.Capacity
		want     int
	}{
		{"limits unknown", saturation.Capacity{Cores: 0.144}, 0},
		{"ready: once a second, and at the first poll of a hub", saturation.Capacity{Cores: 0.144, LinkMbps: 7.5, Descriptors: 2875}, 4},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := &Gateway{Host: "10.0.0.1", DataCentre: "a", Clock: &stepClock{}, Capacity: tc.capacity}
			g.setup()
			reports := 0
			for i := range 30 {
				if m := g.hostLoad.report(time.Duration(i)*pollWait, i == 0 || i == 25); m != nil {
					reports++
				}
			}
			assert.Equal(t, reports, tc.want)
		})
	}
}

// Guards against connections and bytes that are not counted, or counted after their end.
func TestCountsOfCallers(t *testing.T) {
	g := &Gateway{Host: "10.0.0.1", Capacity: saturation.Capacity{Cores: 1, LinkMbps: 1, Descriptors: 1}}
	g.setup()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := g.hostLoad.count(inner)
	defer l.Close()
	caller, err := net.Dial("tcp", inner.Addr().String())
	assert.NilError(t, err)
	defer caller.Close()
	c, err := l.Accept()
	assert.NilError(t, err)
	_, err = caller.Write([]byte("12345"))
	assert.NilError(t, err)
	_, err = io.ReadFull(c, make([]byte, 5))
	assert.NilError(t, err)
	_, err = c.Write([]byte("123"))
	assert.NilError(t, err)
	s := g.hostLoad.sample()
	assert.Equal(t, s.Bytes, uint64(8))
	assert.Equal(t, g.hostLoad.callers.Load(), int64(1))
	assert.NilError(t, c.Close())
	assert.Assert(t, c.Close() != nil)
	assert.Equal(t, g.hostLoad.callers.Load(), int64(0))
	assert.Assert(t, s.Processor > 0)
}
