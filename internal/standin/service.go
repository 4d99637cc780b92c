package standin

import (
	"net/http"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// CallAnswer is the answer to a call of a plain service and to a lookup of a key. Status
// is not_run, in_progress or ran. Ran is the number of completed runs of the key.
type CallAnswer struct {
	Key    string           `json:"key"`
	Path   string           `json:"path,omitempty"`
	Status string           `json:"status"`
	Ran    int              `json:"ran"`
	Engine serving.EngineID `json:"engine"`
}

// call runs one call. It does not deduplicate by key, so the record shows each repeated run.
func (e *Engine) call(w http.ResponseWriter, r *http.Request) {
	if err := e.refusal(); err != nil {
		reply(w, nil, err)
		return
	}
	if e.faultApplies("die_before") {
		e.crash()
		panic(http.ErrAbortHandler)
	}
	key, path := r.Header.Get("Idempotency-Key"), r.PathValue("path")
	e.mu.Lock()
	e.activeCalls++
	e.mu.Unlock()
	defer e.endCall()
	e.recordCall("call_started", key, path)
	e.mu.Lock()
	latency := max(0, e.Latency)
	if f, ok := e.fault("slow"); ok {
		latency = time.Duration(float64(latency) * f.Factor)
	}
	e.mu.Unlock()
	// A started call runs to its end even if its caller disconnects.
	time.Sleep(latency)
	e.recordCall("call_ran", key, path)
	if e.faultApplies("die_after") {
		e.crash()
		panic(http.ErrAbortHandler)
	}
	e.delayAnswer(r)
	a := e.lookup(key)
	a.Path = path
	reply(w, a, nil)
}

func (e *Engine) endCall() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.activeCalls--
}

// recordCall records an event of a call. Unlike recordGeneration, it locks e.mu itself.
func (e *Engine) recordCall(event, key, path string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ev := e.event(event)
	ev.Key, ev.Path = key, path
	e.record(ev)
}

// lookup counts the runs of a key in the record. Services that share a record file therefore
// also count the runs of each other and of earlier incarnations.
func (e *Engine) lookup(key string) CallAnswer {
	a := CallAnswer{Key: key, Status: "not_run", Engine: e.Name}
	started := 0
	for _, ev := range e.Record.Events() {
		switch {
		case ev.Key == key && ev.Event == "call_started":
			started++
		case ev.Key == key && ev.Event == "call_ran":
			a.Ran++
		}
	}
	switch {
	case a.Ran > 0:
		a.Status = "ran"
	case started > 0:
		a.Status = "in_progress"
	}
	return a
}
