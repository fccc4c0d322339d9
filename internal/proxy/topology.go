package proxy

import (
	"sync"

	"skylarkhinge.dev/skylarkhinge/config"
	"skylarkhinge.dev/skylarkhinge/control"
	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// endpoint is the address, the user and the control client of an upstream.
type endpoint struct {
	address string
	user    string
	control *control.Client
}

// databaseEntry is one database of a document in force.
type databaseEntry struct {
	service string
	config  *config.Database
}

// controlKey identifies the control client of an upstream.
type controlKey struct {
	database entity.Database
	address  string
}

// topology holds the addresses of upstreams, from the documents in force, and
// of proxies, from the platform's list.
type topology struct {
	mu        sync.Mutex
	databases map[entity.Database]databaseEntry
	// services holds the databases of each service.
	services map[string][]entity.Database
	// controlClients are created on first use: a proxy knows the addresses of all
	// databases, but calls only the members of those that it owns.
	controlClients map[controlKey]*control.Client
	proxyAddresses map[entity.VM]string
}

// putDocument replaces the addresses of a service's databases.
func (t *topology) putDocument(doc *config.Document) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.databases == nil {
		t.databases = map[entity.Database]databaseEntry{}
		t.services = map[string][]entity.Database{}
		t.controlClients = map[controlKey]*control.Client{}
	}
	oldDatabases := t.services[doc.Service]
	for _, name := range oldDatabases {
		if t.databases[name].service == doc.Service {
			delete(t.databases, name)
		}
	}
	t.services[doc.Service] = nil
	for i := range doc.Databases {
		t.putDatabase(doc.Service, &doc.Databases[i])
	}
	t.closeUnusedControlClients(oldDatabases)
}

// putDatabase adds a database. If two services have it, the service with the
// smaller name has precedence, as in the core.
func (t *topology) putDatabase(service string, spec *config.Database) {
	name := entity.Database(spec.Name)
	if old, ok := t.databases[name]; ok && old.service < service {
		return
	}
	t.databases[name] = databaseEntry{service: service, config: spec}
	t.services[service] = append(t.services[service], name)
}

// closeUnusedControlClients closes the control clients for addresses that the
// databases no longer have.
func (t *topology) closeUnusedControlClients(databases []entity.Database) {
	for _, name := range databases {
		for key, client := range t.controlClients {
			if key.database == name && !t.usesControlAddress(key) {
				delete(t.controlClients, key)
				go client.Close()
			}
		}
	}
}

func (t *topology) usesControlAddress(key controlKey) bool {
	entry, ok := t.databases[key.database]
	if !ok {
		return false
	}
	for i := range entry.config.Upstreams {
		if entry.config.Upstreams[i].ControlAddress == key.address {
			return true
		}
	}
	return false
}

// upstreamEndpoint returns the endpoint of an upstream, and false if no document
// in force has it.
func (t *topology) upstreamEndpoint(database entity.Database, upstream entity.Upstream) (endpoint, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry, ok := t.databases[database]
	if !ok {
		return endpoint{}, false
	}
	for i := range entry.config.Upstreams {
		u := &entry.config.Upstreams[i]
		if u.Name == string(upstream) {
			client := t.controlClient(controlKey{database, u.ControlAddress}, upstream)
			return endpoint{address: u.Address, user: entry.config.UpstreamUser, control: client}, true
		}
	}
	return endpoint{}, false
}

func (t *topology) controlClient(key controlKey, upstream entity.Upstream) *control.Client {
	c, ok := t.controlClients[key]
	if !ok {
		c = control.NewClient(upstream, key.address)
		t.controlClients[key] = c
	}
	return c
}

// otherControlAddresses returns the control addresses of the group's other members.
func (t *topology) otherControlAddresses(database entity.Database, upstream entity.Upstream) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry, ok := t.databases[database]
	if !ok {
		return nil
	}
	var out []string
	for i := range entry.config.Upstreams {
		if u := &entry.config.Upstreams[i]; u.Name != string(upstream) {
			out = append(out, u.ControlAddress)
		}
	}
	return out
}

func (t *topology) putProxies(proxies map[entity.VM]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.proxyAddresses = proxies
}

func (t *topology) proxyAddress(vm entity.VM) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	address, ok := t.proxyAddresses[vm]
	return address, ok
}

// proxiesWithTag returns the proxies whose callers' process ids have the tag.
func (t *topology) proxiesWithTag(tag uint32) []entity.VM {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []entity.VM
	for vm := range t.proxyAddresses {
		if vmTag(vm) == tag {
			out = append(out, vm)
		}
	}
	return out
}
