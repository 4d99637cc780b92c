package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/settings"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Guards against entries that apply the limits of an account independently. Two
// entries would then allow twice the token rate and twice the requests in progress.
func TestAccountLimitsHoldOverAllEntries(t *testing.T) {
	f := newFleet(t)
	controlAddress := freeAddress(t)
	entries := []string{freeAddress(t), freeAddress(t)}
	cs := &settings.Settings{
		Host: "control-1", DataCentre: "dc-a", Region: "region-a",
		Listen: settings.Address(controlAddress), ClusterKey: clusterKey,
		Control: &settings.Control{
			Data: f.dir + "/control-1", OperatorKeyHash: hexHash(operatorKey),
			Replicas: []settings.Replica{{Host: "control-1", Address: settings.Address(controlAddress)}},
		},
	}
	f.start("control-1", controlAddress, "turmericdrum", "control", "--bootstrap", "--settings", f.writeSettings("control-1", cs))
	for i, address := range entries {
		name := fmt.Sprint("entry-", i)
		es := f.entrySettings(name, address, []string{controlAddress}, entries[1-i])
		f.start(name, address, "turmericdrum", "entry", "--settings", f.writeSettings(name, es))
	}
	f.start("engine-1", "", "standin-engine", "--name", "engine-1", "--data-centre", "dc-a", "--entry", entries[0],
		"--cluster-key", clusterKey, "--model", "guide@1", "--cold-for", "1ms")

	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	op := operator(controlAddress)
	eventually(t, "operator's changes", 20*time.Second, func() error { _, err := putBasics(ctx, op); return err })
	putAccount(ctx, t, op, "slow", "slow-key", &schema.ClientAccount{Weight: 1, MaxInProgress: 2})
	const rate, burst = 100, 200
	putAccount(ctx, t, op, "rated", "rated-key", &schema.ClientAccount{Weight: 1, TokensPerSecond: rate, BurstTokens: burst})
	short := map[string]any{"model": "guide", "prompt": "p", "test_length": 2, "max_tokens": 2}
	for _, address := range entries {
		eventually(t, "entry serves", 20*time.Second, func() error {
			a, err := complete(ctx, address, callerKey, short)
			if err == nil && a.status != http.StatusOK {
				err = fmt.Errorf("status %d: %s", a.status, a.body)
			}
			return err
		})
	}

	t.Run("requests in progress", func(t *testing.T) { checkInProgress(ctx, t, entries, 2) })
	t.Run("tokens", func(t *testing.T) { checkRate(ctx, t, entries, rate, burst) })
}

func putAccount(ctx context.Context, t *testing.T, op schema.Operators, id, key string, a *schema.ClientAccount) {
	t.Helper()
	a.KeyHashes = [][]byte{keyHash(key)}
	res, err := op.Apply(ctx, &schema.Change{
		CommandId: "put-" + id, Operator: "op", IssuedAtMs: time.Now().UnixMilli(),
		Action: &schema.Change_Put{Put: &schema.Object{Kind: schema.ObjectKind_OBJECT_KIND_CLIENT_ACCOUNT, Id: id,
			Spec: &schema.Object_ClientAccount{ClientAccount: a}}},
	})
	assert.NilError(t, err)
	assert.Equal(t, res.Outcome, schema.Outcome_OUTCOME_ACCEPTED, res.Message)
}

// checkInProgress sends more concurrent requests to both entries than the limit permits
// and counts the streams that are open at the same time.
func checkInProgress(ctx context.Context, t *testing.T, entries []string, limit int64) {
	var open, maxOpen, finished atomic.Int64
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			body, _ := json.Marshal(map[string]any{"model": "guide", "prompt": "p", "stream": true, "test_length": 40})
			_ = stream(ctx, entries[i%2], "slow-key", body, func() {
				n := open.Add(1)
				for m := maxOpen.Load(); n > m && !maxOpen.CompareAndSwap(m, n); m = maxOpen.Load() {
				}
			}, func() { open.Add(-1); finished.Add(1) })
		})
	}
	wg.Wait()
	assert.Assert(t, maxOpen.Load() <= limit, "%d at the same time", maxOpen.Load())
	assert.Equal(t, finished.Load(), int64(8))
}

// checkRate sends requests that exceed the token rate by far to both entries and counts
// the tokens that are charged.
func checkRate(ctx context.Context, t *testing.T, entries []string, rate, burst float64) {
	const duration = 8 * time.Second
	var tokens, refused atomic.Int64
	start := time.Now()
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for time.Since(start) < duration {
				a, err := complete(ctx, entries[i%2], "rated-key", map[string]any{"model": "guide", "prompt": "p", "test_length": 20, "max_tokens": 20})
				if err != nil || a.status != http.StatusOK {
					refused.Add(1)
					time.Sleep(50 * time.Millisecond) // Limits the rate of refused requests.
					continue
				}
				tokens.Add(21) // 20 generated tokens and 1 of the prompt.
			}
		})
	}
	wg.Wait()
	elapsed := time.Since(start).Seconds()
	maxTokens := rate*elapsed + burst
	t.Logf("%d tokens in %.1f s, at most %.0f, %d refusals", tokens.Load(), elapsed, maxTokens, refused.Load())
	assert.Assert(t, float64(tokens.Load()) <= maxTokens)
	assert.Assert(t, tokens.Load() > int64(rate*elapsed/3), "less than a third of the rate was used")
	assert.Assert(t, refused.Load() > 0)
}

// stream sends a streaming request and reads its answer. It calls started when the
// response header has arrived and ended when the answer has ended.
func stream(ctx context.Context, address, key string, body []byte, started, ended func()) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", bytesReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return serving.NewError(serving.KindEngineFailed, res.Status)
	}
	started()
	defer ended()
	return (&answer{}).readEvents(res.Body)
}
