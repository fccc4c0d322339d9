package upstream

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against fault switches that the admin endpoint accepts without effect.
func TestAdmin(t *testing.T) {
	m := startMember(t, Options{Name: "u1", Primary: true})
	address, err := m.ServeAdmin("127.0.0.1:0")
	assert.NilError(t, err)
	get := func(path string, into any) {
		response, err := http.Get("http://" + address + path)
		assert.NilError(t, err)
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, json.Unmarshal(body, into))
	}
	post := func(path string, form url.Values) int {
		response, err := http.PostForm("http://"+address+path, form)
		assert.NilError(t, err)
		_ = response.Body.Close()
		return response.StatusCode
	}
	c := connect(t, m)
	assert.Equal(t, post("/fault", url.Values{"fail": {"1"}, "code": {"SH001"}, "query": {"INSERT"}}), http.StatusOK)
	expectError(t, c, "SH001", "INSERT INTO kv (k, v) VALUES ('a', '1')")
	exec(t, c, "INSERT INTO kv (k, v) VALUES ('a', '1')")
	var executions Executions
	get("/executions?key=a", &executions)
	assert.Equal(t, executions, Executions{Executed: 1, Committed: 1})
	var log []Entry
	get("/log", &log)
	assert.DeepEqual(t, log[0].Ops, []Op{{Table: TableKV, Key: "a", Value: "1"}})
	var status Status
	get("/status", &status)
	assert.DeepEqual(t, status, m.Status())
	follower := startMember(t, Options{Name: "u2"})
	assert.Equal(t, post("/peers", url.Values{"peer": {follower.ControlAddress()}}), http.StatusOK)
	waitCaughtUp(t, m, follower)
	assert.Equal(t, post("/fault", url.Values{"lag": {"61s"}}), http.StatusBadRequest)
	assert.Equal(t, post("/fault", url.Values{"scope": {"some"}}), http.StatusBadRequest)
	assert.Equal(t, post("/fault", url.Values{"lagg": {"1s"}}), http.StatusBadRequest)
	assert.Equal(t, post("/fault", url.Values{"service-time": {"7ms"}, "slots": {"3"}, "scope": {"callers"}, "refuse": {"true"}}), http.StatusOK)
	assert.Equal(t, m.serviceTime(), 7*time.Millisecond)
	assert.Assert(t, m.callers.refuse.Load() && !m.control.refuse.Load())
}
