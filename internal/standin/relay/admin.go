package relay

import (
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/samber/oops"
)

// AdminHelp describes the requests of the admin endpoint.
const AdminHelp = `POST /fault with form values: blackhole (true or false), delay (duration),
reset (true or false), target (address), and scope=existing|new|all for blackhole
and reset (default all).`

// AdminHandler returns the HTTP handler for the fault switches.
func (r *Relay) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", func(w http.ResponseWriter, request *http.Request) {
		err := request.ParseForm()
		if err == nil {
			err = r.ApplyFaults(request.Form)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	return mux
}

// ServeAdmin serves the admin endpoint on a loopback address. It returns the
// address and a function that stops the endpoint; call it before Close, which
// waits for the endpoint.
func (r *Relay) ServeAdmin(address string) (string, func(), error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", nil, oops.In("relay").With("step", "listen", "address", address).Wrap(err)
	}
	if !l.Addr().(*net.TCPAddr).IP.IsLoopback() {
		_ = l.Close()
		return "", nil, oops.In("relay").With("step", "listen").Errorf("address %s is not on loopback", address)
	}
	server := &http.Server{Handler: r.AdminHandler(), ReadHeaderTimeout: time.Second}
	r.wg.Go(func() { _ = server.Serve(l) })
	return l.Addr().String(), func() { _ = server.Close() }, nil
}

// ApplyFaults sets the fault switches that the form names. See AdminHelp.
func (r *Relay) ApplyFaults(form url.Values) error {
	scope, err := parseScope(form.Get("scope"))
	if err != nil {
		return err
	}
	for name := range form {
		if err := r.applyFault(name, form.Get(name), scope); err != nil {
			return oops.In("relay").With("step", "apply fault", "switch", name).Wrap(err)
		}
	}
	return nil
}

func (r *Relay) applyFault(name, value string, scope Scope) error {
	switch name {
	case "scope":
		return nil
	case "target":
		r.SetTarget(value)
		return nil
	case "delay":
		d, err := time.ParseDuration(value)
		if err == nil {
			r.SetDelay(d)
		}
		return err
	case "blackhole":
		on, err := strconv.ParseBool(value)
		if err == nil {
			r.Blackhole(scope, on)
		}
		return err
	case "reset":
		on, err := strconv.ParseBool(value)
		if err == nil {
			r.applyReset(scope, on)
		}
		return err
	}
	return oops.Errorf("unknown switch")
}

func (r *Relay) applyReset(scope Scope, on bool) {
	if scope&ScopeNew != 0 {
		r.ResetNew(on)
	}
	if scope&ScopeExisting != 0 && on {
		r.ResetExisting()
	}
}

func parseScope(text string) (Scope, error) {
	switch text {
	case "existing":
		return ScopeExisting, nil
	case "new":
		return ScopeNew, nil
	case "", "all":
		return ScopeAll, nil
	}
	return 0, oops.In("relay").Errorf("unknown scope %q", text)
}
