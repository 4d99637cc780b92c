package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"turmericdrum.org/turmericdrum/internal/answer"
	"turmericdrum.org/turmericdrum/platform/standin"
)

const (
	// startTimeout limits the time from the start of all processes to the first answers.
	startTimeout = 20 * time.Second
	// recoveryTimeout is the time after the last fault within which calls must be served
	// again. 12 s is the recovery bound of the current deployments.
	recoveryTimeout = 12 * time.Second
	// streamEvents is the length of a stream in events. A stream takes longer than the
	// notice that an engine gets before it is reclaimed.
	streamEvents = 300
	// minModelEngines and minPlainEngines are the numbers of engines of a small deployment.
	// A larger one has an engine of each service for entriesPerEngine entries, which
	// leaves room for the streams of all callers while some engines are down.
	minModelEngines  = 3
	minPlainEngines  = 2
	entriesPerEngine = 8
	// crashingPart is the prompt part with which model engines crash, and crashPause the
	// pause between two calls with it at one entry.
	crashingPart = "dead"
	crashPause   = 700 * time.Millisecond
	// crashingPath is the path of a lookup with which plain engines crash.
	crashingPath = "/look/fatal"
	// unframedEvery is the distance between two engines whose answers have neither a length
	// nor chunks.
	unframedEvery = 3
	// engineRestart is the time until another engine replaces one that crashed.
	engineRestart = time.Second
	// blockedRetryAfter is the least Retry-After of a blocked call. That of a call without
	// an engine is shorter.
	blockedRetryAfter = time.Minute
	// knownCrashes is the number of crashes after which the part has to be blocked.
	knownCrashes = 5
)

// trial is the run of one seed.
type trial struct {
	site      standin.Site
	binary    string
	faultTime time.Duration
	log       *os.File

	// hubs run the control plane; entries run the gateway that callers connect to.
	hubs, entries []*process
	fleet         *standin.Fleet
	operator      *standin.Operator

	mu sync.Mutex
	// links are the proxies in front of the engines, one for each.
	links []*proxy
	// modelEngines run standin.ModelService, oldest first; plainEngines run
	// standin.PlainService.
	modelEngines []*standin.Engine
	plainEngines []*standin.Engine
	engineCount  int
	violations   []string
	// answers holds the answers by request id.
	answers map[string]*standin.Answer
	counts  map[string]int
	// planned is set if only planned work happens. stops holds the times at which each entry
	// was told to stop, and keptCalls the calls on kept connections, in such a trial.
	planned   bool
	stops     map[int][]time.Time
	keptCalls []keptCall
	// ackedVersion is the last version of the configuration that the hubs acknowledged.
	ackedVersion atomic.Uint64
}

// run starts all processes and callers, injects the faults of a seed and checks the guarantees.
func (t *trial) run(seed uint64) error {
	t.fleet, t.answers, t.counts = standin.NewFleet(), map[string]*standin.Answer{}, map[string]int{}
	t.operator = &standin.Operator{Hubs: t.site.ControlAddresses()}
	defer t.stop()
	if err := t.start(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range t.site.Entries {
		wg.Go(func() { t.call(ctx, i, "look") })
		wg.Go(func() { t.call(ctx, i, "order") })
		wg.Go(func() { t.call(ctx, i, "stream") })
		wg.Go(func() { t.callKeepAlive(ctx, i) })
	}
	wg.Go(func() { t.changeConfig(ctx) })
	if t.planned {
		for i := range t.site.Entries {
			for k := range plannedCallers {
				wg.Go(func() { t.callKept(ctx, i, k, rand.New(rand.NewPCG(seed, uint64(i*plannedCallers+k)))) })
			}
		}
	}
	crashing := seed%2 == 0 && !t.planned
	for i := range t.site.Entries {
		if crashing {
			wg.Go(func() { t.callCrashing(ctx, i) })
		}
	}
	random := rand.New(rand.NewPCG(seed, seed))
	if t.planned {
		t.inject(t.plannedSchedule(random))
	} else {
		reclaimCtx, stop := context.WithCancel(ctx)
		if seed%reclaimEvery == 0 {
			wg.Go(func() { t.reclaimInSeries(reclaimCtx) })
		}
		t.inject(t.schedule(random))
		stop()
	}
	t.expectService(recoveryTimeout)
	if crashes := t.fleet.Crashes(); len(crashes) >= knownCrashes {
		t.expectBlocked(recoveryTimeout)
	}
	t.mu.Lock()
	t.counts["engine crashes"] = len(t.fleet.Crashes())
	t.mu.Unlock()
	cancel()
	wg.Wait()
	t.checkRuns()
	t.checkLost()
	return nil
}

// start starts the hubs, entries and engines, puts the first configuration and waits until
// calls are served.
func (t *trial) start() error {
	for i := range t.site.Hubs {
		firstStart := true
		p, err := startProcess(t.binary, "hub", fmt.Sprintf("hub-%d", i), t.site.Folder, func() (string, error) {
			defer func() { firstStart = false }()
			return t.site.WriteHubSettings(i, firstStart)
		})
		if err != nil {
			return err
		}
		t.hubs = append(t.hubs, p)
	}
	for i := range t.site.Entries {
		p, err := startProcess(t.binary, "gateway", fmt.Sprintf("entry-%d", i), t.site.Folder, func() (string, error) { return t.site.WriteEntrySettings(i) })
		if err != nil {
			return err
		}
		t.entries = append(t.entries, p)
	}
	for range max(minModelEngines, t.site.Entries/entriesPerEngine) {
		if err := t.addEngine(standin.ModelService); err != nil {
			return err
		}
	}
	for range max(minPlainEngines, t.site.Entries/entriesPerEngine) {
		if err := t.addEngine(standin.PlainService); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if status, err := t.operator.PutConfig(ctx, standin.ConfigDocument(1)); status != http.StatusOK {
		return fmt.Errorf("the first configuration was answered %d: %w", status, err)
	}
	t.ackedVersion.Store(1)
	t.expectService(startTimeout)
	return nil
}

// addEngine starts an engine behind its own proxy.
func (t *trial) addEngine(service string) error {
	t.mu.Lock()
	t.engineCount++
	id := fmt.Sprintf("e-%d", t.engineCount)
	t.mu.Unlock()
	address := fmt.Sprintf("127.%d.1.%d:8600", t.site.Subnet, t.engineCount)
	link, err := newProxy(address)
	if err != nil {
		return err
	}
	cfg := standin.EngineConfig{ID: id, Service: service, Zone: string(rune('a' + t.engineCount%3)), Listen: address,
		Advertise: link.address(), Hubs: t.site.ControlAddresses(), HeartbeatInterval: 400 * time.Millisecond, CopyTime: 100 * time.Millisecond,
		CrashOnPart: crashingPart, CrashOnPath: crashingPath, RestartTime: engineRestart, Unframed: t.engineCount%unframedEvery == 0}
	var grey *greyEngine
	if service == standin.ModelService && !t.planned && t.engineCount%greyEvery == 0 {
		grey = newGreyEngine(&cfg, uint64(t.site.Subnet*1000+t.engineCount))
	}
	e, err := t.fleet.Start(cfg)
	if err != nil {
		link.close()
		return err
	}
	if grey != nil {
		grey.engine.Store(e)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.links = append(t.links, link)
	if service == standin.ModelService {
		t.modelEngines = append(t.modelEngines, e)
	} else {
		t.plainEngines = append(t.plainEngines, e)
	}
	return nil
}

func (t *trial) stop() {
	for _, p := range append(t.entries, t.hubs...) {
		p.stop()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range append(t.modelEngines, t.plainEngines...) {
		e.Close()
	}
	for _, l := range t.links {
		l.close()
	}
	t.fleet.Close()
}

// caller returns a caller at one entry.
func (t *trial) caller(entry int) *standin.Caller {
	return &standin.Caller{Address: t.site.FrontendAddress(entry), Host: standin.RouteHost, Key: standin.APIKey}
}

// call sends calls of one kind sequentially and records the answers. The kind is "look" for
// lookups, "order", or "stream".
func (t *trial) call(ctx context.Context, entry int, kind string) {
	c := t.caller(entry)
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%d-%d", kind, entry, n)
		var a *standin.Answer
		switch kind {
		case "look":
			a = c.Do(ctx, http.MethodGet, id, standin.LookupPath, nil)
		case "order":
			a = c.Do(ctx, http.MethodPost, id, standin.OrderPath, []byte("order"))
		default:
			c.PromptParts = soundParts
			a = c.Stream(ctx, id, standin.StreamPath, streamEvents)
		}
		t.record(id, kind, a)
		if a.Status != http.StatusOK {
			time.Sleep(max(20*time.Millisecond, min(a.RetryAfter, time.Second)))
		}
	}
}

// callCrashing sends calls that crash engines: streams with one part in common, of which no
// two are alike and which share the other parts with the calls of soundParts, and one lookup
// again and again.
func (t *trial) callCrashing(ctx context.Context, entry int) {
	c := t.caller(entry)
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("crash-%d-%d", entry, n)
		c.PromptParts = fmt.Sprintf("a1:50,%s:20,%x:5", crashingPart, n)
		t.record(id, "crash", c.Stream(ctx, id, standin.StreamPath, streamEvents))
		lookup := fmt.Sprintf("look-crash-%d-%d", entry, n)
		t.record(lookup, "crash look", c.Do(ctx, http.MethodGet, lookup, crashingPath, nil))
		select {
		case <-ctx.Done():
		case <-time.After(crashPause):
		}
	}
}

// soundParts are the parts of the prompts of other streams.
const soundParts = "a1:50,b2:20,c3:5"

// expectBlocked waits until each entry refuses the calls that crash engines. It records a
// violation if that takes longer than limit.
func (t *trial) expectBlocked(limit time.Duration) {
	deadline := time.Now().Add(limit)
	for i := range t.site.Entries {
		c := t.caller(i)
		c.PromptParts = fmt.Sprintf("a1:50,%s:20,ff:5", crashingPart)
		t.expectRefused("a stream with a crashing part", i, deadline, func(ctx context.Context, id string) *standin.Answer { return c.Stream(ctx, id, standin.StreamPath, 1) })
		t.expectRefused("a crashing lookup", i, deadline, func(ctx context.Context, id string) *standin.Answer {
			return c.Do(ctx, http.MethodGet, id, crashingPath, nil)
		})
	}
}

// expectRefused repeats a call until the entry refuses it as blocked.
func (t *trial) expectRefused(what string, entry int, deadline time.Time, call func(ctx context.Context, id string) *standin.Answer) {
	for n := 0; ; n++ {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		id := fmt.Sprintf("look-blocked-%d-%s-%d", entry, what, n)
		a := call(ctx, id)
		cancel()
		if a.Refused() && a.RetryAfter >= blockedRetryAfter && len(t.fleet.Runs(id)) == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.violation("entry %d still sends %s to engines, of which %d crashed, %v after the last fault", entry, what, len(t.fleet.Crashes()), recoveryTimeout)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// record stores an answer and counts it by kind of call, status and completeness.
func (t *trial) record(id, kind string, a *standin.Answer) {
	if a.Mismatch != "" {
		t.violation("%s: %s", id, a.Mismatch)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers[id] = a
	t.counts[fmt.Sprintf("%s %d whole=%t", kind, a.Status, a.Complete)]++
}

// callKeepAlive sends lookups over a connection that is reused until the process at its other
// end closes it.
func (t *trial) callKeepAlive(ctx context.Context, entry int) {
	client := &http.Client{Transport: &answer.Transport{Next: &http.Transport{MaxIdleConnsPerHost: 1}}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	c := t.caller(entry)
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("kept-%d-%d", entry, n)
		a := c.DoWithClient(ctx, client, http.MethodGet, id, standin.LookupPath)
		t.record(id, "kept", a)
		time.Sleep(50 * time.Millisecond)
	}
}

// changeConfig puts new versions of the configuration and checks that no version is refused
// as invalid and that no version older than the last acknowledged one is read back.
func (t *trial) changeConfig(ctx context.Context) {
	for version := uint64(2); ctx.Err() == nil; version += 3 {
		callCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
		status, _ := t.operator.PutConfig(callCtx, standin.ConfigDocument(version))
		if status == http.StatusOK {
			t.ackedVersion.Store(version)
		} else if status/100 == 4 {
			t.violation("version %d was refused with %d", version, status)
		}
		cancel()
		t.readBack(ctx, 3*time.Second)
		time.Sleep(400 * time.Millisecond)
	}
}

// readBack reads the configuration and checks that its version is not older than the last
// acknowledged one. It returns false if there was no answer in time, which is not a violation.
func (t *trial) readBack(ctx context.Context, limit time.Duration) bool {
	ackedVersion := t.ackedVersion.Load()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	version, err := t.operator.ConfigVersion(ctx)
	if err != nil {
		return false
	}
	if version < ackedVersion {
		t.violation("version %d was acknowledged, version %d is read back", ackedVersion, version)
	}
	return true
}

// expectService waits until each entry serves every kind of call and the configuration can
// be read back. It records a violation if that takes longer than limit.
func (t *trial) expectService(limit time.Duration) {
	deadline := time.Now().Add(limit)
	for i := range t.site.Entries {
		for n, served := 0, false; !served; n++ {
			id := fmt.Sprintf("probe-%d-%d-%d", i, n, time.Now().UnixNano())
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			c := t.caller(i)
			served = c.Do(ctx, http.MethodPost, id+"-o", standin.OrderPath, nil).Status == http.StatusOK &&
				c.Do(ctx, http.MethodGet, id+"-l", standin.LookupPath, nil).Status == http.StatusOK && c.Stream(ctx, id+"-s", standin.StreamPath, 10).Complete
			cancel()
			if !served && time.Now().After(deadline) {
				t.violation("entry %d does not serve %v after the last fault", i, limit)
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	if !t.readBack(context.Background(), limit) {
		t.violation("the configuration can't be read back %v after the last fault", limit)
	}
}

// checkRuns compares the answers to callers with the runs that the engines recorded.
func (t *trial) checkRuns() {
	t.mu.Lock()
	answers := t.answers
	t.mu.Unlock()
	for id, a := range answers {
		started, runs := 0, t.fleet.Runs(id)
		if !isLookup(id) {
			t.checkOverlap(id, runs)
		}
		for _, r := range runs {
			if !r.Resumed {
				started++
			}
		}
		atMostOnce := !isLookup(id)
		if atMostOnce && started > 1 {
			t.violation("%s ran %d times", id, started)
		}
		if atMostOnce && a.Refused() && started > 0 {
			t.violation("%s was refused with %d as not run, and ran", id, a.Status)
		}
		if a.Status == http.StatusOK && a.Complete && started == 0 {
			t.violation("%s was answered and never ran", id)
		}
	}
}

// isLookup reports whether the call of an id is a lookup, which may run more than once. Ids
// of lookups start with "look" or "kept".
func isLookup(id string) bool { return id[0] == 'l' || id[0] == 'k' }

// newTrial creates the folder and the log of a seed.
func newTrial(c *Command, seed uint64) (*trial, error) {
	folder := filepath.Join(c.Folder, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(folder, "soak.log"))
	if err != nil {
		return nil, err
	}
	return &trial{site: standin.Site{Subnet: 20 + int(seed%200), Hubs: c.Hubs, Entries: c.Entries, ToleratedDisks: (c.Hubs - 1) / 2, Folder: folder},
		binary: c.Binary, faultTime: c.Time, log: log, planned: c.Planned, stops: map[int][]time.Time{}}, nil
}
