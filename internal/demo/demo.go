package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"turmericdrum.org/turmericdrum/internal/admin"
	"turmericdrum.org/turmericdrum/internal/answer"
	"turmericdrum.org/turmericdrum/internal/timelines"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/generation"
)

const (
	// demoTimeout bounds the time of the whole demonstration.
	demoTimeout = 28 * time.Second
	// answerTokens is the length of the streamed answer.
	answerTokens = 12
	// retryInterval is the time between two attempts at a step.
	retryInterval = 100 * time.Millisecond
	// timelineEvents bounds the events in the printed timeline.
	timelineEvents = 30
)

// Command is the demo subcommand with its arguments.
type Command struct {
	HTML string `arg:"--html" placeholder:"FILE" help:"also write the time line as a page"`
}

// session is one run of the demonstration.
type session struct {
	ctx   context.Context
	w     io.Writer
	fleet *fleet
}

// Run starts the system, runs the demonstration, stops the system and prints the
// timeline. It writes all output to w.
func (c *Command) Run(ctx context.Context, w io.Writer) error {
	dir, err := os.MkdirTemp("", "turmericdrum-demo")
	if err != nil {
		return serving.WrapError(err, serving.KindStorage, "make a folder for the demo")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	// The processes run until stop is called or one of them fails, even if ctx ends earlier.
	processCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, processCtx := errgroup.WithContext(processCtx)
	f, err := startFleet(processCtx, g, dir)
	if err != nil {
		return err
	}
	s := &session{ctx: ctx, w: w, fleet: f}
	err = s.runSteps()
	stop()
	if runErr := g.Wait(); err == nil && !errors.Is(runErr, context.Canceled) {
		err = runErr
	}
	if err != nil {
		return err
	}
	return c.printTimeline(w, f.eventLogs())
}

// runSteps runs the steps of the demonstration.
func (s *session) runSteps() error {
	steps := []struct {
		title string
		run   func() error
	}{
		{"operators create two data centres, a model, a service and a client account", s.configure},
		{"a caller streams an answer", s.streamAnswer},
		{"an order is sent twice with one key and runs once", s.orderTwice},
		{"operators take the data centre leon-1 out; answers come from puebla-1", s.takeOut},
		{"operators bring leon-1 back", s.bringBack},
	}
	for _, step := range steps {
		fmt.Fprintln(s.w, "==", step.title)
		if err := step.run(); err != nil {
			return err
		}
	}
	return nil
}

// runAdmin runs an admin command with the operator key. It retries the command until
// it is accepted or the time limit is reached.
func (s *session) runAdmin(c *admin.Command) error {
	c.Server, c.Key, c.Output, c.Timeout = s.fleet.control, operatorKey, "table", 5*time.Second
	return s.retry(func() error { return c.Run(s.ctx, s.w) })
}

// retry repeats a step until it succeeds. A step can fail while processes are still
// starting or do not have the latest configuration yet. When the time limit is
// reached, retry returns the last error.
func (s *session) retry(step func() error) error {
	for {
		err := step()
		if err == nil {
			return nil
		}
		select {
		case <-s.ctx.Done():
			return err
		case <-time.After(retryInterval):
		}
	}
}

func (s *session) configure() error {
	leon, puebla := regionLeon, regionPuebla
	puts := []*admin.PutCommand{
		{DataCentre: &admin.PutDataCentre{ID: admin.ID{ID: regionLeon + "-1"}, Region: &leon}},
		{DataCentre: &admin.PutDataCentre{ID: admin.ID{ID: regionPuebla + "-1"}, Region: &puebla}},
		{Model: &admin.PutModel{ID: admin.ID{ID: model}, Versions: []string{"1"}}},
		{Service: &admin.PutService{ID: admin.ID{ID: service}}},
		{Account: &admin.PutAccount{ID: admin.ID{ID: "bench"}, AddKeys: []string{callerKey}}},
	}
	for _, p := range puts {
		if err := s.runAdmin(&admin.Command{Put: p}); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) takeOut() error {
	name := &admin.NameCommand{Kind: "data-centre", Name: regionLeon + "-1"}
	if err := s.runAdmin(&admin.Command{TakeOut: name}); err != nil {
		return err
	}
	// The change takes effect on all processes within 3 s.
	select {
	case <-time.After(3 * time.Second):
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
	return s.streamAnswer()
}

func (s *session) bringBack() error {
	return s.runAdmin(&admin.Command{BringBack: &admin.NameCommand{Kind: "data-centre", Name: regionLeon + "-1"}})
}

func (s *session) streamAnswer() error {
	return s.retry(func() error {
		text, err := s.stream()
		if err == nil {
			fmt.Fprintf(s.w, "answer of %d tokens, each once and in order: %s\n", answerTokens, text)
		}
		return err
	})
}

func (s *session) post(entry int, path, key string, body any) (*http.Response, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(s.ctx, http.MethodPost, "http://"+s.fleet.entries[entry]+path, bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+callerKey)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	client := &http.Client{Transport: &answer.Transport{Next: http.DefaultTransport}}
	return client.Do(r)
}

// stream requests a streamed answer and checks that it is complete.
func (s *session) stream() (string, error) {
	res, err := s.post(0, "/v1/completions", "", map[string]any{
		"model": model, "prompt": "Which needle fits a worn cartridge?", "stream": true, "test_length": answerTokens,
	})
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(res.Body)
		return "", fmt.Errorf("status %d: %s", res.StatusCode, b)
	}
	var text strings.Builder
	next := serving.TokenIndex(0)
	scanner := bufio.NewScanner(res.Body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			break
		}
		var f generation.Frame
		if err := json.Unmarshal([]byte(data), &f); err != nil || f.Index != next {
			return "", fmt.Errorf("frame %d is %s", next, data)
		}
		text.WriteString(f.Token)
		next++
	}
	if next != answerTokens {
		return "", fmt.Errorf("%d tokens instead of %d", next, answerTokens)
	}
	return text.String(), scanner.Err()
}

// orderTwice sends an order with the same key to each of the two entries.
func (s *session) orderTwice() error {
	for i := range s.fleet.entries {
		err := s.retry(func() error {
			res, err := s.post(i, "/v1/services/"+service+"/reserve", "order-1", map[string]string{"stylus": "N-44"})
			if err != nil {
				return err
			}
			defer res.Body.Close()
			b, err := io.ReadAll(res.Body)
			if err == nil && res.StatusCode != http.StatusOK {
				err = fmt.Errorf("status %d: %s", res.StatusCode, b)
			}
			if err == nil {
				fmt.Fprintf(s.w, "replayed=%q %s\n", res.Header.Get("Idempotency-Replayed"), bytes.TrimSpace(b))
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *Command) printTimeline(w io.Writer, logs []string) error {
	fmt.Fprintf(w, "== the last %d events of all processes\n", timelineEvents)
	if err := (&timelines.Command{Files: logs, Limit: timelineEvents}).Run(w); err != nil {
		return err
	}
	if c.HTML == "" {
		return nil
	}
	f, err := os.Create(c.HTML)
	if err != nil {
		return serving.WrapError(err, serving.KindStorage, "write the time line")
	}
	err = (&timelines.Command{Files: logs, Format: "html"}).Run(f)
	return errors.Join(err, f.Close())
}
