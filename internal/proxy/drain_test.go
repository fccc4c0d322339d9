package proxy

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/config"
	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/internal/standin/upstream"
)

// Guards against a graceful shutdown that interrupts a request of a busy caller,
// or that never completes because of an idle transaction.
func TestDrainCutsNoRequest(t *testing.T) {
	f := newFleet(t, 2, upstream.Options{ServiceTime: 2 * time.Millisecond})
	for i, p := range f.proxies {
		t.Run(p.name, func(t *testing.T) { f.drainUnderLoad(t, p, i) })
	}
}

// drainUnderLoad drains a proxy while eight callers write and one holds a
// transaction open. Each writer may fail only with 57P01 between two requests.
func (f *fleet) drainUnderLoad(t *testing.T, p *fleetProxy, proxyIndex int) {
	p.options.Settings.DrainTimeout = config.Duration(300 * time.Millisecond)
	holder := f.connect(p, "class", "order")
	tx, err := holder.Begin(testContext(t))
	assert.NilError(t, err)
	var done atomic.Int64
	var callers errgroup.Group
	for i := range 8 {
		conn := f.connect(p, "class", "order")
		callers.Go(func() error {
			for n := 0; ; n++ {
				key := fmt.Sprintf("drain-%d-%d-%d", proxyIndex, i, n)
				_, err := conn.Exec(context.Background(), "INSERT INTO kv (k, v) VALUES ('"+key+"', '1')")
				var pgErr *pgconn.PgError
				if errors.As(err, &pgErr) && pgErr.Code == "57P01" {
					return nil
				}
				if err != nil {
					return fmt.Errorf("request %s: %w", key, err)
				}
				done.Add(1)
			}
		})
	}
	for done.Load() < 50 {
		time.Sleep(time.Millisecond)
	}
	p.Drain()
	assert.NilError(t, callers.Wait())
	select {
	case <-p.serveDone:
	case <-time.After(10 * time.Second):
		t.Fatal("the drain did not end")
	}
	assert.Assert(t, tx.Rollback(context.Background()) != nil)
}

// Guards against an acknowledgement that is sent although the process was paused
// between the tick that decided it and the write to the caller, so that the primary
// may have been replaced since.
func TestStaleAcknowledgementBecomesUnknown(t *testing.T) {
	position := entity.Position{Term: 1, Offset: 7}
	for _, c := range []struct {
		position entity.Position
		age      time.Duration
		want     core.ResultKind
	}{
		{position, maxAcknowledgementAge, core.ResultDone},
		{position, maxAcknowledgementAge + 1, core.ResultUnknown},
		{entity.Position{}, time.Hour, core.ResultDone},
	} {
		a := outcome{result: core.Result{Kind: core.ResultDone, Position: c.position}, tail: []byte("x"), decidedAt: 5}
		a.expireAcknowledgement(entity.Time(5).Add(c.age))
		assert.Equal(t, a.result.Kind, c.want)
		assert.Equal(t, a.tail == nil, c.want == core.ResultUnknown)
	}
}
