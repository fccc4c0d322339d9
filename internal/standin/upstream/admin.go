package upstream

import (
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/samber/oops"
)

// AdminHelp describes the requests of the admin endpoint.
const AdminHelp = `GET /status, /log, /counters, /executions?key=K.
POST /peers with one form value peer=ADDRESS for each other member.
POST /fault with form values:
pause, isolate, freeze, refuse (true or false), lag, apply-delay, delay,
service-time (durations), slots (number), silence=true, truncate (bytes of the
next answer), fail (number of next statements) with code and detail, query (text
that the truncated or failing queries contain), and scope=callers|control|all
for refuse, silence and delay (default all).`

// AdminHandler returns the HTTP handler for status, log, counters, peers and
// fault switches.
func (m *Member) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, m.Status()) })
	mux.HandleFunc("GET /log", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, m.Committed()) })
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, m.Counters()) })
	mux.HandleFunc("GET /executions", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, m.Executions(r.FormValue("key")))
	})
	mux.HandleFunc("POST /peers", func(w http.ResponseWriter, r *http.Request) {
		if err := r.ParseForm(); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		m.SetPeers(r.Form["peer"])
		writeJSON(w, m.Status())
	})
	mux.HandleFunc("POST /fault", func(w http.ResponseWriter, r *http.Request) {
		if err := r.ParseForm(); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := m.ApplyFaults(r.Form); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, m.Status())
	})
	return mux
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// ServeAdmin serves the admin endpoint on a loopback address until Close and
// returns the address. An empty address means a free port.
func (m *Member) ServeAdmin(address string) (string, error) {
	l, err := listenLoopback(address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: m.AdminHandler(), ReadHeaderTimeout: time.Second}
	m.background(func() { _ = server.Serve(l) })
	m.background(func() {
		<-m.ctx.Done()
		_ = server.Close()
	})
	return l.Addr().(*net.TCPAddr).String(), nil
}

// ApplyFaults sets the fault switches that the form names. See AdminHelp.
func (m *Member) ApplyFaults(form url.Values) error {
	scope, err := parseScope(form.Get("scope"))
	if err != nil {
		return err
	}
	for name := range form {
		if err := m.applyFault(name, form.Get(name), scope, form); err != nil {
			return oops.In("upstream").With("step", "apply fault", "switch", name).Wrap(err)
		}
	}
	return nil
}

func (m *Member) applyFault(name, value string, scope Scope, form url.Values) error {
	switch name {
	case "scope", "query", "code", "detail":
		return nil
	case "pause":
		return withBool(value, m.PauseReplication)
	case "isolate":
		return withBool(value, m.Isolate)
	case "freeze":
		return withBool(value, m.Freeze)
	case "refuse":
		return withBool(value, func(on bool) { m.RefuseConnections(scope, on) })
	case "silence":
		return withBool(value, func(on bool) {
			if on {
				m.SilenceConnections(scope)
			}
		})
	case "lag":
		return withDuration(value, m.SetLag)
	case "apply-delay":
		return withDuration(value, func(d time.Duration) error { m.SetApplyDelay(d); return nil })
	case "delay":
		return withDuration(value, func(d time.Duration) error { m.DelayResponses(scope, d); return nil })
	case "service-time":
		return withDuration(value, func(d time.Duration) error { m.SetServiceTime(d); return nil })
	case "slots":
		return withInt(value, m.SetSlots)
	case "fail":
		failure := &Error{Code: form.Get("code"), Message: "injected failure", Detail: form.Get("detail")}
		return withInt(value, func(n int) { m.FailNext(n, failure, form.Get("query")) })
	case "truncate":
		return withInt(value, func(n int) { m.TruncateNext(n, form.Get("query")) })
	}
	return oops.Errorf("unknown switch")
}

func parseScope(text string) (Scope, error) {
	switch text {
	case "callers":
		return ScopeCallers, nil
	case "control":
		return ScopeControl, nil
	case "", "all":
		return ScopeAll, nil
	}
	return 0, oops.In("upstream").Errorf("unknown scope %q", text)
}

func withBool(text string, set func(bool)) error {
	on, err := strconv.ParseBool(text)
	if err == nil {
		set(on)
	}
	return err
}

func withDuration(text string, set func(time.Duration) error) error {
	d, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	return set(d)
}

func withInt(text string, set func(int)) error {
	n, err := strconv.Atoi(text)
	if err == nil {
		set(n)
	}
	return err
}
