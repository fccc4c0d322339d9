package config

import (
	"fmt"
	"slices"
	"strconv"
)

// OwnerConnectionPercent is the percentage of an upstream's connections that the
// owner, the proxy that runs the database's requests, uses. It is below half, so that
// the next owner can connect before the connections of the previous one are closed.
const OwnerConnectionPercent = 45

// shareTolerance is the accepted rounding error in a sum of shares.
const shareTolerance = 1e-9

// checkDocument checks the rules that involve several fields. It skips fields without
// a value, because the decoder has already reported them.
func checkDocument(doc *Document, faults *Error) {
	checkRanks(doc, faults)
	checkClasses(doc, faults)
	checkDatabases(doc, faults)
}

func checkRanks(doc *Document, faults *Error) {
	names, worths := uniqueValues{}, uniqueValues{}
	sum := 0.0
	for i, rank := range doc.Ranks {
		path := elementPath("$.ranks", i)
		names.add(path+".name", quoteIfSet(rank.Name), faults)
		// With equal worths the order of the ranks would be undefined.
		if rank.Worth != 0 {
			worths.add(path+".worth", strconv.FormatInt(rank.Worth, 10), faults)
		}
		sum += rank.KeptShare
	}
	if sum > 1+shareTolerance {
		faults.add("$.ranks", fmt.Sprintf("a list with kept shares of %.6g in total", sum), "kept shares of at most 1 in total")
	}
}

func checkClasses(doc *Document, faults *Error) {
	names := uniqueValues{}
	for i := range doc.Classes {
		class := &doc.Classes[i]
		path := elementPath("$.classes", i)
		names.add(path+".name", quoteIfSet(class.Name), faults)
		if class.Rank != "" && doc.rankByName(class.Rank) == nil {
			faults.add(path+".rank", quote(class.Rank), "the name of a rank of this document")
		}
		checkClass(path, class, faults)
	}
}

func checkClass(path string, class *Class, faults *Error) {
	if class.Access == AccessWrite && class.MaxAge != 0 {
		faults.add(path+".max_age", quote(class.MaxAge.String()), "no value, since only reads can be served by replicas")
	}
	if class.Access == AccessRead && class.Ack != "" {
		faults.add(path+".ack", quote(string(class.Ack)), "no value, since only writes are acknowledged")
	}
	if class.Ledger && (class.Access == AccessRead || class.Repeatable) {
		faults.add(path+".ledger", "true", "true only for writes that are not repeatable")
	}
	if class.ExpectedCost > class.Timeout {
		faults.add(path+".expected_cost", quote(class.ExpectedCost.String()),
			"at most the class's timeout of "+class.Timeout.String())
	}
}

func checkDatabases(doc *Document, faults *Error) {
	// Upstream names must be unique in the whole document, because the platform's
	// list of VMs has upstream names without their database.
	names, upstreams := uniqueValues{}, uniqueValues{}
	for i := range doc.Databases {
		db := &doc.Databases[i]
		path := elementPath("$.databases", i)
		names.add(path+".name", quoteIfSet(db.Name), faults)
		checkUpstreams(path+".upstreams", db, upstreams, faults)
		checkClassName(doc, path+".default_class", db.DefaultClass, faults)
		for _, user := range sortedKeys(db.Users) {
			checkClassName(doc, fieldPath(path+".users", user), db.Users[user], faults)
		}
	}
}

func checkUpstreams(path string, db *Database, names uniqueValues, faults *Error) {
	// A group with an even number of members tolerates no more failures than a
	// group with one member less.
	if len(db.Upstreams) > 0 && len(db.Upstreams)%2 == 0 {
		faults.add(path, fmt.Sprintf("an array of %d", len(db.Upstreams)), "an odd number of upstreams")
	}
	addresses, controls := uniqueValues{}, uniqueValues{}
	for i, upstream := range db.Upstreams {
		upstreamPath := elementPath(path, i)
		names.add(upstreamPath+".name", quoteIfSet(upstream.Name), faults)
		addresses.add(upstreamPath+".address", quoteIfSet(upstream.Address), faults)
		controls.add(upstreamPath+".control_address", quoteIfSet(upstream.ControlAddress), faults)
		usable := upstream.Connections * OwnerConnectionPercent / 100
		if upstream.Connections > 0 && upstream.Slots > usable {
			faults.add(upstreamPath+".slots", strconv.Itoa(upstream.Slots),
				fmt.Sprintf("at most %d, the %d%% of %d connections that one owner uses", usable, OwnerConnectionPercent, upstream.Connections))
		}
	}
}

func checkClassName(doc *Document, path, name string, faults *Error) {
	if name != "" && doc.classByName(name) == nil {
		faults.add(path, quote(name), "the name of a class of this document")
	}
}

// uniqueValues maps each value seen so far to its JSON path.
type uniqueValues map[string]string

// add records a value, or reports a fault if the value was seen before. Empty values
// are ignored.
func (u uniqueValues) add(path, value string, faults *Error) {
	if value == "" {
		return
	}
	if first, used := u[value]; used {
		faults.add(path, value, "a value other than that of "+first)
		return
	}
	u[value] = path
}

// quoteIfSet returns the JSON string, or "" for an empty text.
func quoteIfSet(text string) string {
	if text == "" {
		return ""
	}
	return quote(text)
}

// rankByName returns nil if the document has no such rank.
func (doc *Document) rankByName(name string) *Rank {
	i := slices.IndexFunc(doc.Ranks, func(r Rank) bool { return r.Name == name })
	if i < 0 {
		return nil
	}
	return &doc.Ranks[i]
}

// classByName returns nil if the document has no such class.
func (doc *Document) classByName(name string) *Class {
	i := slices.IndexFunc(doc.Classes, func(c Class) bool { return c.Name == name })
	if i < 0 {
		return nil
	}
	return &doc.Classes[i]
}
