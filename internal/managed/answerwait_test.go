package managed

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against calls that wait for ever: for a source that does not answer, that stops in
// the middle of its answer, or that never ends it; and against a long answer that is cut.
func TestAnswerWait(t *testing.T) {
	const begin = 500 * time.Millisecond
	for _, c := range []struct {
		name string
		// interval is the time between two parts of the answer, count their number.
		interval time.Duration
		count    int
		cause    error
		after    time.Duration
	}{
		{"silent", begin, 0, errNoAnswer, begin},
		{"stalled", begin / 2, 3, errAnswerStalled, begin/2 + 2*begin/2 + answerStall},
		{"endless", answerStall / 2, 1000, errAnswerTooSlow, begin/2 + maxAnswerTime},
	} {
		synctest.Test(t, func(t *testing.T) {
			started := time.Now()
			ctx, stop := withAnswerWait(context.Background(), begin, nil)
			defer stop()
			var took time.Duration
			context.AfterFunc(ctx, func() { took = time.Since(started) })
			time.Sleep(begin / 2)
			for i := 0; i < c.count && ctx.Err() == nil; i++ {
				RecordReceived(ctx)
				time.Sleep(c.interval)
			}
			<-ctx.Done()
			synctest.Wait()
			assert.Equal(t, context.Cause(ctx), c.cause, c.name)
			assert.Equal(t, took, c.after, c.name)
		})
	}
	synctest.Test(t, func(t *testing.T) {
		parts := 0
		ctx, stop := withAnswerWait(context.Background(), begin, func() { parts++ })
		for range int(maxAnswerTime/answerStall) - 1 {
			RecordReceived(ctx)
			time.Sleep(answerStall - time.Millisecond)
		}
		assert.NilError(t, ctx.Err())
		assert.Equal(t, parts, int(maxAnswerTime/answerStall)-1)
		stop()
	})
}
