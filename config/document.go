package config

import (
	"fmt"
	"time"
)

// Access tells whether the requests of a class write.
type Access string

// The kinds of access.
const (
	AccessRead  Access = "read"
	AccessWrite Access = "write"
)

// AckMode tells what must hold before a write is acknowledged.
type AckMode string

// The acknowledgement modes; core.AckMode describes them.
const (
	AckPrimary  AckMode = "primary"
	AckMajority AckMode = "majority"
)

// Limits of a document.
const (
	// MaxDocumentBytes bounds a document, so that the store's value of 1 MB
	// holds it with a few earlier revisions.
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

// Rank is one level of urgency.
type Rank struct {
	Name string `json:"name"`
	// Worth orders the ranks; the highest is the most urgent.
	Worth int64 `json:"worth"`
	// TargetLatency is the latency aimed for, queue wait included.
	TargetLatency Duration `json:"target_latency"`
	// KeptShare is the part of slot time, 0 to 1, that the rank gets while it has work.
	KeptShare float64 `json:"kept_share"`
}

// Class describes one kind of request.
type Class struct {
	Name   string `json:"name"`
	Rank   string `json:"rank"`
	Access Access `json:"access"`
	// MaxAge is how old the data of a read may be; 0 means that only the
	// primary serves it.
	MaxAge Duration `json:"max_age,omitempty"`
	// Repeatable requests may run more than once. The default is true for
	// reads and false for writes.
	Repeatable bool `json:"repeatable"`
	// Ack is set for writes only.
	Ack AckMode `json:"ack,omitempty"`
	// Ledger records the request id in the caller's transaction.
	Ledger bool `json:"ledger,omitempty"`
	// Timeout is the deadline of requests that declare none.
	Timeout Duration `json:"timeout"`
	// ExpectedCost is the slot time assumed before any was measured.
	ExpectedCost Duration `json:"expected_cost"`
}

// Upstream is one member of a database group.
type Upstream struct {
	Name string `json:"name"`
	// Address is the PostgreSQL listener, ControlAddress the control service.
	Address          string `json:"address"`
	ControlAddress   string `json:"control_address"`
	AvailabilityZone string `json:"availability_zone"`
	// Slots is the number of requests that run at once.
	Slots int `json:"slots"`
	// Connections is the number that the upstream accepts.
	Connections int `json:"connections"`
}

// Database is one database group.
type Database struct {
	Name string `json:"name"`
	// UpstreamUser is the user of the proxy's connections to the upstreams.
	UpstreamUser string     `json:"upstream_user"`
	Upstreams    []Upstream `json:"upstreams"`
	// DefaultClass is the class of users that are not listed.
	DefaultClass string `json:"default_class"`
	// Users maps a user to the name of its class.
	Users map[string]string `json:"users,omitempty"`
}

// Document is what a service's team declares.
type Document struct {
	Service string  `json:"service"`
	Ranks   []Rank  `json:"ranks"`
	Classes []Class `json:"classes"`
	// RetryRatio is the number of retries admitted per first attempt.
	RetryRatio float64 `json:"retry_ratio"`
	// MaxQueued bounds the queued requests of one database.
	MaxQueued int        `json:"max_queued"`
	Databases []Database `json:"databases"`
}

// DecodeDocument reads a document. The error is an *Error with all faults.
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

// elements reads an array of at least one element into a slice.
func elements[T any](d *decoder, target *[]T, high int, read func(path string, n *node, element *T)) valueReader {
	return d.array(1, high, func(_ int, path string, n *node) {
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
			// Fields are read in the order of this list, so the defaults that
			// depend on the access are set before the values given.
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

// users reads an object whose keys are users and whose values are class names.
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
