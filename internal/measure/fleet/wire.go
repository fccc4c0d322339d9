package fleet

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	peerpb "skylarkhinge.dev/skylarkhinge/api/peer/v1"
	"skylarkhinge.dev/skylarkhinge/core/docsync"
	"skylarkhinge.dev/skylarkhinge/core/membership"
)

// Encoded sizes of a tag and of fields with their tag. They are used for the fields of
// core's messages that this file does not copy to a protobuf message.
const (
	sizeBoolField    = 2
	sizeFixed64Field = 9
	sizeTag          = 1
)

// sizeBool returns the encoded size of a bool field.
func sizeBool(set bool) int {
	if set {
		return sizeBoolField
	}
	return 0
}

// sizeFixed64 returns the encoded size of a fixed64 field.
func sizeFixed64(v uint64) int {
	if v != 0 {
		return sizeFixed64Field
	}
	return 0
}

// sizeUint32 returns the encoded size of a uint32 field.
func sizeUint32(v uint32) int {
	if v == 0 {
		return 0
	}
	return sizeTag + protowire.SizeVarint(uint64(v))
}

func encodeMembers(members []membership.MemberState) []*peerpb.MemberState {
	out := make([]*peerpb.MemberState, 0, len(members))
	for _, m := range members {
		out = append(out, &peerpb.MemberState{Vm: string(m.VM), Incarnation: m.Incarnation, Draining: m.Draining})
	}
	return out
}

func sizeHeartbeatRequest(r *membership.HeartbeatRequest) int {
	m := peerpb.HeartbeatRequest{
		Vm: string(r.From), Incarnation: r.Incarnation, Sequence: r.Sequence,
		Members: encodeMembers(r.Members), Draining: r.Draining,
	}
	return proto.Size(&m) + sizeBool(r.Probe) + sizeFixed64(r.Digest)
}

func sizeHeartbeatReply(r *membership.HeartbeatReply) int {
	m := peerpb.HeartbeatResponse{
		Vm: string(r.From), Incarnation: r.Incarnation, Sequence: r.Sequence,
		Members: encodeMembers(r.Members), Draining: r.Draining, GrantMs: uint32(r.Grant.Milliseconds()),
	}
	return proto.Size(&m) + sizeBool(r.AllDatabases)
}

func encodeDocuments(documents []docsync.Document) []*peerpb.Document {
	out := make([]*peerpb.Document, 0, len(documents))
	for _, d := range documents {
		out = append(out, &peerpb.Document{Service: d.Service, Revision: d.Revision, Value: d.Value})
	}
	return out
}

// sizeBuckets returns the encoded size of a repeated message field with an ID and a
// fixed64 digest.
func sizeBuckets(buckets []docsync.Bucket) int {
	n := 0
	for _, b := range buckets {
		n += sizeTag + protowire.SizeBytes(sizeUint32(b.ID)+sizeFixed64(b.Digest))
	}
	return n
}

func sizeDocumentsRequest(r *docsync.Request) int {
	m := peerpb.DocumentsRequest{Vm: string(r.From)}
	for _, v := range r.Revisions {
		m.Revisions = append(m.Revisions, &peerpb.DocumentRevision{Service: v.Service, Revision: v.Revision})
	}
	n := proto.Size(&m) + sizeBuckets(r.Buckets) + sizeUint32(r.Page)
	for _, d := range encodeDocuments(r.Documents) {
		n += sizeTag + protowire.SizeBytes(proto.Size(d))
	}
	leafBytes := 0
	for _, id := range r.Leaves {
		leafBytes += protowire.SizeVarint(uint64(id))
	}
	if leafBytes > 0 {
		n += sizeTag + protowire.SizeBytes(leafBytes)
	}
	return n
}

func sizeDocumentsReply(r *docsync.Reply) int {
	m := peerpb.DocumentsResponse{Newer: encodeDocuments(r.Newer), Wanted: r.Wanted}
	return proto.Size(&m) + sizeBuckets(r.Buckets) + sizeUint32(r.NextPage) + sizeBool(r.More) + sizeBool(r.Unsynced)
}
