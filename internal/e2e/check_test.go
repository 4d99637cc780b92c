package e2e

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/e2e/history"
	"turmericdrum.org/turmericdrum/pkg/schema"
)

// check stops a workload and checks the guarantees that hold in every scenario.
func (w *workload) check() {
	t := w.c.t
	t.Helper()
	w.stop()
	events := w.c.events()
	errs := []error{
		history.TokensOnce(w.calls),
		history.OwnWholeAnswer(w.calls),
		history.OwnOrderAnswer(w.orders),
		history.RefusedNotRun(w.calls, events),
		history.RefusedOrderNotRun(w.orders, events),
		history.OrdersOnce(events),
		history.ColdLimit(events, coldLimit, w.c.silent),
		history.LeavingGetNoWork(events),
		history.OrdersFenced(events),
		history.InForce(w.allChanges(), w.samples, viewLease),
		history.NeverReverts(w.samples),
	}
	if len(w.ops) > 0 {
		errs = append(errs, history.Linearizable(w.ops), history.AppliedOnce(w.commandIDs()))
	}
	t.Log(w.summary())
	w.keepFailed(errors.Join(errs...))
	assert.NilError(t, errors.Join(errs...))
}

// allChanges lists the accepted changes of the test and of the operators.
func (w *workload) allChanges() []history.Change {
	all := append([]history.Change(nil), w.c.changes...)
	for _, op := range w.ops {
		if op.Outcome == history.Accepted && !op.Read {
			all = append(all, history.Change{Revision: op.Revision, Accepted: op.Answered})
		}
	}
	return all
}

// commandIDs lists the command ids of the change history of control.
func (w *workload) commandIDs() []string {
	w.c.t.Helper()
	var ids []string
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for after := uint64(0); ; {
		res, err := w.c.admin.History(ctx, &schema.HistoryRequest{AfterRevision: after, Limit: 1000})
		assert.NilError(w.c.t, err)
		if len(res.Entries) == 0 {
			return ids
		}
		for _, e := range res.Entries {
			ids = append(ids, e.Change.CommandId)
			after = e.Revision
		}
	}
}

// summary counts what the clients saw, so that a run without faults or without
// work can be told from one that proves something.
func (w *workload) summary() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	done, refusals := 0, map[string]int{}
	for i := range w.calls {
		c := &w.calls[i]
		switch {
		case c.Done:
			done++
		case c.Kind != "":
			refusals[string(c.Kind)+"/"+string(c.Ran)]++
		default:
			refusals["broken"]++
		}
	}
	ran := 0
	for i := range w.orders {
		if w.orders[i].Status == 200 {
			ran++
		}
	}
	changes := map[history.Outcome]int{}
	for i := range w.ops {
		if !w.ops[i].Read {
			changes[w.ops[i].Outcome]++
		}
	}
	return fmt.Sprintf("%d of %d calls whole, %d of %d order attempts answered, %d operations with changes %v, %d samples, others %v",
		done, len(w.calls), ran, len(w.orders), len(w.ops), changes, len(w.samples), refusals)
}

// done counts the whole answers to calls that were invoked after a time.
func (w *workload) done(since time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for i := range w.calls {
		if w.calls[i].Done && w.calls[i].Invoked.After(since) {
			n++
		}
	}
	return n
}

// keepFailed copies the records of a failed check to the folder that KEEP_RECORDS
// names, since the test's own folder is removed.
func (w *workload) keepFailed(err error) {
	dir := os.Getenv("KEEP_RECORDS")
	if err == nil || dir == "" {
		return
	}
	target := filepath.Join(dir, strings.ReplaceAll(w.c.t.Name(), "/", "_"))
	if err := os.CopyFS(target, os.DirFS(w.c.dir)); err != nil {
		w.c.t.Log(err)
	}
}
