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

// stepTimeout bounds the time of one step.
const stepTimeout = 10 * time.Second

// step is an operator command or a fault injection at a given time of a run.
type step struct {
	// at is relative to the start of the run.
	at time.Duration
	// text is the step as given on the command line.
	text string
	// takeOut selects taking target out instead of bringing it back.
	takeOut bool
	target  admin.NameCommand
	// fault is the JSON to send to the engine at address; nil for an operator command.
	address string
	fault   []byte
}

// parseStep parses AT:take-out:KIND:NAME, AT:bring-back:KIND:NAME or
// AT:fault:ADDR:{JSON}.
func parseStep(text string) (step, error) {
	errInvalid := invalid("step "+text+" is not valid", "give AT:take-out:KIND:NAME, AT:bring-back:KIND:NAME or AT:fault:ADDR:{JSON}")
	parts := strings.SplitN(text, ":", 3)
	if len(parts) != 3 {
		return step{}, errInvalid
	}
	at, err := time.ParseDuration(parts[0])
	if err != nil || at < 0 {
		return step{}, errInvalid
	}
	s := step{at: at, text: text, takeOut: parts[1] == "take-out"}
	switch parts[1] {
	case "take-out", "bring-back":
		kind, name, ok := strings.Cut(parts[2], ":")
		if !ok || name == "" {
			return step{}, errInvalid
		}
		s.target = admin.NameCommand{Kind: kind, Name: name}
	case "fault":
		address, body, ok := strings.Cut(parts[2], ":{")
		if !ok {
			return step{}, errInvalid
		}
		s.address, s.fault = address, []byte("{"+body)
	default:
		return step{}, errInvalid
	}
	return s, nil
}

// runSteps runs the steps at their times and returns the first error. Later steps
// run even if a step failed.
func (g *generator) runSteps(ctx context.Context) error {
	var firstErr error
	for _, s := range g.steps {
		if !sleepUntil(ctx, g.started.Add(s.at)) {
			break
		}
		err := g.runStep(ctx, &s)
		if err != nil {
			err = eris.Wrapf(err, "step %s", s.text)
			fmt.Fprintln(g.Errors, err)
		}
		if firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
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

// sleepUntil waits until t and returns false if ctx ends first.
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
