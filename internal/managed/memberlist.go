package managed

import (
	"context"
	"errors"
	"fmt"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// immediateWait makes a watch answer at once if there is no change. The platform takes whole
// milliseconds.
const immediateWait = time.Millisecond

var errNotListed = errors.New("the store has not been listed yet")

// readNewMembers reads from the store which members of the database this proxy does not know
// yet, and adds them. It returns their number. On an error the known members may be out of date:
// a proxy that the store turned away may know only members that have been replaced since.
func (d *database) readNewMembers() (int, error) {
	p := d.proxy
	applied := p.appliedRevision.Load()
	if applied == nil {
		return 0, errNotListed
	}
	changes, read, err := p.readChanges(*applied)
	if err != nil {
		return 0, err
	}
	latest := map[entity.Upstream]*Change{}
	for i := range changes {
		if c := &changes[i]; c.MemberName != "" {
			latest[c.MemberName] = c
		}
	}
	added := 0
	for _, c := range latest {
		if c.Member != nil && c.Member.Database == d.name && !d.knows(c.Member) {
			p.putMember(*c.Member, Revision{read.Epoch, c.Revision})
			added++
		}
	}
	if added > 0 {
		p.events.membersOutdated(d.name, added, *applied, read)
	}
	return added, nil
}

// readChanges returns all changes after a revision that the store has when it is called, and
// the revision at which they were read. If it has discarded them, it returns all entries.
func (p *Proxy) readChanges(after Revision) ([]Change, Revision, error) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	changes, read, err := p.options.Store.Watch(ctx, after, immediateWait)
	if !errors.Is(err, ErrCompacted) || errors.Is(err, ErrRestored) {
		return changes, read, err
	}
	changes, read, err = p.options.Store.List(ctx)
	if err == nil && read.Epoch != after.Epoch {
		err = fmt.Errorf("%w: epoch %d", ErrRestored, read.Epoch)
	}
	return changes, read, err
}

// knows reports whether a process of an upstream is among the members.
func (d *database) knows(entry *Member) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	m, ok := d.members[entry.Name]
	return ok && m.entry.Address == entry.Address && m.entry.Incarnation == entry.Incarnation
}
