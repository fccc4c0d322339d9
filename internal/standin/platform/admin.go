package platform

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/samber/oops"
	"google.golang.org/protobuf/encoding/protojson"

	platformpb "skylarkhinge.dev/skylarkhinge/api/platform/v1"
)

// AdminHelp describes the requests of the admin endpoint.
const AdminHelp = `GET /calls, /vms.
POST /vms with a ListVMsResponse in JSON, for instance
{"vms":[{"name":"p1","address":"127.0.0.1:7000","availabilityZone":"a","state":"STATE_LIVE","role":"ROLE_PROXY"}]}.
POST /put?key=K with the value as body.
POST /fault with form values: outage and store-outage (true or false), delay and
list-lag (durations), lose-answers (number).`

// maxListBytes bounds the request body of a VM list.
const maxListBytes = 16 << 20

// AdminHandler returns the HTTP handler for call counters, the VM list, values
// and fault switches.
func (s *Server) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Calls())
	})
	mux.HandleFunc("GET /vms", func(w http.ResponseWriter, r *http.Request) {
		list, _ := s.ListVMs(r.Context(), nil)
		text, _ := protojson.Marshal(list)
		_, _ = w.Write(text)
	})
	mux.HandleFunc("POST /vms", badRequestOnError(s.postVMs))
	mux.HandleFunc("POST /put", badRequestOnError(s.postPut))
	mux.HandleFunc("POST /fault", badRequestOnError(s.postFault))
	return mux
}

// badRequestOnError adapts a handler: an error becomes a 400 response with its
// text.
func badRequestOnError(handle func(*http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := handle(r); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	}
}

func (s *Server) postVMs(r *http.Request) error {
	text, err := io.ReadAll(io.LimitReader(r.Body, maxListBytes))
	if err != nil {
		return err
	}
	var list platformpb.ListVMsResponse
	if err := protojson.Unmarshal(text, &list); err != nil {
		return err
	}
	return s.SetVMs(list.Vms)
}

func (s *Server) postPut(r *http.Request) error {
	value, err := io.ReadAll(io.LimitReader(r.Body, MaxValueBytes))
	if err != nil {
		return err
	}
	s.Put(r.URL.Query().Get("key"), value)
	return nil
}

func (s *Server) postFault(r *http.Request) error {
	if err := r.ParseForm(); err != nil {
		return err
	}
	for name := range r.Form {
		if err := s.applyFault(name, r.Form.Get(name)); err != nil {
			return oops.In("platform").With("step", "apply fault", "switch", name).Wrap(err)
		}
	}
	return nil
}

func (s *Server) applyFault(name, value string) error {
	switch name {
	case "outage", "store-outage":
		on, err := strconv.ParseBool(value)
		if err != nil {
			return err
		}
		s.SetFaults(func(f *Faults) {
			if name == "outage" {
				f.Outage = on
			} else {
				f.StoreOutage = on
			}
		})
		return nil
	case "lose-answers":
		n, err := strconv.Atoi(value)
		if err != nil {
			return err
		}
		s.SetFaults(func(f *Faults) { f.DropResponses = n })
		return nil
	case "delay", "list-lag":
		d, err := time.ParseDuration(value)
		if err != nil {
			return err
		}
		if name == "list-lag" {
			s.SetListLag(d)
			return nil
		}
		s.SetFaults(func(f *Faults) { f.Delay = d })
		return nil
	}
	return oops.Errorf("unknown switch")
}

// ServeAdmin serves the admin endpoint on a loopback address until Close and
// returns the address. An empty address means a free port.
func (s *Server) ServeAdmin(address string) (string, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", oops.In("platform").With("step", "listen", "address", address).Wrap(err)
	}
	if !l.Addr().(*net.TCPAddr).IP.IsLoopback() {
		_ = l.Close()
		return "", oops.In("platform").With("step", "listen").Errorf("address %s is not on loopback", address)
	}
	server := &http.Server{Handler: s.AdminHandler(), ReadHeaderTimeout: time.Second}
	s.wg.Go(func() { _ = server.Serve(l) })
	s.wg.Go(func() {
		<-s.stop
		_ = server.Close()
	})
	return l.Addr().String(), nil
}
