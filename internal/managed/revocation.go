package managed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/revocation"
)

// storeSource is the source of a confirmation by the store, in logs.
const storeSource = "store"

// configurationConfirmation records up to when and by whom the configuration in force is
// confirmed as current. It is safe for concurrent use.
type configurationConfirmation struct {
	clock revocation.Clock
	// source is the name of the proxy whose answer last advanced the clock, or storeSource.
	source atomic.Pointer[string]
}

// confirmConfiguration records an answer of a source to a question that was sent at the
// given time; see revocation.Clock. What the answer shows must be in force.
func (p *Proxy) confirmConfiguration(sent entity.Time, age time.Duration, source string) {
	if p.confirmation.clock.Confirm(sent, age) {
		p.confirmation.source.Store(&source)
	}
}

// configurationAge returns the time since the configuration in force was confirmed as
// current, revocation.Never if it never was.
func (p *Proxy) configurationAge(at entity.Time) time.Duration { return p.confirmation.clock.Age(at) }

// revocationPolicy returns the policy that applies to the configuration in force. It
// reports false if keys may be accepted by a configuration of any age.
func (p *Proxy) revocationPolicy() (revocation.Policy, bool) {
	s := p.settings()
	if !s.StrictRevocation || p.document().Organisations == nil {
		return revocation.Policy{}, false
	}
	return revocation.NewPolicy(s.RevocationTimeout), true
}

// configurationExpired reports whether the configuration is too old to accept keys by it.
func (p *Proxy) configurationExpired(at entity.Time) bool {
	policy, strict := p.revocationPolicy()
	return strict && policy.Expired(p.configurationAge(at))
}

// configurationOverdue reports whether the configuration will soon expire, so that other
// proxies should be asked to confirm it.
func (p *Proxy) configurationOverdue(at entity.Time) bool {
	policy, strict := p.revocationPolicy()
	return strict && policy.Overdue(p.configurationAge(at))
}

// relayTimeout returns the time within which another proxy must begin to answer a request for
// its configuration.
func (p *Proxy) relayTimeout() time.Duration {
	policy, strict := p.revocationPolicy()
	if !strict {
		return relayInterval
	}
	return min(relayInterval, policy.RelayTimeout)
}

// waitForWatch returns the wait of the next watch of the store. Calls to the store are paid
// for, so it is short only if the age of the configuration matters.
func (s *storeSync) waitForWatch(at entity.Time) time.Duration {
	policy, strict := s.proxy.revocationPolicy()
	if !strict {
		return watchWait
	}
	wait := min(watchWait, policy.WaitForWatch(s.ageForWait(at)))
	if s.endedByChange {
		return rand.N(wait)
	}
	return wait
}

// waitForPoll returns the wait of the next poll of a watcher.
func (s *storeSync) waitForPoll(at entity.Time) time.Duration {
	policy, strict := s.proxy.revocationPolicy()
	if !strict {
		return pollWait
	}
	return min(pollWait, policy.WaitForPoll(s.ageForWait(at)))
}

// ageForWait returns the age that determines the next wait. No answer confirms a refused
// configuration, so short waits would only cost calls.
func (s *storeSync) ageForWait(at entity.Time) time.Duration {
	if s.refusedRevision != 0 {
		return 0
	}
	return s.proxy.configurationAge(at)
}

// confirm records the answer to a question that was sent at the given time, after its
// changes were applied. A restored store confirms nothing until it has settled.
func (s *storeSync) confirm(sent entity.Time, age time.Duration) {
	if s.refusedRevision != 0 || !s.proxy.storeEpoch.Load().settled(sent.Add(-age)) {
		return
	}
	source := storeSource
	if s.watcherName != "" {
		source = string(s.watcherName)
	}
	s.proxy.confirmConfiguration(sent, age, source)
}

// refuseDocument records that the store's configuration could not be decoded. It logs each
// revision once.
func (s *storeSync) refuseDocument(c *Change) {
	if s.refusedRevision == c.Revision {
		return
	}
	s.refusedRevision = c.Revision
	if o := s.proxy.observer; o != nil {
		o.metrics.CountDocumentRefused(operatorsDocument)
	}
	s.proxy.events.documentRefused(c.Revision, c.DecodeErr)
}

// credentialExpired reports whether the session needs a key that can't be verified now.
// Sessions of other proxies are checked there.
func (s *session) credentialExpired(at entity.Time) bool {
	if s.fromPeer || !s.proxy.configurationExpired(at) {
		return false
	}
	route, _ := s.proxy.route(s.databaseName)
	return !route.Anonymous
}

// firstConfirmationWait bounds how long a new session waits for the first confirmation. The
// first configuration takes effect a moment before the listing that contains it is applied.
const firstConfirmationWait = 200 * time.Millisecond

// rejectExpired ends a session that starts while its key can't be verified. It reports
// whether it did.
func (s *session) rejectExpired() bool {
	end := now().Add(firstConfirmationWait)
	for s.proxy.configurationAge(now()) == revocation.Never && s.credentialExpired(now()) && now() < end {
		time.Sleep(time.Millisecond)
	}
	if !s.credentialExpired(now()) {
		return false
	}
	reply := s.proxy.expiredReply()
	s.reject(reply.Code, reply.Text)
	return true
}

// expiredReply returns the reply to a request whose key can't be verified. Other proxies
// may be able to, and this one asks for a newer configuration within the named time.
func (p *Proxy) expiredReply() Reply {
	policy, _ := p.revocationPolicy()
	return errorReply(CodeBusy, fmt.Sprintf("not run: the configuration may be out of date; retry after %d ms", policy.PollWait.Milliseconds()))
}

// refuseExpired answers a statement of a session whose key can't be verified. An open
// transaction is rolled back. Outside a transaction the session ends after the reply, so
// that the caller reconnects to another proxy.
func (s *session) refuseExpired(statement *Statement) (reply Reply, state TransactionState, closeSession bool) {
	refusal := s.proxy.expiredReply()
	switch before := s.transactionState(); {
	case before == StateIdle:
		return refusal, StateIdle, true
	case before == StateOpen && statement.Kind != StatementRollback:
		reply = s.failTransaction(statement, refusal)
		state = s.transactionState()
	default:
		s.failTransaction(statement, refusal)
		if s.tx == nil {
			// A COMMIT ended the failed transaction.
			return errorReply(CodeAborted, "transaction was rolled back"), StateIdle, true
		}
		reply, state = s.tx.execute(statement, now())
	}
	return reply, state, state == StateIdle
}

// ageCheckInterval is the interval at which the expiry of the configuration is checked for
// the log.
const ageCheckInterval = 200 * time.Millisecond

// logConfigurationAge logs when the configuration expires and when it is confirmed again.
func (p *Proxy) logConfigurationAge(ctx context.Context) {
	if !p.settings().StrictRevocation {
		return
	}
	expired := false
	for ctx.Err() == nil {
		sleep(ctx, ageCheckInterval)
		at := now()
		if is := p.configurationExpired(at); is != expired {
			expired = is
			source := "none"
			if last := p.confirmation.source.Load(); last != nil {
				source = *last
			}
			p.events.configurationAged(expired, p.configurationAge(at), source)
		}
	}
}

// configurationAged logs that the configuration expired or is confirmed again. source is
// the proxy that confirmed it last, or the store.
func (e *events) configurationAged(expired bool, age time.Duration, source string) {
	event := "configuration_confirmed"
	if expired {
		event = "configuration_expired"
	}
	fields := logrus.Fields{"source": source}
	if age != revocation.Never {
		fields["age_ms"] = age.Milliseconds()
	}
	e.stateChanged(event, fields)
}

// documentRefused logs a configuration of the store that could not be decoded.
func (e *events) documentRefused(revision uint64, err error) {
	e.line("document_refused").WithField("revision", revision).WithError(err).Warn("configuration refused, the current one stays in force")
}
