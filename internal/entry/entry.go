package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/internal/ingress"
	"turmericdrum.org/turmericdrum/internal/settings"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
	"turmericdrum.org/turmericdrum/pkg/serving/generation"
)

// drainPollInterval is the interval at which a draining entry checks for requests in
// progress.
const drainPollInterval = 20 * time.Millisecond

// Entry is an entry process. Create it with [New] and start it with [Entry.Run].
type Entry struct {
	Settings *settings.Settings
	Clock    serving.Clock
	*Clients

	listener *ingress.Listener
	board    *board
	eventLog *EventLog
	signer   *generation.Signer
	claims   schema.Claims
	settler  *settler
	metrics  *metrics
	retries  *retryBudget
	// viewSource is the address that last answered a view poll in time. Only the poll
	// goroutine uses it.
	viewSource string
	// scheduler is the dispatcher, except in tests.
	scheduler  scheduler
	dispatcher *dispatcher
	prompts    prompts
	// incarnation is the wall-clock time at the start in nanoseconds, because an entry
	// keeps no state on disk.
	incarnation serving.Incarnation
	// holder identifies this run of the process as the holder of claims.
	holder string
	// notReady makes the readiness probe fail; draining also refuses new requests.
	notReady atomic.Bool
	draining atomic.Bool
	// active counts the callers' requests in progress.
	active atomic.Int64
	// background counts calls to engines that continue after their caller has left.
	background sync.WaitGroup
}

// New returns an entry that is not running yet.
func New(s *settings.Settings, clock serving.Clock, eventLog *EventLog, clients *Clients, claims schema.Claims) *Entry {
	self := selfMember(s)
	e := &Entry{
		Settings: s, Clock: clock, Clients: clients,
		board: newBoard(clock, self, eventLog), eventLog: eventLog, claims: claims,
		signer: generation.NewSigner(s.Entry.ResumeKey), settler: newSettler(),
		metrics: newMetrics(), retries: newRetryBudget(),
		holder: fmt.Sprintf("%s/%d", s.Host, self.Incarnation), incarnation: self.Incarnation,
	}
	e.dispatcher = newDispatcher(e, self.Incarnation)
	e.scheduler = e.dispatcher
	e.listener = e.newListener()
	e.prompts.clock = clock
	return e
}

// Run serves until ctx ends, then drains: the entry reports that it is not ready,
// refuses new requests, and returns once every request in progress has ended.
func (e *Entry) Run(ctx context.Context) error {
	if err := e.listener.Listen(string(e.Settings.Listen)); err != nil {
		failed := serving.AsError(err)
		failed.Remedy = "free the address, or change listen in the settings"
		return failed
	}
	e.warnIfServingExpiredViews()
	background, stop := context.WithCancel(context.Background())
	defer stop()
	g, _ := errgroup.WithContext(background)
	g.Go(func() error { e.board.run(background); return nil })
	g.Go(func() error { e.eventLog.run(background); return nil })
	g.Go(func() error { e.pollViews(background); return nil })
	g.Go(func() error { e.exchangeMembership(background); return nil })
	g.Go(func() error { e.dispatcher.run(background); return nil })
	g.Go(func() error {
		e.prompts.run(background, func() map[serving.EngineID]*Engine { return e.board.load().Engines })
		return nil
	})
	g.Go(func() error { e.enginePool.Run(background); return nil })

	server := e.newServer()
	g.Go(func() error {
		if err := server.Serve(e.listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	klog.InfoS("Entry started", "host", e.Settings.Host, "listen", e.Settings.Listen)
	<-ctx.Done()
	e.drain(server)
	stop()
	return g.Wait()
}

// selfMember returns the membership record of an entry that starts now.
func selfMember(s *settings.Settings) engine.Member {
	return engine.Member{
		ID: string(s.Host), Address: string(s.Advertise),
		DataCentre: s.DataCentre, Region: s.Region,
		Incarnation: serving.Incarnation(time.Now().UnixNano()),
	}
}

// drain waits DrainNotice so that the load balancer sees the failed readiness probe,
// then waits for every request to end. The listener stays open in the meantime, so that
// callers can resume streams in progress.
func (e *Entry) drain(server *http.Server) {
	klog.InfoS("Entry draining", "host", e.Settings.Host)
	e.eventLog.add(eventDraining, "")
	e.notReady.Store(true)
	time.Sleep(e.Settings.Entry.DrainNotice.Duration)
	e.draining.Store(true)
	for e.active.Load() > 0 {
		time.Sleep(drainPollInterval)
	}
	if err := server.Shutdown(context.Background()); err != nil {
		klog.ErrorS(err, "Shutdown failed")
	}
	e.background.Wait()
	e.settler.drain(drainSettleTimeout)
	e.eventLog.add(eventDrained, "")
	klog.InfoS("Entry drained", "host", e.Settings.Host)
}

// countActive counts the callers' requests in progress. Once the entry is not ready it
// closes each connection after its response, so that a load balancer sends no further
// requests over it.
func (e *Entry) countActive(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.active.Add(1)
		defer e.active.Add(-1)
		if e.notReady.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
