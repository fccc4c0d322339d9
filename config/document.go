package config

import (
	"fmt"
	"time"
)

// Access is whether the requests of a class read or write.
type Access string

// The access modes.
const (
	AccessRead  Access = "read"
	AccessWrite Access = "write"
)

// AckMode is the condition under which a write is acknowledged.
type AckMode string

// The acknowledgement modes; core.AckMode describes them.
const (
	AckPrimary  AckMode = "primary"
	AckMajority AckMode = "majority"
)

// Limits of a document. Those without a unit are numbers of list elements or users.
const (
	// MaxDocumentBytes is the maximum size of a document. A value in the store, which
	// may have 1 MB, then has room for a few earlier revisions as well.
	MaxDocumentBytes = 256 << 10
	MaxRanks         = 16
	MaxClasses       = 256
	MaxDatabases     = 512
	MaxUpstreams     = 15
	MaxUsers         = 1024
)

// Defaults of optional fields.
const (
	// DefaultRetryRatio is the number of retries admitted per first attempt.
	DefaultRetryRatio   = 0.2
	DefaultMaxQueued    = 10_000
	DefaultTimeout      = Duration(5 * time.Second)
	DefaultExpectedCost = Duration(10 * time.Millisecond)
)

// Rank is one priority level.
type Rank struct {
	Name string `json:"name"`
	// Worth orders the ranks; the rank with the highest worth is the most urgent.
	Worth int64 `json:"worth"`
	// TargetLatency is the latency target of the rank, including time in the queue.
	TargetLatency Duration `json:"target_latency"`
	// KeptShare is the fraction of slot time, 0 to 1, that is guaranteed to the rank
	// while it has queued requests.
	KeptShare float64 `json:"kept_share"`
}

// Class describes one kind of request.
type Class struct {
	Name   string `json:"name"`
	Rank   string `json:"rank"`
	Access Access `json:"access"`
	// MaxAge is the maximum staleness of the data that a read returns; 0 means that
	// only the primary serves the read.
	MaxAge Duration `json:"max_age,omitempty"`
	// Repeatable is set if a request may run more than once. The default is true
	// for reads and false for writes.
	Repeatable bool `json:"repeatable"`
	// Ack is empty for reads.
	Ack AckMode `json:"ack,omitempty"`
	// Ledger stores the request id in the upstream, in the transaction of the
	// request, so that a second execution is detected.
	Ledger bool `json:"ledger,omitempty"`
	// Timeout is the time limit of requests that declare none.
	Timeout Duration `json:"timeout"`
	// ExpectedCost is the slot time that a request is assumed to take before the
	// cost of any request of the class was measured.
	ExpectedCost Duration `json:"expected_cost"`
}

// Upstream is one member of a database group.
type Upstream struct {
	Name string `json:"name"`
	// Address is the PostgreSQL listener, ControlAddress the gRPC control service.
	Address          string `json:"address"`
	ControlAddress   string `json:"control_address"`
	AvailabilityZone string `json:"availability_zone"`
	// Slots is the maximum number of requests that run concurrently.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections that the upstream accepts.
	Connections int `json:"connections"`
}

// Database is one database group.
type Database struct {
	Name string `json:"name"`
	// UpstreamUser is the user as which the proxy connects to the upstreams.
	UpstreamUser string     `json:"upstream_user"`
	Upstreams    []Upstream `json:"upstreams"`
	// DefaultClass is the class of users that are not listed.
	DefaultClass string `json:"default_class"`
	// Users maps user names to class names.
	Users map[string]string `json:"users,omitempty"`
}

// Document is the configuration of one service: its priority ranks, request classes
// and databases.
type Document struct {
	Service string  `json:"service"`
	Ranks   []Rank  `json:"ranks"`
	Classes []Class `json:"classes"`
	// RetryRatio is the number of retries admitted per first attempt.
	RetryRatio float64 `json:"retry_ratio"`
	// MaxQueued is the maximum number of queued requests of one database.
	MaxQueued int        `json:"max_queued"`
	Databases []Database `json:"databases"`
}

// DecodeDocument decodes and validates a document. The error is an *Error that lists
// the faults.
func DecodeDocument(data []byte) (*Document, error) {
	d := &decoder{}
	if len(data) > MaxDocumentBytes {
		d.faults.add("$", fmt.Sprintf("%d bytes long", len(data)), fmt.Sprintf("at most %d bytes", MaxDocumentBytes))
		return nil, &d.faults
	}
	document := Document{RetryRatio: DefaultRetryRatio, MaxQueued: DefaultMaxQueued}
	if root := parse(data, &d.faults); root != nil {
		d.document(root, &document)
		checkDocument(&document, &d.faults)
	}
	if err := d.faults.errOrNil(); err != nil {
		return nil, err
	}
	return &document, nil
}

func (d *decoder) document(n *node, doc *Document) {
	d.object("$", n,
		field{"service", true, d.text(&doc.Service, nameFormat)},
		field{"ranks", true, elements(d, &doc.Ranks, MaxRanks, d.rank)},
		field{"classes", true, elements(d, &doc.Classes, MaxClasses, d.class)},
		field{"retry_ratio", false, d.number(&doc.RetryRatio, 0, 1)},
		field{"max_queued", false, integer(d, &doc.MaxQueued, 1, 1_000_000)},
		field{"databases", true, elements(d, &doc.Databases, MaxDatabases, d.database)},
	)
}

// elements decodes an array of 1 to maxLength elements into a slice.
func elements[T any](d *decoder, target *[]T, maxLength int, read func(path string, n *node, element *T)) valueReader {
	return d.array(1, maxLength, func(_ int, path string, n *node) {
		var element T
		read(path, n, &element)
		*target = append(*target, element)
	})
}

func (d *decoder) rank(path string, n *node, r *Rank) {
	d.object(path, n,
		field{"name", true, d.text(&r.Name, nameFormat)},
		field{"worth", true, integer(d, &r.Worth, 1, 1_000_000_000)},
		field{"target_latency", true, d.duration(&r.TargetLatency, Duration(time.Millisecond), Duration(time.Hour))},
		field{"kept_share", false, d.number(&r.KeptShare, 0, 1)},
	)
}

func (d *decoder) class(path string, n *node, c *Class) {
	c.Timeout, c.ExpectedCost = DefaultTimeout, DefaultExpectedCost
	d.object(path, n,
		field{"name", true, d.text(&c.Name, nameFormat)},
		field{"rank", true, d.text(&c.Rank, nameFormat)},
		field{"access", true, func(path string, n *node) {
			enum(d, &c.Access, AccessRead, AccessWrite)(path, n)
			// Fields are decoded in the order of this list, so these defaults are
			// set before the fields that may override them.
			c.Repeatable = c.Access == AccessRead
			if c.Access == AccessWrite {
				c.Ack = AckPrimary
			}
		}},
		field{"max_age", false, d.duration(&c.MaxAge, Duration(time.Millisecond), Duration(24*time.Hour))},
		field{"repeatable", false, d.boolean(&c.Repeatable)},
		field{"ack", false, enum(d, &c.Ack, AckPrimary, AckMajority)},
		field{"ledger", false, d.boolean(&c.Ledger)},
		field{"timeout", false, d.duration(&c.Timeout, Duration(time.Millisecond), Duration(time.Hour))},
		field{"expected_cost", false, d.duration(&c.ExpectedCost, Duration(time.Microsecond), Duration(time.Hour))},
	)
}

func (d *decoder) database(path string, n *node, db *Database) {
	d.object(path, n,
		field{"name", true, d.text(&db.Name, nameFormat)},
		field{"upstream_user", true, d.text(&db.UpstreamUser, userFormat)},
		field{"upstreams", true, elements(d, &db.Upstreams, MaxUpstreams, d.upstream)},
		field{"default_class", true, d.text(&db.DefaultClass, nameFormat)},
		field{"users", false, d.users(&db.Users)},
	)
}

func (d *decoder) upstream(path string, n *node, u *Upstream) {
	d.object(path, n,
		field{"name", true, d.text(&u.Name, nameFormat)},
		field{"address", true, d.address(&u.Address)},
		field{"control_address", true, d.address(&u.ControlAddress)},
		field{"availability_zone", true, d.text(&u.AvailabilityZone, nameFormat)},
		field{"slots", true, integer(d, &u.Slots, 1, 10_000)},
		field{"connections", true, integer(d, &u.Connections, 1, 100_000)},
	)
}

// users decodes an object that maps user names to class names.
func (d *decoder) users(target *map[string]string) valueReader {
	return func(path string, n *node) {
		if n.kind != kindObject || len(n.keys) > MaxUsers {
			d.addInvalid(path, n, fmt.Sprintf("an object of at most %d users with their classes", MaxUsers))
			return
		}
		users := make(map[string]string, len(n.keys))
		for i, user := range n.keys {
			var class string
			if !userFormat.pattern.MatchString(user) {
				d.faults.add(fieldPath(path, user), "a user named "+shorten(quote(user)), "a user name of "+userFormat.allowed)
			}
			d.text(&class, nameFormat)(fieldPath(path, user), n.items[i])
			users[user] = class
		}
		if len(users) > 0 {
			*target = users
		}
	}
}
