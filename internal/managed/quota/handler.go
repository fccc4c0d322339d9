package quota

import (
	"encoding/json"
	"net/http"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/organisation"
)

// maxRequestWants bounds the organisations in one request, maxRows those in a listing.
const (
	maxRequestWants = 1024
	maxRows         = 1000
)

// ServeHTTP answers POST with tokens, for other proxies, and GET with a listing of the
// organisations, for operators.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPost:
		s.serveRequest(w, r)
	case http.MethodGet:
		s.serveList(w)
	default:
		http.Error(w, "method is not GET or POST", http.StatusMethodNotAllowed)
	}
}

func (s *Service) serveRequest(w http.ResponseWriter, r *http.Request) {
	var body requestBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body); err != nil {
		http.Error(w, "request cannot be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	if len(body.Wants) > maxRequestWants {
		http.Error(w, "request has too many organisations", http.StatusBadRequest)
		return
	}
	request := body.decode()
	answer, ok := s.Receive(r.Context(), &request)
	if !ok {
		http.Error(w, "the proxy to relay to does not answer", http.StatusBadGateway)
		return
	}
	writeJSON(w, encodeAnswer(&answer))
}

// row is an organisation in the listing.
type row struct {
	Name     organisation.Name `json:"name"`
	Rate     float64           `json:"rate"`
	Burst    float64           `json:"burst"`
	Tokens   int               `json:"tokens"`
	Waiting  int               `json:"waiting"`
	Limiter  entity.VM         `json:"limiter"`
	Recent   float64           `json:"recent_per_second"`
	Limited  bool              `json:"limited"`
	Admitted uint64            `json:"admitted"`
	Waited   uint64            `json:"waited"`
	Refused  uint64            `json:"refused"`
}

func (s *Service) serveList(w http.ResponseWriter) {
	s.mu.Lock()
	rows := s.node.Rows(s.options.Now(), maxRows)
	s.mu.Unlock()
	list := make([]row, len(rows))
	for i, r := range rows {
		list[i] = row{r.Name, r.Limits.Rate, r.Limits.Burst, r.Tokens, r.Waiting, r.Limiter, r.Demand, r.Limited,
			r.Counters.Admitted, r.Counters.Waited, r.Counters.Refused}
	}
	writeJSON(w, list)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
