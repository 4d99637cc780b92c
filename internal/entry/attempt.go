package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/generation"
)

const (
	// maxAttempts bounds the engines that are tried before the first token.
	maxAttempts = 3
	// firstFrameBound is the wait for a first frame after which a stream counts as
	// stalled; it covers the engine's own queue.
	firstFrameBound = 10 * time.Second
	// resumeWindow bounds the time without progress in which a generation is
	// resumed. Engines cancel a generation without a reader after about 10 s.
	resumeWindow = 15 * time.Second
	// refusedWindow is the same while the engine's host refuses connections: its
	// process has ended, and a restarted one does not have the generation.
	refusedWindow = time.Second
	// heldWindow bounds the time without progress while the engine still answers
	// that it has the generation, as it does for one that was preempted.
	heldWindow = 5 * time.Minute
	// minResumePause and maxResumePause bound the growing pause between resumptions;
	// the first one is immediate.
	minResumePause = 50 * time.Millisecond
	maxResumePause = time.Second
	// maxHeld is the number of frames behind a gap after which the missing ones are read again.
	maxHeld = 4
	// maxForeign is the number of frames of other answers after which a stream counts as crossed.
	maxForeign = 2
	// maxBatch bounds the frames that go to the caller in one write.
	maxBatch = 64
	// cancelTimeout bounds the call that cancels a generation.
	cancelTimeout = 2 * time.Second
)

var (
	errCrossed = errors.New("stream carries another answer")
	errGap     = errors.New("tokens are missing")
)

// attempt is one run of a request on one engine.
type attempt struct {
	request    *serving.Request
	generation serving.GenerationID
	engine     *Engine
	body       []byte
	sequencer  *generation.Sequencer
	parser     frameParser
	// start is empty for a generation that is only resumed here.
	start start
	// noted is the progress that was passed on last.
	noted   serving.TokenIndex
	notedAt time.Duration
	// sent is true once a byte of the request may have left.
	sent atomic.Bool

	frames    []generation.Frame
	lastFrame time.Duration
	failing   bool
	failedAt  time.Duration
	// heldAt is when the engine last answered that it has the generation.
	heldAt     time.Duration
	resumes    int
	firstIndex serving.TokenIndex
}

func newAttempt(r *serving.Request, id serving.GenerationID, n *Engine, body []byte, next serving.TokenIndex) *attempt {
	return &attempt{
		request: r, generation: id, engine: n, body: body, firstIndex: next,
		sequencer: generation.NewSequencer(r.ID, id, next), parser: newFrameParser(r.ID, id),
	}
}

// begin records the start, from which the time to the first token counts.
func (a *attempt) begin(now time.Duration) { a.lastFrame = now }

// produced tells whether a token has arrived.
func (a *attempt) produced() bool { return a.sequencer.Next() > a.firstIndex }

// stallBound is the wait for the next frame after which the stream is opened
// again. It doubles with each resumption without progress, since an engine that
// is slow rather than unreachable is not helped by more resumptions.
func (a *attempt) stallBound() time.Duration {
	bound := firstFrameBound
	if a.produced() {
		bound = a.engine.counters.stallThreshold()
	}
	return min(bound<<min(a.resumes, 4), firstFrameBound)
}

// run starts a generation and follows it.
func (e *Entry) run(ctx context.Context, a *attempt, out answerWriter) error {
	a.begin(e.Clock.Now())
	stream, err := e.startGeneration(ctx, a)
	if err == nil {
		return e.follow(ctx, a, stream, out)
	}
	if errors.Is(err, errStalled) && a.sent.Load() {
		// The engine may have got the request, and a second copy would run twice.
		return e.follow(ctx, a, nil, out)
	}
	return err
}

// follow relays a generation, and resumes it by index while the engine still has
// it. Without a stream it begins by resuming.
func (e *Entry) follow(ctx context.Context, a *attempt, stream *frameStream, out answerWriter) error {
	for {
		if stream == nil {
			var err error
			if stream, err = e.reopen(ctx, a); err != nil {
				return err
			}
		}
		err := e.relay(a, stream, out)
		stream.close()
		stream = nil
		if err == nil || ctx.Err() != nil || isCallerError(err) {
			return err
		}
		now := e.Clock.Now()
		a.fail(now)
		if now-max(a.failedAt, a.heldAt) > resumeWindow || now-a.failedAt > heldWindow {
			return serving.WrapError(err, serving.KindGenerationLost, "the engine sends nothing more of the generation").WithRan(serving.DidRun)
		}
		klog.V(1).InfoS("Stream broken", "request", a.request.ID, "generation", a.generation, "engine", a.engine.Engine, "next", a.sequencer.Next(), "err", err)
	}
}

// fail records that the generation makes no progress.
func (a *attempt) fail(now time.Duration) {
	if !a.failing {
		a.failing, a.failedAt = true, now
	}
}

// reopen resumes a generation, with several tries while the engine cannot be reached.
func (e *Entry) reopen(ctx context.Context, a *attempt) (*frameStream, error) {
	for {
		if err := a.pause(ctx); err != nil {
			return nil, err
		}
		if n := e.board.load().Engines[a.engine.Engine]; n != nil && n.Incarnation > a.engine.Incarnation {
			return nil, errGenerationGone
		}
		a.resumes++
		e.metrics.resumes.Add(1)
		stream, err := e.resumeGeneration(ctx, a)
		if err == nil {
			a.heldAt = e.Clock.Now()
			e.events.add(eventResumed, a.request.ID, "engine", string(a.engine.Engine), "next", strconv.FormatInt(int64(a.sequencer.Next()), 10))
			return stream, nil
		}
		if errors.Is(err, errGenerationGone) || ctx.Err() != nil {
			return nil, err
		}
		now := e.Clock.Now()
		a.fail(now)
		window := resumeWindow
		if errors.Is(err, syscall.ECONNREFUSED) {
			window = refusedWindow
		}
		if now-max(a.failedAt, a.heldAt) > window {
			return nil, serving.WrapError(err, serving.KindGenerationLost, "the engine cannot be reached").WithRan(serving.DidRun)
		}
	}
}

// pause waits before a resumption; the first one after progress is immediate.
func (a *attempt) pause(ctx context.Context) error {
	if a.resumes == 0 {
		return ctx.Err()
	}
	t := time.NewTimer(min(minResumePause<<min(a.resumes-1, 10), maxResumePause))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// relay passes frames on until the last one went through.
func (e *Entry) relay(a *attempt, stream *frameStream, out answerWriter) error {
	_, foreignBefore := a.sequencer.Dropped()
	for !a.sequencer.Finished() {
		next := a.sequencer.Next()
		err := a.readBatch(stream)
		if n := int64(a.sequencer.Next() - next); n > 0 {
			e.progress(a, n)
			stream.bound = a.stallBound()
			_, foreignBefore = a.sequencer.Dropped()
			if err := out.write(a, a.frames); err != nil {
				return err
			}
		}
		if err != nil && !a.sequencer.Finished() {
			return err
		}
		if _, foreign := a.sequencer.Dropped(); foreign-foreignBefore > maxForeign {
			return errCrossed
		}
	}
	return nil
}

// readBatch waits for one frame and takes the others that have arrived with it.
func (a *attempt) readBatch(stream *frameStream) error {
	a.frames = a.frames[:0]
	for {
		f, err := stream.next(&a.parser)
		if err != nil {
			return err
		}
		if a.frames, err = a.sequencer.Append(a.frames, f); err != nil {
			return err
		}
		if a.sequencer.HasGap() && a.sequencer.Pending() > maxHeld {
			return errGap
		}
		if a.sequencer.Finished() || len(a.frames) >= maxBatch || !stream.events.Buffered() {
			return nil
		}
	}
}

// progress records n tokens that have just arrived.
func (e *Entry) progress(a *attempt, n int64) {
	now := e.Clock.Now()
	e.metrics.tokens.Add(n)
	e.noteProgress(a, now)
	if a.sequencer.Next() > a.firstIndex+serving.TokenIndex(n) {
		gap := (now - a.lastFrame) / time.Duration(n)
		a.engine.counters.observeGap(gap)
		e.metrics.interToken.observe(gap, n)
	} else if a.firstIndex == 0 {
		e.metrics.firstToken.observe(now-a.lastFrame, 1)
		e.events.add(eventFirstToken, a.request.ID, "engine", string(a.engine.Engine))
	}
	a.lastFrame, a.failing, a.resumes = now, false, 0
}

// abandon cancels a generation that nobody will read, without waiting for it.
func (e *Entry) abandon(a *attempt) {
	if !a.sent.Load() {
		return
	}
	e.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if err := e.cancelGeneration(ctx, a); err != nil {
			klog.V(1).InfoS("Cancel failed", "request", a.request.ID, "generation", a.generation, "engine", a.engine.Engine, "err", err)
		}
	})
}

func (e *Entry) cancelGeneration(ctx context.Context, a *attempt) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodDelete, generationURL(a), nil)
	if err != nil {
		return err
	}
	res, err := e.upstream.Do(r)
	if err != nil {
		return serving.WrapError(err, serving.KindEngineFailed, "cancel generation").WithRan(serving.DidRun)
	}
	defer res.Body.Close()
	if res.StatusCode/100 != 2 {
		return resumeRefusal(res)
	}
	return nil
}
