package managed

import (
	"context"
	"errors"
	"time"
)

const (
	// answerStall is the longest time for which nothing of an answer arrives after it has
	// begun. A full link delays a packet by less.
	answerStall = time.Second
	// maxAnswerTime bounds the time from the beginning of an answer to its end. The longest
	// answers, of a few MB, take seconds on the links of small VMs.
	maxAnswerTime = 15 * time.Second
)

// Errors of a call whose answer does not arrive in time.
var (
	errNoAnswer      = errors.New("no answer in time")
	errAnswerStalled = errors.New("answer stalled")
	errAnswerTooSlow = errors.New("answer took too long")
)

// answerWait cancels a call to the store or to another proxy whose answer does not begin in
// time or stops arriving. The limit does not depend on the size of the answer: to cut a long
// one and ask for it again would use more of the link that is too slow for it.
type answerWait struct {
	cancel context.CancelCauseFunc
	// onProgress, which may be nil, is called whenever a part of the answer arrives.
	onProgress func()
	// noAnswer fires unless the answer begins; stalled and tooSlow are started then.
	noAnswer, stalled, tooSlow *time.Timer
}

type answerWaitKey struct{}

// withAnswerWait returns a context for a call whose answer must begin within the given time.
// onProgress, which may be nil, is called whenever a part of it arrives. The returned function
// must be called when the call has ended.
func withAnswerWait(ctx context.Context, begin time.Duration, onProgress func()) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &answerWait{cancel: cancel, onProgress: onProgress}
	w.noAnswer = time.AfterFunc(begin, func() { cancel(errNoAnswer) })
	return context.WithValue(ctx, answerWaitKey{}, w), func() {
		w.stop()
		cancel(context.Canceled)
	}
}

// RecordReceived records that a part of the answer to a call has arrived. Implementations of
// Store and Peers call it with the context of the call, from one goroutine.
func RecordReceived(ctx context.Context) {
	if w, ok := ctx.Value(answerWaitKey{}).(*answerWait); ok {
		w.received()
	}
}

func (w *answerWait) received() {
	if w.onProgress != nil {
		w.onProgress()
	}
	if w.stalled != nil {
		w.stalled.Reset(answerStall)
		return
	}
	w.noAnswer.Stop()
	w.stalled = time.AfterFunc(answerStall, func() { w.cancel(errAnswerStalled) })
	w.tooSlow = time.AfterFunc(maxAnswerTime, func() { w.cancel(errAnswerTooSlow) })
}

func (w *answerWait) stop() {
	w.noAnswer.Stop()
	if w.stalled != nil {
		w.stalled.Stop()
		w.tooSlow.Stop()
	}
}
