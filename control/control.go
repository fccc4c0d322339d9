// Package control is the client of the upstreams' gRPC control service, which reports
// the status of a database group's member, fences it and promotes it to primary.
package control

import (
	"context"
	"sync"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	controlpb "skylarkhinge.dev/skylarkhinge/api/control/v1"
	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// Client calls the control service of one upstream. It is safe for concurrent use.
// Errors carry the step and the upstream.
type Client struct {
	upstream entity.Upstream
	address  string
	mu       sync.Mutex
	// conn is the connection that Status reuses; nil until the first use.
	conn *grpc.ClientConn
}

// NewClient returns a client that connects on first use. The caller must close it.
func NewClient(upstream entity.Upstream, address string) *Client {
	return &Client{upstream: upstream, address: address}
}

// Close closes the reused connection. A later call opens a new one.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		return nil
	}
	err := c.conn.Close()
	c.conn = nil
	return err
}

func (c *Client) dial() (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+c.address, grpc.WithTransportCredentials(insecure.NewCredentials()))
}

// connection returns the reused connection and creates it if there is none.
func (c *Client) connection() (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		return c.conn, nil
	}
	conn, err := c.dial()
	c.conn = conn
	return conn, err
}

// replaceDelay is how long a replaced connection stays open for the calls on it that still
// wait for an answer.
const replaceDelay = time.Second

// replace makes the next call use a new connection instead of one that did not answer in
// time. It may have gone silent, which gRPC does not notice by itself.
func (c *Client) replace(conn *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != conn {
		return
	}
	c.conn = nil
	// The connection is not used again, so the error of closing it means nothing.
	time.AfterFunc(replaceDelay, func() { _ = conn.Close() })
}

func (c *Client) wrapError(step string, err error) error {
	return oops.With("step", step, "peer", string(c.upstream)).Wrap(err)
}

// Status returns the status of the member. With newConnection set it uses a connection
// for this call alone, because the reused one can stop responding while the upstream
// still works.
func (c *Client) Status(ctx context.Context, database entity.Database, newConnection bool) (entity.MemberStatus, error) {
	open := c.connection
	if newConnection {
		open = c.dial
	}
	conn, err := open()
	if err != nil {
		return entity.MemberStatus{}, c.wrapError("dial_control", err)
	}
	if newConnection {
		defer conn.Close()
	}
	request := &controlpb.StatusRequest{Database: string(database)}
	response, err := controlpb.NewUpstreamControlClient(conn).Status(ctx, request)
	if status.Code(err) == codes.DeadlineExceeded && !newConnection {
		c.replace(conn)
	}
	if err != nil {
		return entity.MemberStatus{}, c.wrapError("status", err)
	}
	return memberStatusFromProto(c.upstream, response.GetStatus()), nil
}

// Fence raises the member's term, so that it accepts no writes and no replication from
// lower terms. promoter is the proxy that drives the failover; a member accepts one per
// term. It reports whether the member accepted the term from this promoter.
func (c *Client) Fence(ctx context.Context, database entity.Database, term uint64, promoter string) (bool, entity.MemberStatus, error) {
	conn, err := c.dial()
	if err != nil {
		return false, entity.MemberStatus{}, c.wrapError("dial_control", err)
	}
	defer conn.Close()
	request := &controlpb.FenceRequest{Database: string(database), Term: term, Promoter: promoter}
	response, err := controlpb.NewUpstreamControlClient(conn).Fence(ctx, request)
	if err != nil {
		return false, entity.MemberStatus{}, c.wrapError("fence", err)
	}
	return response.GetAccepted(), memberStatusFromProto(c.upstream, response.GetStatus()), nil
}

// Promote makes the fenced member the primary of the term. members are the control
// addresses of the other members, which replicate from it. It reports whether the member
// accepted the promotion.
func (c *Client) Promote(ctx context.Context, database entity.Database, term uint64, promoter string, members []string) (bool, entity.MemberStatus, error) {
	conn, err := c.dial()
	if err != nil {
		return false, entity.MemberStatus{}, c.wrapError("dial_control", err)
	}
	defer conn.Close()
	request := &controlpb.PromoteRequest{Database: string(database), Term: term, Promoter: promoter, Members: members}
	response, err := controlpb.NewUpstreamControlClient(conn).Promote(ctx, request)
	if err != nil {
		return false, entity.MemberStatus{}, c.wrapError("promote", err)
	}
	return response.GetAccepted(), memberStatusFromProto(c.upstream, response.GetStatus()), nil
}

func memberStatusFromProto(upstream entity.Upstream, s *controlpb.Status) entity.MemberStatus {
	out := entity.MemberStatus{
		Upstream: upstream,
		Primary:  s.GetPrimary(),
		Term:     s.GetTerm(),
		Log:      positionFromProto(s.GetLog()),
		Applied:  positionFromProto(s.GetApplied()),
	}
	for _, h := range s.GetHistory() {
		out.History = append(out.History, entity.TermStart{Term: h.GetTerm(), Offset: h.GetOffset()})
	}
	return out
}

func positionFromProto(p *controlpb.Position) entity.Position {
	return entity.Position{Term: p.GetTerm(), Offset: p.GetOffset()}
}
