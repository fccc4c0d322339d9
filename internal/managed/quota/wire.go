package quota

import (
	"time"

	core "skylarkhinge.dev/skylarkhinge/core/quota"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/organisation"
)

// requestBody is the body of a request for tokens. Durations are in milliseconds.
type requestBody struct {
	From      entity.VM  `json:"from"`
	Relay     entity.VM  `json:"relay,omitempty"`
	Forwarded bool       `json:"forwarded,omitempty"`
	New       []newBody  `json:"new,omitempty"`
	Wants     []wantBody `json:"wants,omitempty"`
}

// newBody is a proxy that has just started.
type newBody struct {
	VM    entity.VM `json:"vm"`
	ForMS float64   `json:"for_ms"`
}

type wantBody struct {
	Name   organisation.Name `json:"name"`
	Rate   float64           `json:"rate"`
	Burst  float64           `json:"burst"`
	Tokens int               `json:"tokens"`
	Urgent int               `json:"urgent,omitempty"`
	Past   []pastBody        `json:"past,omitempty"`
}

type pastBody struct {
	By    entity.VM `json:"by"`
	AgoMS float64   `json:"ago_ms"`
}

// answerBody is the body of an answer. Durations are in milliseconds.
type answerBody struct {
	New    []newBody   `json:"new,omitempty"`
	Grants []grantBody `json:"grants,omitempty"`
}

type grantBody struct {
	Tokens       int       `json:"tokens"`
	RetryAfterMS float64   `json:"retry_after_ms,omitempty"`
	By           entity.VM `json:"by,omitempty"`
}

// milliseconds rounds down to a tenth, which keeps messages short.
func milliseconds(d time.Duration) float64 {
	return float64(d/(100*time.Microsecond)) / 10
}

// maxMS bounds the durations that are accepted from other proxies.
const maxMS = float64(24 * time.Hour / time.Millisecond)

func duration(ms float64) time.Duration {
	return time.Duration(max(0, min(ms, maxMS)) * float64(time.Millisecond))
}

func encodeRequest(r *core.Request) requestBody {
	body := requestBody{r.From, r.Relay, r.Forwarded, encodeNew(r.New), make([]wantBody, len(r.Wants))}
	for i := range r.Wants {
		w := &r.Wants[i]
		body.Wants[i] = wantBody{Name: w.Name, Rate: w.Limits.Rate, Burst: w.Limits.Burst, Tokens: w.Tokens, Urgent: w.Urgent}
		for _, p := range w.Past {
			body.Wants[i].Past = append(body.Wants[i].Past, pastBody{p.By, milliseconds(p.Ago)})
		}
	}
	return body
}

func (b *requestBody) decode() core.Request {
	r := core.Request{From: b.From, Relay: b.Relay, Forwarded: b.Forwarded, New: decodeNew(b.New), Wants: make([]core.Want, len(b.Wants))}
	for i := range b.Wants {
		w := &b.Wants[i]
		r.Wants[i] = core.Want{Name: w.Name, Limits: core.Limits{Rate: w.Rate, Burst: w.Burst}, Tokens: w.Tokens, Urgent: w.Urgent}
		for _, p := range w.Past {
			r.Wants[i].Past = append(r.Wants[i].Past, core.PastGrant{By: p.By, Ago: duration(p.AgoMS)})
		}
	}
	return r
}

func encodeAnswer(a *core.Answer) answerBody {
	body := answerBody{encodeNew(a.New), make([]grantBody, len(a.Grants))}
	for i, g := range a.Grants {
		body.Grants[i] = grantBody{g.Tokens, milliseconds(g.RetryAfter), g.By}
	}
	return body
}

func (b *answerBody) decode() core.Answer {
	a := core.Answer{New: decodeNew(b.New), Grants: make([]core.Grant, len(b.Grants))}
	for i, g := range b.Grants {
		a.Grants[i] = core.Grant{Tokens: max(0, g.Tokens), RetryAfter: duration(g.RetryAfterMS), By: g.By}
	}
	return a
}

func encodeNew(proxies []core.NewProxy) (body []newBody) {
	for _, p := range proxies {
		body = append(body, newBody{p.VM, milliseconds(p.For)})
	}
	return body
}

func decodeNew(body []newBody) (proxies []core.NewProxy) {
	for _, p := range body {
		proxies = append(proxies, core.NewProxy{VM: p.VM, For: duration(p.ForMS)})
	}
	return proxies
}
