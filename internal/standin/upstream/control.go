package upstream

import (
	"context"

	controlpb "skylarkhinge.dev/skylarkhinge/api/control/v1"
)

// controlServer implements the control service of a member.
type controlServer struct {
	controlpb.UnimplementedUpstreamControlServer
	member *Member
}

// Status returns the member's role, term, positions and history.
func (s *controlServer) Status(context.Context, *controlpb.StatusRequest) (*controlpb.StatusResponse, error) {
	return &controlpb.StatusResponse{Status: s.status()}, nil
}

// Fence raises the member's term on behalf of a promoter.
func (s *controlServer) Fence(_ context.Context, request *controlpb.FenceRequest) (*controlpb.FenceResponse, error) {
	accepted := s.member.Fence(request.Term, request.Promoter)
	return &controlpb.FenceResponse{Accepted: accepted, Status: s.status()}, nil
}

// Promote makes the member the primary of the term in which it was fenced.
func (s *controlServer) Promote(_ context.Context, request *controlpb.PromoteRequest) (*controlpb.PromoteResponse, error) {
	accepted := s.member.Promote(request.Term, request.Promoter, request.Members)
	return &controlpb.PromoteResponse{Accepted: accepted, Status: s.status()}, nil
}

func (s *controlServer) status() *controlpb.Status {
	status := s.member.Status()
	out := &controlpb.Status{
		Upstream: status.Name,
		Primary:  status.Primary,
		Term:     status.Term,
		Log:      &controlpb.Position{Term: status.Log.Term, Offset: status.Log.Offset},
		Applied:  &controlpb.Position{Term: status.Applied.Term, Offset: status.Applied.Offset},
	}
	for _, start := range status.History {
		out.History = append(out.History, &controlpb.TermStart{Term: start.Term, Offset: start.Offset})
	}
	return out
}
