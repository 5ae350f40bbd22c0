package exchange

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"
)

const (
	// leastSilence and silenceFactor set after which time without progress the
	// link of an idempotent request counts as silent: a connection that
	// something on the way has lost track of never answers, while a slow target
	// takes a few times the usual time of the class.
	leastSilence  = 250 * time.Millisecond
	silenceFactor = 20
	// patience is the part of the deadline after which a link counts as silent
	// for requests that may wait, because their response times differ too much
	// for an average, and while no average is known.
	patience = 4
	// cancelMargin is the time before the deadline at which the target is asked
	// to cancel a request that must not run twice.
	cancelMargin = 500 * time.Millisecond
	// cancelTimeout bounds the question, with opening a connection for it.
	cancelTimeout = 400 * time.Millisecond
	// cancelPath is the path of the cancellation on a target.
	cancelPath = "/fulmarhoist-cancel"
)

// watch ends an attempt that makes no progress. Each part of the body that is
// sent or received counts as progress. The time for which the caller is waited
// for, to send or to take a part, does not count.
//
// For an idempotent request it cancels the attempt, so that another one can
// follow at once. For any other request it asks the target, over a new
// connection and shortly before the deadline, to cancel it; only a confirmation
// that it had not started ends the attempt, and lets it count as not run.
type watch struct {
	ctx      context.Context
	cancel   context.CancelFunc
	limit    time.Duration
	timer    *time.Timer
	asking   chan struct{} // closed when the question has been settled; nil if there is none
	canceled atomic.Bool
	silent   atomic.Bool // the attempt was ended because nothing came
	answered atomic.Bool // the answer has begun
	ended    atomic.Bool
}

func (s *sending) watch(ctx context.Context, attemptID string) *watch {
	w := &watch{}
	w.ctx, w.cancel = context.WithCancel(ctx)
	if s.x.Contract.Terms.Idempotent {
		w.limit = s.silenceLimit()
		w.timer = time.AfterFunc(w.limit, func() {
			w.silent.Store(true)
			w.cancel()
		})
		return w
	}
	left := time.Until(s.x.Contract.Terms.Deadline)
	w.asking = make(chan struct{})
	question := cancellation{
		address: s.permit.Target.Spec.Address, attemptID: attemptID, bootID: s.set.BootID(s.link),
	}
	w.timer = time.AfterFunc(left-min(cancelMargin, left/4), func() {
		defer close(w.asking)
		if question.confirmed() {
			w.canceled.Store(true)
			w.cancel()
		}
	})
	return w
}

// silenceLimit returns the time without progress after which the link counts as
// silent.
func (s *sending) silenceLimit() time.Duration {
	long := max(leastSilence, s.x.Contract.Terms.Deadline.Sub(s.began)/patience)
	usual, known := s.x.Service.Durations.Usual(s.x.Contract.Terms.Class)
	if !known || s.x.Demand.Rank != 0 {
		return long
	}
	return max(leastSilence, silenceFactor*max(usual, s.permit.Target.ExpectedDelay(s.began)))
}

// expect starts the time for which the target may be silent.
func (w *watch) expect() {
	if w.limit > 0 {
		w.timer.Reset(w.limit)
	}
}

// hold stops that time while the caller is waited for.
func (w *watch) hold() {
	if w.limit > 0 {
		w.timer.Stop()
	}
}

// end stops the watch and tells whether the target confirmed that the request
// did not run and never will.
func (w *watch) end() (canceled bool) {
	if w.ended.Swap(true) {
		return w.canceled.Load()
	}
	if !w.timer.Stop() && w.asking != nil {
		<-w.asking
	}
	w.cancel()
	return w.canceled.Load()
}

// observe watches the body of the request, which is read from the caller.
func (w *watch) observe(request *http.Request) {
	if request.Body != nil && w.limit > 0 {
		request.Body = &outgoingBody{request.Body, w}
	}
}

type outgoingBody struct {
	io.ReadCloser
	watch *watch
}

func (b *outgoingBody) Read(p []byte) (int, error) {
	// A target may answer before it has read the whole body.
	if !b.watch.answered.Load() {
		b.watch.hold()
		defer func() {
			if !b.watch.answered.Load() {
				b.watch.expect()
			}
		}()
	}
	return b.ReadCloser.Read(p)
}

// body watches the body of the answer, and ends the watch with it.
func (w *watch) body(answer io.ReadCloser) io.ReadCloser {
	w.answered.Store(true)
	w.hold()
	return &incomingBody{answer, w}
}

type incomingBody struct {
	io.ReadCloser
	watch *watch
}

func (b *incomingBody) Read(p []byte) (int, error) {
	b.watch.expect()
	defer b.watch.hold()
	return b.ReadCloser.Read(p)
}

func (b *incomingBody) Close() error {
	err := b.ReadCloser.Close()
	b.watch.end()
	return err
}

// cancellation is the question to a target to cancel an attempt.
type cancellation struct {
	address   string
	attemptID string
	bootID    string // of the process that the attempt was sent to
}

// confirmed asks over a new connection. The result is true only if the process
// that the attempt was sent to says that it had not started. One that started
// later at the same address has never seen the attempt, and its word says
// nothing about the process before it.
func (c *cancellation) confirmed() bool {
	if c.bootID == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	transport := &http.Transport{DialContext: (&net.Dialer{}).DialContext, DisableKeepAlives: true}
	request := &http.Request{
		Method: http.MethodPost,
		URL:    &url.URL{Scheme: "http", Host: c.address, Path: cancelPath},
		Header: http.Header{headerAttemptID: {c.attemptID}},
	}
	response, err := transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK && response.Header.Get(headerNotRun) != "" &&
		response.Header.Get(headerBootID) == c.bootID
}
