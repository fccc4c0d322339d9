package proxy

import (
	"cmp"
	"context"
	"slices"

	peerpb "skylarkhinge.dev/skylarkhinge/api/peer/v1"
	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// Status returns the state of this proxy and of the databases that it knows.
func (s *peerServer) Status(ctx context.Context, _ *peerpb.StatusRequest) (*peerpb.StatusResponse, error) {
	p := s.proxy
	var snapshot core.Snapshot
	var revisions map[string]uint64
	err := p.runBetweenTicks(ctx, func(n *core.Node) {
		snapshot = n.Snapshot()
		revisions = n.Revisions()
	})
	if err != nil {
		return nil, err
	}
	response := &peerpb.StatusResponse{
		Vm:               string(snapshot.VM),
		AvailabilityZone: p.options.Settings.AvailabilityZone,
		Draining:         snapshot.Draining,
		Documents:        revisionMessages(revisions),
		Members:          memberMessages(snapshot.Members),
	}
	for i := range snapshot.Databases {
		response.Databases = append(response.Databases, databaseMessage(&snapshot.Databases[i]))
	}
	return response, nil
}

func revisionMessages(revisions map[string]uint64) []*peerpb.DocumentRevision {
	out := make([]*peerpb.DocumentRevision, 0, len(revisions))
	for service, revision := range revisions {
		out = append(out, &peerpb.DocumentRevision{Service: service, Revision: revision})
	}
	slices.SortFunc(out, func(a, b *peerpb.DocumentRevision) int { return cmp.Compare(a.GetService(), b.GetService()) })
	return out
}

func databaseMessage(d *core.DatabaseSnapshot) *peerpb.DatabaseStatus {
	m := &peerpb.DatabaseStatus{
		Database:  string(d.Name),
		Owner:     string(d.Owner),
		OwnedHere: d.OwnedHere,
		Term:      d.Term,
		Primary:   string(d.Primary),
	}
	for i := range d.Upstreams {
		u := &d.Upstreams[i]
		m.Upstreams = append(m.Upstreams, &peerpb.UpstreamStatus{
			Upstream:    string(u.Name),
			Reachable:   u.StatusKnown,
			Log:         positionMessage(u.Status.Log),
			Applied:     positionMessage(u.Status.Applied),
			LagMs:       uint32(u.Lag.Milliseconds()),
			SlotsUsed:   uint32(u.SlotsUsed),
			Connections: uint32(u.Connections),
		})
	}
	for _, r := range d.Ranks {
		m.Ranks = append(m.Ranks, &peerpb.RankStatus{Rank: r.Name, Queued: uint32(r.Queued)})
	}
	return m
}

func positionMessage(p entity.Position) *peerpb.Position {
	return &peerpb.Position{Term: p.Term, Offset: p.Offset}
}
