package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"turmericdrum.org/turmericdrum/internal/admin"
)

// stepTimeout bounds one step of the schedule.
const stepTimeout = 10 * time.Second

// step is an operator's command or a fault at a time after the start.
type step struct {
	at      time.Duration
	text    string
	takeOut bool
	target  admin.NameCommand
	address string
	fault   []byte
}

// parseStep parses AT:take-out:KIND:NAME, AT:bring-back:KIND:NAME or
// AT:fault:ADDR:{JSON}.
func parseStep(text string) (step, error) {
	bad := invalid("step "+text+" is not valid", "give AT:take-out:KIND:NAME, AT:bring-back:KIND:NAME or AT:fault:ADDR:{JSON}")
	parts := strings.SplitN(text, ":", 3)
	if len(parts) != 3 {
		return step{}, bad
	}
	at, err := time.ParseDuration(parts[0])
	if err != nil || at < 0 {
		return step{}, bad
	}
	s := step{at: at, text: text, takeOut: parts[1] == "take-out"}
	switch parts[1] {
	case "take-out", "bring-back":
		kind, name, ok := strings.Cut(parts[2], ":")
		if !ok || name == "" {
			return step{}, bad
		}
		s.target = admin.NameCommand{Kind: kind, Name: name}
	case "fault":
		address, body, ok := strings.Cut(parts[2], ":{")
		if !ok {
			return step{}, bad
		}
		s.address, s.fault = address, []byte("{"+body)
	default:
		return step{}, bad
	}
	return s, nil
}

// runSteps carries the schedule out and returns the first error; a failed step
// does not keep back the later ones.
func (g *generator) runSteps(ctx context.Context) error {
	var first error
	for _, s := range g.steps {
		if !sleepUntil(ctx, g.started.Add(s.at)) {
			break
		}
		err := g.runStep(ctx, &s)
		if err != nil {
			err = eris.Wrapf(err, "step %s", s.text)
			fmt.Fprintln(g.Errors, err)
		}
		if first == nil {
			first = err
		}
	}
	return first
}

func (g *generator) runStep(ctx context.Context, s *step) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	if s.fault != nil {
		return g.injectFault(ctx, s)
	}
	c := admin.Command{Server: g.Server, Key: g.OperatorKey, Timeout: stepTimeout}
	if s.takeOut {
		c.TakeOut = &s.target
	} else {
		c.BringBack = &s.target
	}
	return c.Run(ctx, io.Discard)
}

func (g *generator) injectFault(ctx context.Context, s *step) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.address+"/v1/faults", bytes.NewReader(s.fault))
	if err != nil {
		return err
	}
	res, err := g.client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return eris.Errorf("the engine answered %d", res.StatusCode)
	}
	return nil
}

// sleepUntil returns false if ctx ended first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
