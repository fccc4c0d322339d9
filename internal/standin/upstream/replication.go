package upstream

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/peer"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

// Replication uses the control port: the primary opens a stream to each other
// member, finds the last offset at which both logs agree and sends the entries
// after it.
// Messages are gob-encoded in a BytesValue.

// retryInterval is the wait before a replication stream is opened again.
const retryInterval = 20 * time.Millisecond

// maxBatchEntries bounds the entries of one replicationBatch.
const maxBatchEntries = 256

var errReplicationRefused = errors.New("the member refused the replication stream")

// replicationHello is the primary's first message on a stream.
type replicationHello struct {
	Name     string
	Term     uint64
	Promoter string
}

// replicationReply is the follower's response. TermEnds describes its log; see
// state.termEnds.
type replicationReply struct {
	Name     string
	Accepted bool
	TermEnds []Position
}

// replicationBatch replaces the follower's log after offset Keep.
type replicationBatch struct {
	Keep    int
	History []Position
	Entries []Entry
}

const replicationMethod = "/skylarkhinge.standin.v1.Replication/Follow"

type replicationServer interface {
	followStream(grpc.ServerStream) error
}

var replicationDesc = grpc.ServiceDesc{
	ServiceName: "skylarkhinge.standin.v1.Replication",
	HandlerType: (*replicationServer)(nil),
	Streams: []grpc.StreamDesc{{
		StreamName:    "Follow",
		Handler:       func(srv any, stream grpc.ServerStream) error { return srv.(replicationServer).followStream(stream) },
		ServerStreams: true,
		ClientStreams: true,
	}},
}

// messageSender and messageReceiver are the methods that client and server
// streams share.
type messageSender interface{ SendMsg(any) error }
type messageReceiver interface{ RecvMsg(any) error }

func sendGob(to messageSender, message any) error {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(message); err != nil {
		return err
	}
	return to.SendMsg(wrapperspb.Bytes(buffer.Bytes()))
}

func receiveGob(from messageReceiver, message any) error {
	var packet wrapperspb.BytesValue
	if err := from.RecvMsg(&packet); err != nil {
		return err
	}
	return gob.NewDecoder(bytes.NewReader(packet.Value)).Decode(message)
}

// replicationTarget is a member to which the primary of a term replicates.
type replicationTarget struct {
	term    uint64
	address string
}

// replicate starts to send the log to the other members, for as long as this
// member is primary of the term. A second stream to a member would replace the
// first, so each address gets only one.
func (m *Member) replicate(term uint64, addresses []string) {
	for _, address := range addresses {
		target := replicationTarget{term, address}
		m.mu.Lock()
		started := m.replicationTargets[target]
		m.replicationTargets[target] = true
		m.mu.Unlock()
		if !started {
			m.background(func() { m.replicateTo(term, address) })
		}
	}
}

// replicateTo keeps a replication stream to another member open while this
// member is primary of the term.
func (m *Member) replicateTo(term uint64, address string) {
	dialer := func(ctx context.Context, target string) (net.Conn, error) {
		inner, err := (&net.Dialer{}).DialContext(ctx, "tcp", target)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: inner, listener: &listener{freezeGate: &m.freezeGate}}, nil
	}
	client, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(dialer),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second}))
	if err != nil {
		m.log.WithError(err).WithField("peer", address).Error("replication client failed")
		return
	}
	defer func() { _ = client.Close() }()
	for m.isPrimaryOf(term) {
		if ctx, done, ok := m.faults.registerStream(m.ctx); ok {
			err := m.streamLog(ctx, client, term)
			done()
			m.log.WithError(err).WithField("peer", address).Debug("replication stream ended")
		}
		if sleep(m.ctx, retryInterval) != nil {
			return
		}
	}
}

// isPrimaryOf reports whether the member is the primary of the term.
func (m *Member) isPrimaryOf(term uint64) bool {
	m.state.mu.Lock()
	defer m.state.mu.Unlock()
	return m.state.Primary && m.state.Term == term
}

// streamLog runs one replication stream until it fails.
func (m *Member) streamLog(ctx context.Context, client *grpc.ClientConn, term uint64) error {
	stream, err := client.NewStream(ctx, &replicationDesc.Streams[0], replicationMethod)
	if err != nil {
		return err
	}
	m.state.mu.Lock()
	hello := replicationHello{Name: m.Name(), Term: term, Promoter: m.state.Promoter}
	m.state.mu.Unlock()
	if err := sendGob(stream, hello); err != nil {
		return err
	}
	var reply replicationReply
	if err := receiveGob(stream, &reply); err != nil {
		return err
	}
	if !reply.Accepted {
		return errReplicationRefused
	}
	next := int(commonOffset(m.state.termEnds(), reply.TermEnds))
	for first := true; ; first = false {
		batch, err := m.nextBatch(ctx, term, next, first)
		if err != nil {
			return err
		}
		if err := m.faults.waitUnpaused(ctx); err != nil {
			return err
		}
		if err := sendGob(stream, batch); err != nil {
			return err
		}
		next += len(batch.Entries)
	}
}

// nextBatch waits for entries after offset next. The first batch may be empty:
// it truncates the follower's log and carries the history.
func (m *Member) nextBatch(ctx context.Context, term uint64, next int, first bool) (*replicationBatch, error) {
	for {
		m.state.mu.Lock()
		if !m.state.Primary || m.state.Term != term {
			m.state.mu.Unlock()
			return nil, errReplicationRefused
		}
		end := min(len(m.state.Entries), next+maxBatchEntries)
		batch := &replicationBatch{Keep: next}
		batch.Entries = append(batch.Entries, m.state.Entries[next:end]...)
		batch.History = append(batch.History, m.state.History...)
		changed := m.state.changed
		m.state.mu.Unlock()
		if first || len(batch.Entries) > 0 {
			return batch, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// followStream receives the log from a primary.
func (m *Member) followStream(stream grpc.ServerStream) error {
	ctx, done, ok := m.faults.registerStream(stream.Context())
	if !ok {
		return errReplicationRefused
	}
	defer done()
	if remote, ok := peer.FromContext(ctx); ok {
		m.control.markReplication(remote.Addr)
	}
	var hello replicationHello
	if err := receiveGob(stream, &hello); err != nil {
		return err
	}
	streamID, accepted := m.state.follow(hello.Term, hello.Promoter)
	reply := replicationReply{Name: m.Name(), Accepted: accepted, TermEnds: m.state.termEnds()}
	if err := sendGob(stream, reply); err != nil || !accepted {
		return err
	}
	batches := make(chan *replicationBatch)
	failed := make(chan error, 1)
	go func() { failed <- receiveBatches(ctx, stream, batches) }()
	for {
		select {
		case batch := <-batches:
			if err := m.storeBatch(ctx, streamID, batch); err != nil {
				return err
			}
		case err := <-failed:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func receiveBatches(ctx context.Context, stream grpc.ServerStream, to chan<- *replicationBatch) error {
	for {
		batch := &replicationBatch{}
		if err := receiveGob(stream, batch); err != nil {
			return err
		}
		select {
		case to <- batch:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// storeBatch appends each entry once its lag has passed.
func (m *Member) storeBatch(ctx context.Context, streamID int, batch *replicationBatch) error {
	keep := batch.Keep
	entries := batch.Entries
	for first := true; first || len(entries) > 0; first = false {
		if len(entries) > 0 {
			if err := m.faults.waitLag(ctx, entries[0].At); err != nil {
				return err
			}
		}
		due := m.faults.countDue(entries)
		m.freezeGate.wait()
		if ctx.Err() != nil || !m.state.storeEntries(streamID, keep, batch.History, entries[:due]) {
			return errReplicationRefused
		}
		keep += due
		entries = entries[due:]
	}
	return nil
}
