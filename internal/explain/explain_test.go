package explain

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const sample = `noise without fields
time="2026-12-04T05:00:02Z" level=info msg="state changed" event=primary_changed vm=b database=g from=u1 to=u2 term=2 reason=survey
time="2026-12-04T05:00:01Z" level=info msg="state changed" event=takeover_began vm=a database=g fence=7 reason="primary does not answer"
   34.2 host-1 time="2026-12-04T05:00:03Z" level=info msg="request failed" event=request_failed vm=a id=x1 database=d group=g code=in_doubt reason="no \"answer\"" peer=u1 took_ms=1000 queue_ms=0 connect_ms=0 proof_ms=0 run_ms=1000
time="2026-12-04T05:00:02Z" level=info msg="state changed" event=store_lost vm=b step=follow
time="2026-12-04T04:00:00Z" level=info msg="state changed" event=takeover_began vm=a database=g fence=1 reason=old
time=broken
`

// Guards against lines in the wrong order, against context lines of other databases and
// proxies, and against malformed lines that end the reading.
func TestExplain(t *testing.T) {
	log, err := Read(strings.NewReader(sample))
	assert.NilError(t, err)
	assert.Equal(t, log.Malformed, 2)
	explanation, err := Explain(log, "x1")
	assert.NilError(t, err)
	assert.Equal(t, explanation.Requests[0].Fields["reason"], `no "answer"`)
	var out strings.Builder
	assert.NilError(t, explanation.Print(&out))
	assert.Equal(t, out.String(), `05:00:01.000 a takeover_began database=g fence=7 reason=primary does not answer
05:00:02.000 b primary_changed database=g from=u1 reason=survey term=2 to=u2
05:00:03.000 a request_failed code=in_doubt connect_ms=0 database=d group=g id=x1 peer=u1 proof_ms=0 queue_ms=0 reason=no "answer" run_ms=1000 took_ms=1000
cause: outcome unknown: u1 got the statement and did not answer; waited 0 ms in the queue, 0 ms for a connection, 0 ms for a proof, ran 1000 ms; 1000 ms before, b logged primary_changed reason=survey from=u1 to=u2 term=2
`)
}

// Guards against an unknown id that is reported as a request without a cause.
func TestUnknownRequest(t *testing.T) {
	log, err := Read(strings.NewReader(sample))
	assert.NilError(t, err)
	_, err = Explain(log, "x2")
	assert.Assert(t, errors.Is(err, ErrUnknownRequest))
}

// Guards against an explanation that omits that the store was restored from a backup.
func TestExplainAfterARestore(t *testing.T) {
	log, err := Read(strings.NewReader(`time="2026-12-04T05:00:02Z" event=store_restored vm=a epoch_before=1 applied=133 epoch=2 revision=114
time="2026-12-04T05:00:02Z" event=store_restored vm=b epoch_before=1 applied=130 epoch=2 revision=114
time="2026-12-04T05:00:03Z" event=request_failed vm=a id=x1 group=g code=in_doubt peer=u1 took_ms=9 reason="no answer"
`))
	assert.NilError(t, err)
	e, err := Explain(log, "x1")
	assert.NilError(t, err)
	assert.Equal(t, len(e.Context), 1)
	assert.Assert(t, strings.HasSuffix(e.Cause, "; 1000 ms before, a logged store_restored epoch=2 applied=133"), e.Cause)
}

// Guards against refusals for an organisation that are explained as a lack of slots, and
// against a quota of another organisation in the explanation.
func TestExplainOrganisations(t *testing.T) {
	log, err := Read(strings.NewReader(`time="2026-12-04T05:00:01Z" event=quota_limited vm=a organisation=press rate=5 burst=2 peer=c
time="2026-12-04T05:00:02Z" event=quota_limited vm=a organisation=bindery rate=9 burst=9 peer=d
time="2026-12-04T05:00:03Z" event=request_failed vm=a id=x1 group=g organisation=press code=busy took_ms=40 reason="not run: quota of the organisation is used up; retry after 7 ms"
time="2026-12-04T05:00:03Z" event=request_failed vm=a id=x2 group=g code=busy took_ms=0 reason="not run: the configuration may be out of date; retry after 600 ms"
time="2026-12-04T05:00:03Z" event=request_failed vm=a id=x3 group=g document=7 code=unauthenticated took_ms=0 reason="not run: key is unknown"
`))
	assert.NilError(t, err)
	for id, cause := range map[string]string{
		"x1": "not run: the quota of press is used up (5/s, burst 2, limiter c); waited 40 ms for it",
		"x2": "not run: the proxy's configuration was not confirmed as current, so that keys cannot be verified",
		"x3": "not run: no organisation of configuration 7 holds the caller's key",
	} {
		e, err := Explain(log, id)
		assert.NilError(t, err)
		assert.Equal(t, e.Cause, cause)
	}
}
