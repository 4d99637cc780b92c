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
	"turmericdrum.org/turmericdrum/pkg/serving/quarantine"
)

const (
	// maxAttempts bounds the attempts at one request or call.
	maxAttempts = 3
	// firstFrameTimeout is the time without a first frame after which a stream counts
	// as stalled. It includes the time in the engine's own queue. It is also the upper
	// bound of every stall timeout.
	firstFrameTimeout = 10 * time.Second
	// resumeWindow bounds the time without progress during which a generation is
	// resumed. Engines cancel a generation without a reader after about 10 s.
	resumeWindow = 15 * time.Second
	// refusedResumeWindow applies instead of resumeWindow while the engine's host
	// refuses connections: the engine's process has ended, and a restarted one does not
	// have the generation.
	refusedResumeWindow = time.Second
	// retainedResumeWindow bounds the time without progress while the engine still
	// confirms that it has the generation, for example after a preemption.
	retainedResumeWindow = 5 * time.Minute
	// minResumeBackoff and maxResumeBackoff bound the exponential backoff between
	// resumptions. The first resumption is immediate.
	minResumeBackoff = 50 * time.Millisecond
	maxResumeBackoff = time.Second
	// maxPendingFrames is the number of frames buffered behind a gap above which the
	// missing ones are requested again.
	maxPendingFrames = 4
	// maxForeignFrames is the number of frames of other generations, without one of its
	// own in between, above which a stream counts as mixed up.
	maxForeignFrames = 2
	// maxBatchFrames bounds the frames that are sent to the caller in one write.
	maxBatchFrames = 64
	// cancelTimeout bounds the call that cancels a generation at its engine.
	cancelTimeout = 2 * time.Second
)

var (
	errForeignStream = errors.New("stream has frames of another generation")
	errGap           = errors.New("stream has a gap in its token indexes")
)

// attempt is one run of a request on one engine.
type attempt struct {
	request    *serving.Request
	generation serving.GenerationID
	engine     *Engine
	body       []byte
	sequencer  *generation.Sequencer
	parser     frameParser
	// placement is empty if the generation is only resumed here. Another entry may have
	// started it.
	placement placement
	// reportedIndex is the progress that was last reported to the scheduler; 0 before
	// the first token.
	reportedIndex serving.TokenIndex
	reportedAt    time.Duration
	// sent is true once a byte of the request may have reached the engine.
	sent atomic.Bool

	frames []generation.Frame
	// lastFrameAt is when the last frame arrived, or when the attempt started.
	lastFrameAt time.Duration
	// failing is true if the generation has failed since its last progress. failedAt is
	// the time of the first such failure.
	failing  bool
	failedAt time.Duration
	// retainedAt is when the engine last confirmed that it has the generation.
	retainedAt time.Duration
	// resumes counts the resumptions since the last progress.
	resumes int
	// firstIndex is the index of the first token to relay; 0 unless the attempt was
	// created from a resume token.
	firstIndex serving.TokenIndex
}

func newAttempt(r *serving.Request, id serving.GenerationID, n *Engine, body []byte, next serving.TokenIndex) *attempt {
	return &attempt{
		request: r, generation: id, engine: n, body: body, firstIndex: next,
		sequencer: generation.NewSequencer(r.ID, id, next), parser: newFrameParser(r.ID, id),
	}
}

// begin records the start time. The time to the first token is measured from it.
func (a *attempt) begin(now time.Duration) { a.lastFrameAt = now }

// produced reports whether a token has arrived.
func (a *attempt) produced() bool { return a.sequencer.Next() > a.firstIndex }

// stallTimeout returns the time without a frame after which the stream is opened again.
// It doubles with each resumption without progress, because more resumptions do not
// help an engine that is slow rather than unreachable.
func (a *attempt) stallTimeout() time.Duration {
	timeout := firstFrameTimeout
	if a.produced() {
		timeout = a.engine.counters.stallThreshold()
	}
	return min(timeout<<min(a.resumes, 4), firstFrameTimeout)
}

// runAttempt starts a generation and relays it to the caller.
func (e *Entry) runAttempt(ctx context.Context, a *attempt, out answerWriter) error {
	a.begin(e.Clock.Now())
	stream, err := e.startGeneration(ctx, a)
	if err == nil {
		return e.relayGeneration(ctx, a, stream, out)
	}
	if errors.Is(err, errStalled) && a.sent.Load() {
		// The engine may have received the request. Sending it again could run it twice.
		return e.relayGeneration(ctx, a, nil, out)
	}
	return err
}

// relayGeneration relays a generation to the caller, and resumes it at the next token
// index while the engine still has it. If stream is nil it starts by resuming.
func (e *Entry) relayGeneration(ctx context.Context, a *attempt, stream *frameStream, out answerWriter) error {
	for {
		if stream == nil {
			var err error
			if stream, err = e.reopen(ctx, a); err != nil {
				return err
			}
		}
		err := e.relayStream(a, stream, out)
		logMalformed(a.request.ID, a.engine, err)
		stream.close()
		stream = nil
		if err == nil || ctx.Err() != nil || isCallerError(err) {
			return err
		}
		now := e.Clock.Now()
		a.markFailing(now)
		if now-max(a.failedAt, a.retainedAt) > resumeWindow || now-a.failedAt > retainedResumeWindow {
			return serving.WrapError(err, serving.KindGenerationLost, "the engine sends nothing more of the generation").WithRan(serving.DidRun)
		}
		klog.V(1).InfoS("Stream of generation failed", "request", a.request.ID, "generation", a.generation, "engine", a.engine.Engine, "next", a.sequencer.Next(), "err", err)
	}
}

// markFailing records that the generation makes no progress.
func (a *attempt) markFailing(now time.Duration) {
	if !a.failing {
		a.failing, a.failedAt = true, now
	}
}

// reopen resumes a generation. It retries with backoff while the engine cannot be
// reached.
func (e *Entry) reopen(ctx context.Context, a *attempt) (*frameStream, error) {
	for {
		if err := a.waitResumeBackoff(ctx); err != nil {
			return nil, err
		}
		if n := e.board.load().Engines[a.engine.Engine]; n != nil && n.Incarnation > a.engine.Incarnation {
			return nil, errGenerationGone
		}
		a.resumes++
		e.metrics.resumes.Add(1)
		stream, err := e.resumeGeneration(ctx, a)
		if err == nil {
			a.retainedAt = e.Clock.Now()
			e.eventLog.add(eventResumed, a.request.ID, "engine", string(a.engine.Engine), "next", strconv.FormatInt(int64(a.sequencer.Next()), 10))
			return stream, nil
		}
		if errors.Is(err, errGenerationGone) || ctx.Err() != nil {
			return nil, err
		}
		now := e.Clock.Now()
		a.markFailing(now)
		window := resumeWindow
		if errors.Is(err, syscall.ECONNREFUSED) {
			window = refusedResumeWindow
		}
		if now-max(a.failedAt, a.retainedAt) > window {
			return nil, serving.WrapError(err, serving.KindGenerationLost, "the engine cannot be reached").WithRan(serving.DidRun)
		}
	}
}

// waitResumeBackoff waits before a resumption. The first one after progress is
// immediate.
func (a *attempt) waitResumeBackoff(ctx context.Context) error {
	if a.resumes == 0 {
		return ctx.Err()
	}
	t := time.NewTimer(min(minResumeBackoff<<min(a.resumes-1, 10), maxResumeBackoff))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// relayStream relays frames of one stream until the generation's last frame was sent to
// the caller.
func (e *Entry) relayStream(a *attempt, stream *frameStream, out answerWriter) error {
	_, foreignBefore := a.sequencer.Dropped()
	for !a.sequencer.Finished() {
		next := a.sequencer.Next()
		err := a.readBatch(stream)
		if n := int64(a.sequencer.Next() - next); n > 0 {
			e.recordProgress(a, n)
			stream.timeout = a.stallTimeout()
			_, foreignBefore = a.sequencer.Dropped()
			if err := out.write(a, a.frames); err != nil {
				return err
			}
		}
		if err != nil && !a.sequencer.Finished() {
			return err
		}
		if _, foreign := a.sequencer.Dropped(); foreign-foreignBefore > maxForeignFrames {
			return errForeignStream
		}
	}
	return nil
}

// readBatch waits for one frame and also reads the frames that are already buffered.
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
		if a.sequencer.HasGap() && a.sequencer.Pending() > maxPendingFrames {
			return errGap
		}
		if a.sequencer.Finished() || len(a.frames) >= maxBatchFrames || !stream.events.Buffered() {
			return nil
		}
	}
}

// recordProgress records n tokens that have just arrived.
func (e *Entry) recordProgress(a *attempt, n int64) {
	now := e.Clock.Now()
	e.metrics.tokens.Add(n)
	e.reportProgress(a, now)
	if a.sequencer.Next() > a.firstIndex+serving.TokenIndex(n) {
		gap := (now - a.lastFrameAt) / time.Duration(n)
		a.engine.counters.observeGap(gap)
		e.metrics.interToken.observe(gap, n)
	} else if a.firstIndex == 0 {
		e.metrics.firstToken.observe(now-a.lastFrameAt, 1)
		e.eventLog.add(eventFirstToken, a.request.ID, "engine", string(a.engine.Engine))
	}
	if next, sound := a.sequencer.Next(), a.firstIndex+quarantine.SoundEvents; next >= sound && next-serving.TokenIndex(n) < sound {
		e.prompts.recordSound(requestParts(a.request))
	}
	a.lastFrameAt, a.failing, a.resumes = now, false, 0
}

// cancelInBackground cancels a generation that has no reader, without waiting for the
// result.
func (e *Entry) cancelInBackground(a *attempt) {
	if !a.sent.Load() {
		return
	}
	e.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if err := e.cancelGeneration(ctx, a); err != nil {
			klog.V(1).InfoS("Cancelling generation failed", "request", a.request.ID, "generation", a.generation, "engine", a.engine.Engine, "err", err)
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
