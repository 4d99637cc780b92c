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

// stopAndCheck stops a workload and checks the guarantees that hold in every scenario.
func (w *workload) stopAndCheck() {
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
		history.ColdLimit(events, coldLimit, w.c.silentCold),
		history.LeavingGetNoWork(events),
		history.OrdersFenced(events),
		history.InForce(w.acceptedChanges(), w.samples, viewLease),
		history.NeverReverts(w.samples),
	}
	if len(w.ops) > 0 {
		errs = append(errs, history.Linearizable(w.ops), history.AppliedOnce(w.commandIDs()))
	}
	t.Log(w.summary())
	w.copyRecordsOnFailure(errors.Join(errs...))
	assert.NilError(t, errors.Join(errs...))
}

// acceptedChanges lists the accepted changes of the test and of the workload's operators.
func (w *workload) acceptedChanges() []history.Change {
	all := append([]history.Change(nil), w.c.changes...)
	for _, op := range w.ops {
		if op.Outcome == history.Accepted && !op.Read {
			all = append(all, history.Change{Revision: op.Revision, Accepted: op.Answered})
		}
	}
	return all
}

// commandIDs lists the command ids in the change history of the control replicas.
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

// summary counts the results of the clients. The log of a passed test thereby shows
// whether the clients did any work and whether the faults affected them.
func (w *workload) summary() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	done, incomplete := 0, map[string]int{}
	for i := range w.calls {
		c := &w.calls[i]
		switch {
		case c.Done:
			done++
		case c.Kind != "":
			incomplete[string(c.Kind)+"/"+string(c.Ran)]++
		default:
			incomplete["connection broken"]++
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
	return fmt.Sprintf("%d of %d calls complete, %d of %d order attempts answered, %d operations (outcomes of changes: %v), %d samples, incomplete calls: %v",
		done, len(w.calls), ran, len(w.orders), len(w.ops), changes, len(w.samples), incomplete)
}

// completedSince counts the complete answers to calls that were invoked after a time.
func (w *workload) completedSince(since time.Time) int {
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

// copyRecordsOnFailure copies the test's folder with its records to the folder in
// KEEP_RECORDS if a check failed, because the test's folder is removed at its end.
func (w *workload) copyRecordsOnFailure(err error) {
	dir := os.Getenv("KEEP_RECORDS")
	if err == nil || dir == "" {
		return
	}
	target := filepath.Join(dir, strings.ReplaceAll(w.c.t.Name(), "/", "_"))
	if err := os.CopyFS(target, os.DirFS(w.c.dir)); err != nil {
		w.c.t.Log(err)
	}
}
