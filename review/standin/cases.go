package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// startWith starts hubs in all zones, one entry in the first zone, and the engines.
func (d *deployment) startWith(engines ...engineConfig) error {
	if err := d.startSystem(zoneNames, zoneNames[:1], newManifest()); err != nil {
		return err
	}
	for _, cfg := range engines {
		if _, err := d.startEngine(cfg); err != nil {
			return err
		}
	}
	return nil
}

// modelEngines returns the configurations of n model engines, which are spread over the zones.
func modelEngines(d *deployment, n int, like engineConfig) (out []engineConfig) {
	for i := range n {
		cfg := like
		cfg.ID, cfg.Service, cfg.Zone, cfg.Slots = fmt.Sprintf("i-%d", i+1), modelService, zoneNames[i%len(zoneNames)], 24
		cfg.Address = net.JoinHostPort(d.engineIP(i+1), enginePort)
		out = append(out, cfg)
	}
	return out
}

// waitStreams repeats short streams until n were served in a row.
func (d *deployment) waitStreams(c *caller, n, most, hint, events int) error {
	served := 0
	for begin := time.Now(); time.Since(begin) < startLimit; time.Sleep(20 * time.Millisecond) {
		a := c.stream(nil, streamRequest{id: newID(), path: "/draft/x", events: events, most: most, hint: hint, timeout: 10 * time.Second})
		if !a.complete || a.status != http.StatusOK {
			served = 0
			continue
		}
		if served++; served == n {
			return nil
		}
	}
	return fmt.Errorf("streams are not served: %w", errNotServed)
}

// twoRuns: an engine leaves while streams run there, and breaks off two in a hundred of its
// answers. It is one of those that go on with a request whose connection has closed.
func twoRuns(d *deployment) error {
	engines := modelEngines(d, 6, engineConfig{EventMS: 20})
	engines[0].KeepsRunning, engines[0].BrokenOff = true, 0.02
	if err := d.startWith(engines...); err != nil {
		return err
	}
	c := d.caller(0)
	if err := d.waitStreams(c, 20, 2000, 1600, 1); err != nil {
		return err
	}
	d.engines[engines[0].ID].command("garble")
	ranBefore := d.runsAt(engines[0].ID)
	var wg sync.WaitGroup
	// Short streams, as beside the long ones on the sheet, until the engine has answered enough
	// for its share of broken ones.
	for n := 0; n < 600 && d.runsAt(engines[0].ID) < ranBefore+60; n++ {
		wg.Go(func() {
			c.stream(nil, streamRequest{id: newID(), path: "/query/x", events: 3, prompt: 100, most: 48, hint: 12, timeout: 6 * time.Second})
		})
		time.Sleep(8 * time.Millisecond)
	}
	wg.Wait()
	const streams, events = 12, 400
	answers := make([]*answer, streams)
	for i := range streams {
		wg.Go(func() {
			answers[i] = c.stream(nil, streamRequest{id: newID(), path: "/draft/x", events: events, prompt: 2200, most: 2000, hint: 1600, timeout: 39 * time.Second})
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Second)
	leaving := d.engines[engines[0].ID]
	d.logf("planned work: %s leaves", leaving.ID)
	leaving.command("drain")
	// It serves on for drain_ms after the acknowledgement, and a little longer.
	time.AfterFunc(3500*time.Millisecond, leaving.kill)
	wg.Wait()
	twice := 0
	for _, r := range d.reports("goes on") {
		for _, w := range d.reports("works on") {
			if w.ID == r.ID && w.Engine != r.Engine && w.AtMS > r.AtMS+stillAtWork.Milliseconds() {
				twice++
				d.logf("TWICE: %s went on at %s, and %s still works on it %d ms later", r.ID, r.Engine, w.Engine, w.AtMS-r.AtMS)
				break
			}
		}
	}
	whole := 0
	for _, a := range answers {
		if a.complete && len(a.events) == events {
			whole++
		}
	}
	d.logf("%d of %d streams whole, %d went on elsewhere, %d answers were broken off, %d requests ran at two engines", whole, streams, len(d.reports("goes on")),
		len(d.reports("breaks off")), twice)
	if twice > 0 {
		return fmt.Errorf("a request ran at two engines: %w", errBroken)
	}
	if !d.trouble && whole < streams {
		return fmt.Errorf("only %d streams were whole", whole)
	}
	return nil
}

// runsAt returns the number of requests on which an engine has begun to work.
func (d *deployment) runsAt(engine string) (n int) {
	for _, r := range d.reports("runs") {
		if r.Engine == engine {
			n++
		}
	}
	return n
}

// stillAtWork is the time in the rule TWICE.
const stillAtWork = 400 * time.Millisecond

// truncatedStream: one of ten engines is cut off from all machines for some seconds, crashes
// behind the cut and starts again at its address.
func truncatedStream(d *deployment) error {
	engines := modelEngines(d, 10, engineConfig{EventMS: 20, Unframed: true})
	victim := engines[0]
	victim.Advertised = net.JoinHostPort(d.engineIP(101), enginePort)
	cut, err := d.newLink(victim.Advertised, victim.Address)
	if err != nil {
		return err
	}
	engines[0] = victim
	if err := d.startWith(engines...); err != nil {
		return err
	}
	c := d.caller(0)
	if err := d.waitStreams(c, 20, 2000, 1600, 1); err != nil {
		return err
	}
	const streams, events = 30, 300
	answers := make([]*answer, streams)
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() {
			answers[i] = c.stream(nil, streamRequest{id: newID(), path: "/draft/x", events: events, most: 2000, hint: 1200, timeout: 39 * time.Second})
		})
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if d.trouble {
		d.logf("%s is cut off from all machines", victim.ID)
		d.engines[victim.ID].command("mute")
		heal, err := cut.cut()
		if err != nil {
			return err
		}
		time.Sleep(700 * time.Millisecond)
		d.logf("%s crashes behind the cut", victim.ID)
		d.engines[victim.ID].kill()
		time.Sleep(time.Second)
		victim.ID, victim.Muted = "i-1-again", true
		again, err := d.startEngine(victim)
		if err != nil {
			return err
		}
		time.Sleep(1300 * time.Millisecond)
		again.command("unmute")
		heal()
		d.logf("the cut has ended")
	}
	wg.Wait()
	broken, whole := 0, 0
	for _, a := range answers {
		switch {
		case a.status == http.StatusOK && a.complete && len(a.events) < events:
			broken++
			d.logf("MIXED: the stream %s ended as complete after %d of %d events", a.id, len(a.events), events)
		case a.complete && len(a.events) == events:
			whole++
		}
	}
	d.logf("%d of %d streams whole, %d ended as complete before their last event", whole, streams, broken)
	if broken > 0 {
		return fmt.Errorf("an answer that ended early looked complete: %w", errBroken)
	}
	if !d.trouble && whole < streams {
		return fmt.Errorf("only %d streams were whole", whole)
	}
	return nil
}

// spoiledAnswer: one of three engines spoils two in a hundred of its answers: by turns the seal is
// missing, or the answer says that it is encoded.
func spoiledAnswer(d *deployment) error {
	var engines []engineConfig
	for i, zone := range zoneNames {
		engines = append(engines, engineConfig{ID: "i-" + zone, Service: plainService, Zone: zone, Address: net.JoinHostPort(d.engineIP(i+1), enginePort), Slots: 6, WorkMS: 20})
	}
	engines[0].Spoiled = 0.02
	if err := d.startWith(engines...); err != nil {
		return err
	}
	c := d.caller(0)
	if err := d.waitServed(c, "/status/x", 10); err != nil {
		return err
	}
	d.engines[engines[0].ID].command("garble")
	const requests, large = 300, 600_000
	broken, whole := 0, 0
	for i := range requests {
		size := large
		if i%8 == 0 {
			size = 800
		}
		a := c.plain(http.MethodGet, fmt.Sprintf("/status/x?size=%d", size), 2*time.Second)
		switch {
		case a.status/100 == 2 && a.complete && (a.header.Get("X-Turmericdrum-Response-Seal") == "" || a.header.Get("Content-Encoding") != ""):
			broken++
			d.logf("MIXED: the client of %s got status %d, %d bytes, seal %q, encoding %q", a.id, a.status, len(a.body), a.header.Get("X-Turmericdrum-Response-Seal"),
				a.header.Get("Content-Encoding"))
		case a.status/100 == 2 && a.complete:
			whole++
		}
	}
	d.logf("%d of %d requests served, %d of the %d spoiled answers got through as successes", whole, requests, broken, len(d.reports("spoiled")))
	if broken > 0 {
		return fmt.Errorf("a client got a spoiled answer as a success: %w", errBroken)
	}
	if !d.trouble && whole < requests {
		return fmt.Errorf("only %d requests were served", whole)
	}
	return nil
}

// lateStream: the entry's machine gets SIGTERM while a stream runs. A client sends another
// stream on its open connection, whose output is longer than its estimate.
func lateStream(d *deployment) error {
	model := engineConfig{Service: modelService, Zone: zoneNames[0], Slots: 24, EventMS: 20}
	first, second := model, model
	first.ID, first.Address = "i-first", net.JoinHostPort(d.engineIP(1), enginePort)
	second.ID, second.Address = "i-second", net.JoinHostPort(d.engineIP(2), enginePort)
	if err := d.startWith(first, second); err != nil {
		return err
	}
	c := d.caller(0)
	if err := d.waitStreams(c, 40, 2000, 48, 12); err != nil {
		return err
	}
	kept, err := c.dial()
	if err != nil {
		return err
	}
	defer kept.Close()
	if a := c.stream(kept, streamRequest{id: newID(), path: "/draft/x", events: 12, most: 2000, hint: 48, timeout: 39 * time.Second}); !a.complete {
		return errNotServed
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		c.stream(nil, streamRequest{id: newID(), path: "/draft/x", events: 300, most: 2000, hint: 1200, timeout: 39 * time.Second})
	})
	time.Sleep(500 * time.Millisecond)
	begin := time.Now()
	if d.trouble {
		d.logf("planned work: SIGTERM to the entry")
		d.entries[0].signal(syscall.SIGTERM)
		go func() {
			time.Sleep(graceTime)
			d.logf("grace_s is over")
			d.entries[0].signal(syscall.SIGKILL)
		}()
	}
	time.Sleep(3300 * time.Millisecond)
	late := streamRequest{id: newID(), path: "/draft/x", events: 260, most: 2000, hint: 48, timeout: 39 * time.Second}
	sentAfter := time.Since(begin)
	d.logf("client sends %s %v after the signal, on its open connection", late.id, sentAfter.Round(time.Millisecond))
	a := c.stream(kept, late)
	took := time.Since(begin).Round(time.Millisecond)
	// The engine notices the end of the connection with its next event.
	time.Sleep(100 * time.Millisecond)
	ran := d.ran(late.id)
	// The rule excuses a request that was sent no later than 3 s after the signal, one whose
	// engine broke off, and what is cut later than 1 s after grace_s.
	atWork := false
	for _, r := range d.reports("caller left") {
		atWork = atWork || r.ID == late.id
	}
	excused := sentAfter <= 3*time.Second || !atWork || took > graceTime+time.Second || took-sentAfter >= late.timeout
	d.logf("the late stream: ran=%t, status %d, %d of %d events, complete=%t, ended %v after the signal", ran, a.status, len(a.events), late.events, a.complete, took)
	if ran && !a.complete && excused {
		return fmt.Errorf("the cut is one that the rule excuses")
	}
	if ran && !a.complete {
		return fmt.Errorf("a request that was passed on to an engine got no complete answer: %w", errBroken)
	}
	if !d.trouble && len(a.events) != late.events {
		return fmt.Errorf("the stream was not whole")
	}
	return nil
}

// unanswered: one of seven engines is slow, so that the timeout of a route is reached before
// the first event of its streams.
func unanswered(d *deployment) error {
	manifest := newManifest()
	for _, r := range manifest["routes"].([]any) {
		if route := r.(map[string]any); route["name"] == "r-query" {
			route["timeout_ms"] = 4000
		}
	}
	if err := d.startSystem(zoneNames, zoneNames[:1], manifest); err != nil {
		return err
	}
	// A busy engine makes its first event after 1.2 s.
	engines := modelEngines(d, 7, engineConfig{EventMS: 20, FirstMS: 1200})
	for _, cfg := range engines {
		if _, err := d.startEngine(cfg); err != nil {
			return err
		}
	}
	c := d.caller(0)
	if err := d.waitStreams(c, 2, 2000, 1600, 1); err != nil {
		return err
	}
	if d.trouble {
		d.logf("%s works four times as long", engines[0].ID)
		d.engines[engines[0].ID].command("slow")
	}
	const requests = 40
	var mu sync.Mutex
	closed, whole := 0, 0
	var wg sync.WaitGroup
	for range requests {
		wg.Go(func() {
			conn, err := c.dial()
			if err != nil {
				return
			}
			defer conn.Close()
			// A first request makes this a kept connection.
			first := c.send(conn, newID(), http.MethodGet, "/none/x", time.Second, nil, nil)
			a := c.stream(conn, streamRequest{id: newID(), path: "/query/x", events: 3, most: 48, hint: 12, timeout: 6 * time.Second})
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.complete:
				whole++
			case first.complete && a.status == 0 && a.bytes == 0 && d.ran(a.id):
				closed++
				d.logf("LOST: %s ran at a sound engine, and its kept connection was closed without a byte of an answer", a.id)
			}
		})
		time.Sleep(40 * time.Millisecond)
	}
	wg.Wait()
	d.engines[engines[0].ID].command("end slow")
	d.logf("%d of %d requests answered, %d kept connections closed without an answer", whole, requests, closed)
	if closed > 3 {
		return fmt.Errorf("%d kept connections were closed without an answer: %w", closed, errBroken)
	}
	if !d.trouble && whole < requests {
		return fmt.Errorf("only %d requests were answered", whole)
	}
	return nil
}

// ran reports whether an engine has begun to work on a request.
func (d *deployment) ran(id string) bool {
	for _, r := range d.reports("runs") {
		if r.ID == id {
			return true
		}
	}
	return false
}

// lostEngine: one of ten engines is cut off from all machines for five seconds. It is the only
// one of its service in the region in which one of two tenants may be served.
func lostEngine(d *deployment) error {
	if err := d.startWith(modelEngines(d, 7, engineConfig{EventMS: 20})...); err != nil {
		return err
	}
	var cut *link
	var home *engineProcess
	for i, zone := range zoneNames {
		cfg := engineConfig{ID: "i-" + zone, Service: plainService, Zone: zone, Address: net.JoinHostPort(d.engineIP(i+51), enginePort), Slots: 6, WorkMS: 40}
		if zone == "mitt-a" {
			cfg.Advertised = net.JoinHostPort(d.engineIP(i+101), enginePort)
			var err error
			if cut, err = d.newLink(cfg.Advertised, cfg.Address); err != nil {
				return err
			}
		}
		e, err := d.startEngine(cfg)
		if err != nil {
			return err
		}
		if zone == "mitt-a" {
			home = e
		}
	}
	bound, common := d.caller(0), d.caller(0)
	bound.key = homeKey
	for _, c := range []*caller{bound, common} {
		if err := d.waitServed(c, "/status/x", 5); err != nil {
			return err
		}
	}
	const (
		interval = 100 * time.Millisecond
		before   = 4 * time.Second
		cutFor   = 5 * time.Second
		recovery = 12 * time.Second
		after    = 40 * time.Second
	)
	var mu sync.Mutex
	var wg sync.WaitGroup
	asked, served := map[string]int{}, map[string]int{}
	lateAsked, lateServed := map[string]int{}, map[string]int{}
	begin := time.Now()
	send := func(name string, c *caller) {
		for n := 0; time.Since(begin) < before+cutFor+recovery+after; n++ {
			sentAt := time.Since(begin)
			wg.Go(func() {
				a := c.plain(http.MethodGet, "/status/x", 2*time.Second)
				mu.Lock()
				defer mu.Unlock()
				asked[name]++
				isLate := sentAt > before+cutFor+recovery
				if isLate {
					lateAsked[name]++
				}
				if a.status == http.StatusOK && a.complete {
					served[name]++
					if isLate {
						lateServed[name]++
					}
				}
			})
			time.Sleep(interval)
		}
	}
	wg.Go(func() { send("vilo113", bound) })
	wg.Go(func() { send("huka270", common) })
	time.Sleep(before)
	if d.trouble {
		d.logf("%s is cut off from all machines", home.ID)
		home.command("mute")
		heal, err := cut.cut()
		if err != nil {
			return err
		}
		time.Sleep(cutFor)
		heal()
		home.command("unmute")
		d.logf("the cut has ended")
	}
	wg.Wait()
	d.logf("whole run: asked %v, served %v; later than %v after the cut: asked %v, served %v", asked, served, recovery, lateAsked, lateServed)
	all := float64(served["vilo113"]+served["huka270"]) / float64(asked["vilo113"]+asked["huka270"])
	if share := float64(served["vilo113"]) / float64(asked["vilo113"]); share < all/4 {
		return fmt.Errorf("a tenant was served %.3f of its requests, all %.3f: %w", share, all, errBroken)
	}
	return nil
}

// otherWriter: another writer sends check-ins without their version, with the addresses of sound
// engines. They name no engine to use, and the others hold.
func otherWriter(d *deployment) error {
	var engines []engineConfig
	for i, zone := range zoneNames {
		engines = append(engines, engineConfig{ID: "i-" + zone, Service: plainService, Zone: zone, Address: net.JoinHostPort(d.engineIP(i+1), enginePort), Slots: 6, WorkMS: 20})
	}
	if err := d.startWith(engines...); err != nil {
		return err
	}
	c := d.caller(0)
	if err := d.waitServed(c, "/status/x", 5); err != nil {
		return err
	}
	for _, e := range engines {
		if !d.trouble {
			break
		}
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"slots":6,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":%d}`,
			plainService, e.Address, e.Zone, time.Now().UnixMilli())
		r, err := http.NewRequest(http.MethodPut, "http://"+d.controlAddresses()[0]+"/-/instances/x-"+e.ID, strings.NewReader(body))
		if err != nil {
			return err
		}
		res, err := http.DefaultClient.Do(r)
		if err != nil {
			return err
		}
		_ = res.Body.Close()
		d.logf("check-in of another writer %s: status %d", body, res.StatusCode)
	}
	const requests = 100
	served := 0
	for i := range requests {
		if i == requests/2 {
			// The check-ins are not repeated, and their engines are silent by then.
			time.Sleep(45 * time.Second)
		}
		if a := c.plain(http.MethodGet, "/status/x", 2*time.Second); a.status == http.StatusOK && a.complete {
			served++
		}
		time.Sleep(50 * time.Millisecond)
	}
	d.logf("%d of %d requests served", served, requests)
	if served < requests/4 {
		return fmt.Errorf("%d of %d requests were served: %w", served, requests, errBroken)
	}
	return nil
}

// diskLosses: a core machine is replaced as planned: its successor starts first, and the old
// machine gets SIGTERM after the successor has had its time to catch up. Then a manifest is
// acknowledged, and the tolerated number of other machines lose their disks.
func diskLosses(d *deployment) error {
	d.toleratedDisks = 2
	hubZones := []string{zoneNames[0], zoneNames[1], zoneNames[2], zoneNames[0], zoneNames[1]}
	if err := d.startSystem(hubZones, zoneNames[:1], newManifest()); err != nil {
		return err
	}
	time.Sleep(10 * time.Second)
	old, successor := d.hubs[3], &process{name: "hub-6", zone: d.hubs[3].zone, ip: d.ip(6), seeds: d.hubs[0].seeds}
	d.logf("planned work: %s starts, to replace %s", successor.name, old.name)
	if err := d.startHub(successor, false); err != nil {
		return err
	}
	d.hubs = append(d.hubs, successor)
	time.Sleep(2 * catchUpTime)
	d.logf("planned work: SIGTERM to %s, which does not come back", old.name)
	old.signal(syscall.SIGTERM)
	select {
	case <-old.ended:
	case <-time.After(graceTime):
		old.kill()
	}
	d.logf("%s has ended", old.name)
	d.hubs = append(append([]*process{}, d.hubs[:3]...), d.hubs[4:]...)
	manifest := newManifest()
	manifest["version"] = 8
	if err := d.putManifest(manifest); err != nil {
		return err
	}
	if d.trouble {
		lost := d.hubs[:d.toleratedDisks]
		for _, p := range lost {
			d.logf("%s loses its disk", p.name)
			p.kill()
			if err := os.RemoveAll(d.dataFolder(p)); err != nil {
				return err
			}
		}
		time.Sleep(1500 * time.Millisecond)
		for _, p := range lost {
			if err := d.startHub(p, false); err != nil {
				return err
			}
		}
		d.logf("the machines are back, with empty disks")
	}
	time.Sleep(recoveryTime)
	version := uint64(0)
	for begin := time.Now(); time.Since(begin) < 2*contactTime && version == 0; time.Sleep(500 * time.Millisecond) {
		version = d.readManifest()
	}
	manifest["version"] = 9
	err := d.putManifestWithin(manifest, contactTime)
	d.logf("version 8 was acknowledged, version %d is read back; a further manifest: %v", version, err)
	if version < 8 {
		return fmt.Errorf("the acknowledged manifest is gone: %w", errBroken)
	}
	return nil
}

// Times of the pages for losses.
const (
	catchUpTime  = 4 * time.Second
	contactTime  = 4 * time.Second
	recoveryTime = 12 * time.Second
)
