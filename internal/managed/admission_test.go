package managed

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/config"
	"skylarkhinge.dev/skylarkhinge/core/organisation"
)

func newQuotaProxy(window time.Duration) *Proxy {
	settings := config.DefaultManagedSettings()
	settings.VM, settings.QuotaWindow = "vm-1", window
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Options{Settings: &settings, Log: log})
}

// Guards against a refusal of callers without a quota, of sessions whose operations were
// admitted at another proxy, and of any caller if the settings have no quotas.
func TestAdmitOperationWithoutQuota(t *testing.T) {
	limited := &organisation.Organisation{Name: "press", Limited: true, Rate: 1}
	with, without := newQuotaProxy(5*time.Second), newQuotaProxy(0)
	for _, c := range []struct {
		session session
		org     *organisation.Organisation
	}{
		{session{proxy: without}, limited},
		{session{proxy: with, fromPeer: true}, limited},
		{session{proxy: with}, nil},
		{session{proxy: with}, &organisation.Organisation{Name: "bindery"}},
	} {
		_, ok := c.session.admitOperation(Route{}, c.org)
		assert.Assert(t, ok)
		c.session.chargeRetry(c.org)
	}
	assert.Assert(t, without.QuotaHandler() == nil)
}

// Guards against a refusal without a time to retry, and against operations that run although
// no limiter can be asked.
func TestAdmitOperationRefuses(t *testing.T) {
	p := newQuotaProxy(5 * time.Second)
	s := session{proxy: p}
	reply, ok := s.admitOperation(Route{}, &organisation.Organisation{Name: "press", Limited: true, Rate: 1, Burst: 5})
	assert.Assert(t, !ok)
	assert.Equal(t, reply.Code, CodeBusy)
	assert.Assert(t, strings.HasPrefix(reply.Text, "not run: quota of the organisation is used up; retry after "), reply.Text)
	assert.Equal(t, p.quotaSample().Refused, uint64(1))
}

// Guards against a wait that leaves an operation no time to run.
func TestQuotaWait(t *testing.T) {
	for _, c := range []struct{ target, timeout, wait time.Duration }{
		{0, 0, 100 * time.Millisecond},
		{200 * time.Millisecond, time.Second, 50 * time.Millisecond},
		{4 * time.Second, 500 * time.Millisecond, 250 * time.Millisecond},
	} {
		assert.Equal(t, quotaWait(Route{TargetLatency: c.target, StatementTimeout: c.timeout}), c.wait)
	}
}
