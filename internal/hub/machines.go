package hub

import (
	"context"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/internal/answer"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

const (
	// loadCheckInterval is the time between two load checks of an engine. The time that work
	// takes on a shared machine changes about every 600 ms.
	loadCheckInterval = 250 * time.Millisecond
	// loadCheckTimeout bounds one check. A later answer tells nothing of the present.
	loadCheckTimeout = 150 * time.Millisecond
	// maxLoadChecks bounds the checks of one interval. Beyond it the engines take turns.
	maxLoadChecks = 48
	// maxLoadAnswer bounds what is read of the body of an answer in bytes.
	maxLoadAnswer = 4 << 10
)

// loadCheck is the engine that a check goes to.
type loadCheck struct {
	engine     serving.EngineID
	address    string
	healthPath string
}

// checkMachines asks the engines of this data centre, at which a prompt may break the pace of
// streams, how long work takes on their machines. Their answers to calls tell it too, but each
// engine gives only about one a second, which is longer than a machine is shared at a time.
func (h *Hub) checkMachines(ctx context.Context) {
	if h.Dialect == nil {
		return
	}
	offset := 0
	every(ctx, loadCheckInterval, func() {
		checks := h.loadChecks()
		if len(checks) == 0 {
			return
		}
		var g errgroup.Group
		for i := range min(len(checks), maxLoadChecks) {
			c := checks[(offset+i)%len(checks)]
			g.Go(func() error { h.checkLoad(ctx, c); return nil })
		}
		offset += maxLoadChecks
		_ = g.Wait()
	})
}

// loadChecks returns the engines to ask now.
func (h *Hub) loadChecks() []loadCheck {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	h.refreshPool(now)
	var out []loadCheck
	for _, t := range h.placer.pool.SharedMachines(now, h.DataCentre) {
		if s := h.service(t.Service); s != nil && s.HealthPath != "" {
			out = append(out, loadCheck{engine: t.Engine, address: t.Address, healthPath: s.HealthPath})
		}
	}
	return out
}

// checkLoad asks one engine. An engine that doesn't answer in time changes nothing.
func (h *Hub) checkLoad(ctx context.Context, c loadCheck) {
	ctx, cancel := context.WithTimeout(ctx, loadCheckTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+c.healthPath, nil)
	if err != nil {
		machineChecks.Add("invalid", 1)
		return
	}
	status, header, body, err := h.ask(req)
	if err != nil {
		machineChecks.Add("unanswered", 1)
		level := klog.Level(1)
		if answer.IsMalformed(err) {
			level = 0
		}
		klog.V(level).InfoS("Load check not answered", "engine", c.engine, "address", c.address, "err", err)
		return
	}
	got := h.Dialect.DecodeAnswer(status, header)
	switch id := h.Dialect.DecodeIdentity(status, header, body); {
	case id.Other || id.Engine != "" && id.Engine != c.engine:
		machineChecks.Add("other_engine", 1)
	case !got.HasLoad || got.Load.Factor == 0:
		machineChecks.Add("unknown", 1)
	default:
		machineChecks.Add("answered", 1)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.placer.pool.SetFactor(h.Clock.Now(), c.engine, got.Load.Factor)
	}
}

// ask sends a request to an engine and reads the answer. A body that is cut short counts as far as it
// goes.
func (h *Hub) ask(req *http.Request) (status int, header http.Header, body []byte, err error) {
	res, err := h.client.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer res.Body.Close()
	body, err = io.ReadAll(io.LimitReader(res.Body, maxLoadAnswer))
	if !answer.IsMalformed(err) {
		err = nil
	}
	return res.StatusCode, res.Header, body, err
}
