package proxy

import (
	peerpb "skylarkhinge.dev/skylarkhinge/api/peer/v1"
	"skylarkhinge.dev/skylarkhinge/core/docsync"
	"skylarkhinge.dev/skylarkhinge/core/entity"
)

func documentsRequestMessage(q *docsync.Request) *peerpb.DocumentsRequest {
	m := &peerpb.DocumentsRequest{
		Vm:        string(q.From),
		Sequence:  q.Sequence,
		Buckets:   bucketMessages(q.Buckets),
		Leaves:    q.Leaves,
		Documents: documentMessages(q.Documents),
		Page:      q.Page,
	}
	for _, v := range q.Revisions {
		m.Revisions = append(m.Revisions, &peerpb.DocumentRevision{Service: v.Service, Revision: v.Revision})
	}
	return m
}

func documentsRequest(m *peerpb.DocumentsRequest) docsync.Request {
	q := docsync.Request{
		From:      entity.VM(m.GetVm()),
		Sequence:  m.GetSequence(),
		Buckets:   docsyncBuckets(m.GetBuckets()),
		Leaves:    m.GetLeaves(),
		Documents: docsyncDocuments(m.GetDocuments()),
		Page:      m.GetPage(),
	}
	for _, v := range m.GetRevisions() {
		q.Revisions = append(q.Revisions, docsync.Revision{Service: v.GetService(), Revision: v.GetRevision()})
	}
	return q
}

func documentsResponseMessage(r *docsync.Reply) *peerpb.DocumentsResponse {
	return &peerpb.DocumentsResponse{
		Vm:       string(r.From),
		Sequence: r.Sequence,
		Buckets:  bucketMessages(r.Buckets),
		Newer:    documentMessages(r.Newer),
		Wanted:   r.Wanted,
		NextPage: r.NextPage,
		More:     r.More,
		Unsynced: r.Unsynced,
	}
}

func documentsReply(m *peerpb.DocumentsResponse) docsync.Reply {
	return docsync.Reply{
		From:     entity.VM(m.GetVm()),
		Sequence: m.GetSequence(),
		Buckets:  docsyncBuckets(m.GetBuckets()),
		Newer:    docsyncDocuments(m.GetNewer()),
		Wanted:   m.GetWanted(),
		NextPage: m.GetNextPage(),
		More:     m.GetMore(),
		Unsynced: m.GetUnsynced(),
	}
}

// bucketMessages is the inverse of docsyncBuckets.
func bucketMessages(in []docsync.Bucket) []*peerpb.Bucket {
	out := make([]*peerpb.Bucket, 0, len(in))
	for _, b := range in {
		out = append(out, &peerpb.Bucket{Id: b.ID, Digest: b.Digest})
	}
	return out
}

func docsyncBuckets(in []*peerpb.Bucket) []docsync.Bucket {
	out := make([]docsync.Bucket, 0, len(in))
	for _, b := range in {
		out = append(out, docsync.Bucket{ID: b.GetId(), Digest: b.GetDigest()})
	}
	return out
}

// documentMessages is the inverse of docsyncDocuments.
func documentMessages(in []docsync.Document) []*peerpb.Document {
	out := make([]*peerpb.Document, 0, len(in))
	for _, d := range in {
		out = append(out, &peerpb.Document{Service: d.Service, Revision: d.Revision, Value: d.Value})
	}
	return out
}

func docsyncDocuments(in []*peerpb.Document) []docsync.Document {
	out := make([]docsync.Document, 0, len(in))
	for _, d := range in {
		out = append(out, docsync.Document{Service: d.GetService(), Revision: d.GetRevision(), Value: d.GetValue()})
	}
	return out
}
