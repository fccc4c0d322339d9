package capacity

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/sirupsen/logrus"

	"skylarkhinge.dev/skylarkhinge/config"
	"skylarkhinge.dev/skylarkhinge/core/docsync"
	"skylarkhinge.dev/skylarkhinge/internal/documents"
	"skylarkhinge.dev/skylarkhinge/internal/proxy"
)

// databasesPerService is the number of databases in each measured document. The
// design size is 15,000 databases; current services have three each.
const databasesPerService = 3

// measureDocuments returns the memory per applied document at a node that does not
// own the document's databases: the stored value, the decoded document, the
// addresses and the core's copy.
func measureDocuments() Slope {
	return measureSizes("document of three databases in force", "bytes", []int{500, 2_000, 5_000}, func(n int) float64 {
		return retainedMemory(func() any { return newNodeDocuments(n) })
	})
}

// nodeDocuments holds the components of a node that keep documents in memory.
type nodeDocuments struct {
	sync  *docsync.Sync
	table *documents.Table
	proxy *proxy.Proxy
}

// newNodeDocuments returns the state of a node that has applied n documents.
func newNodeDocuments(n int) *nodeDocuments {
	settings := config.DefaultSettings()
	settings.VM, settings.AvailabilityZone = "p1", "a"
	log := logrus.New()
	log.SetOutput(io.Discard)
	nd := &nodeDocuments{proxy: proxy.New(proxy.Options{Settings: &settings, Directory: unavailablePlatform{}, Log: log})}
	nd.sync = docsync.New(docsync.DefaultConfig("p1", "a"), 1)
	nd.table = documents.NewTable(func(d documents.ActiveDocument) {
		if err := nd.proxy.PutDocument(d.Document, d.Revision); err != nil {
			panic(err)
		}
	})
	for i := range n {
		value := documentValue(i)
		service := fmt.Sprintf("service-%05d", i)
		nd.sync.StepWatch(1, docsync.Document{Service: service, Revision: 1, Value: value})
		if err := nd.table.Offer(service, 1, value); err != nil {
			panic(err)
		}
	}
	return nd
}

// documentValue returns the stored value of a document of typical size.
func documentValue(i int) []byte {
	service := fmt.Sprintf("service-%05d", i)
	doc := config.Document{
		Service: service, RetryRatio: 0.2, MaxQueued: 10_000,
		Ranks: []config.Rank{
			{Name: "checkout", Worth: 100, TargetLatency: 250e6, KeptShare: 0.5},
			{Name: "dispatch", Worth: 10, TargetLatency: 1e9, KeptShare: 0.2},
			{Name: "browsing", Worth: 1, TargetLatency: 2e9, KeptShare: 0.1},
		},
		Classes: []config.Class{
			{Name: "order", Rank: "checkout", Access: config.AccessWrite, Ack: config.AckMajority, Ledger: true, Timeout: 5e9, ExpectedCost: 15e6},
			{Name: "lookup", Rank: "checkout", Access: config.AccessRead, Repeatable: true, Timeout: 2e9, ExpectedCost: 5e6},
			{Name: "confirm", Rank: "dispatch", Access: config.AccessWrite, Ack: config.AckPrimary, Timeout: 5e9, ExpectedCost: 15e6},
			{Name: "browse", Rank: "browsing", Access: config.AccessRead, MaxAge: 5e9, Repeatable: true, Timeout: 3e9, ExpectedCost: 5e6},
		},
	}
	for j := range databasesPerService {
		db := config.Database{Name: fmt.Sprintf("%s-db%d", service, j), UpstreamUser: "skylarkhinge", DefaultClass: "lookup", Users: map[string]string{"checkout": "order"}}
		for k := range upstreamsPerDatabase {
			db.Upstreams = append(db.Upstreams, config.Upstream{
				Name: fmt.Sprintf("%s-%d", db.Name, k), Address: fmt.Sprintf("127.1.%d.%d:5432", i%250, k),
				ControlAddress: fmt.Sprintf("127.1.%d.%d:6432", i%250, k), AvailabilityZone: "zone-1", Slots: 5, Connections: 35,
			})
		}
		doc.Databases = append(doc.Databases, db)
	}
	text, err := json.Marshal(documents.Edit{Raw: mustMarshal(&doc), Author: "operator", ID: "0123456789abcdef"})
	if err != nil {
		panic(err)
	}
	return text
}

// mustMarshal panics if doc can't be encoded.
func mustMarshal(doc *config.Document) json.RawMessage {
	text, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	return text
}
