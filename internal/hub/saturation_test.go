package hub

import (
	"fmt"
	"net/http"
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

// Guards against answers about saturation to entries of deployments whose hosts are of one size,
// and against a hub that grants nothing where they differ. All entries are saturated.
func TestAnswersAboutSaturation(t *testing.T) {
	for _, tc := range []struct {
		name       string
		millicores []uint32
		granted    int
	}{
		{"hosts of one size", []uint32{192, 192, 192, 192, 192, 192, 192, 192}, 0},
		{"hosts of different sizes", []uint32{144, 144, 144, 480, 480, 480, 480, 480}, 2},
		{"limits unknown", []uint32{0, 0, 0, 0, 0, 0, 0, 0}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			clock := &stepClock{}
			h := &Hub{Host: "10.0.0.4", DataCentre: "a", Region: "a", Address: "http://10.0.0.4:80", ControlAddress: "10.0.0.4:81", Control: http.NotFoundHandler(), Clock: clock}
			h.setup()
			answers, granted := 0, 0
			for ; clock.now < 5*time.Second; clock.now += 100 * time.Millisecond {
				answers, granted = 0, 0
				for i, millicores := range tc.millicores {
					in := &schema.WatchRequest{Entry: fmt.Sprint(i), Incarnation: 1, Saturation: &schema.EntrySaturation{DataCentre: "a", Millicores: millicores,
						LinkKbps: 7500, Descriptors: 2875, Phase: uint32(saturation.Claiming), Level: 1, Sequence: uint64(clock.now) + 1}}
					res, err := h.Watch(t.Context(), in)
					assert.NilError(t, err)
					if res.GetSaturation() != nil {
						answers++
					}
					if res.GetSaturation().GetGranted() {
						granted++
					}
				}
			}
			assert.Equal(t, granted, tc.granted)
			assert.Equal(t, answers > 0, tc.granted > 0)
		})
	}
}
