package metastore

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	platformpb "skylarkhinge.dev/skylarkhinge/api/platform/v1"
)

var errWatchEnded = errors.New("the platform ended the watch")

// Watch implements Store. Each watch opens its own connection to the preferred address.
// If that becomes unavailable, the next call or watch uses the next address.
func (c *Client) Watch(ctx context.Context, prefix string, receive func(WatchEvent) error) error {
	index := c.preferredIndex.Load()
	address := c.endpoints[index%uint64(len(c.endpoints))].address
	receiveErr, err := c.watch(ctx, address, prefix, receive)
	if receiveErr != nil {
		return receiveErr
	}
	if ctx.Err() != nil {
		return callError(ErrUnavailable, "watch", address, ctx.Err())
	}
	kind := classifyError(err, false, false)
	if errors.Is(kind, ErrUnavailable) {
		c.preferredIndex.CompareAndSwap(index, index+1)
	}
	return callError(kind, "watch", address, err)
}

// watch runs one stream. receiveErr is the error that receive returned, err that of the
// stream.
func (c *Client) watch(ctx context.Context, address, prefix string, receive func(WatchEvent) error) (receiveErr, err error) {
	conn, err := c.dial(address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	api := platformpb.NewPlatformClient(conn)
	watchCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	probeDone := make(chan struct{})
	go func() {
		defer close(probeDone)
		cancel(c.probe(watchCtx, api, prefix))
	}()
	// Wait for the probe to end before the connection is closed.
	defer func() { cancel(nil); <-probeDone }()
	stream, err := api.Watch(watchCtx, &platformpb.WatchRequest{Prefix: prefix})
	for err == nil {
		var message *platformpb.WatchEvent
		if message, err = stream.Recv(); err != nil {
			break
		}
		event, eventErr := watchEventFromProto(message, prefix)
		if eventErr != nil {
			return nil, eventErr
		}
		if receiveErr = receive(event); receiveErr != nil {
			return receiveErr, nil
		}
	}
	if cause := context.Cause(watchCtx); cause != nil && ctx.Err() == nil {
		return nil, cause
	}
	if status.Code(err) == codes.Unknown {
		return nil, fmt.Errorf("%w: %w", errWatchEnded, err)
	}
	return nil, err
}

// probe periodically reads a key on the watch's connection and returns an error when the
// connection stops responding. Without it, a dead connection would look like a key that
// does not change.
func (c *Client) probe(ctx context.Context, api platformpb.PlatformClient, key string) error {
	ticker := time.NewTicker(c.options.WatchProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		callCtx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
		_, err := api.Get(callCtx, &platformpb.GetRequest{Key: key})
		cancel()
		if status.Code(err) == codes.DeadlineExceeded {
			return fmt.Errorf("connection of the watch stopped responding: %w", err)
		}
	}
}

func watchEventFromProto(message *platformpb.WatchEvent, prefix string) (WatchEvent, error) {
	event := WatchEvent{Synced: message.GetCurrent()}
	entry := message.GetEntry()
	if entry.GetKey() == "" {
		return event, nil
	}
	if !strings.HasPrefix(entry.GetKey(), prefix) {
		return event, fmt.Errorf("event for key %q outside of %q", entry.GetKey(), prefix)
	}
	event.Entry = Entry{Key: entry.GetKey(), Value: entry.GetValue(), Revision: orderedRevision(entry.GetEpoch(), entry.GetRevision())}
	return event, nil
}
