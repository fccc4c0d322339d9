package demo

import (
	"bytes"
	"embed"
	"text/template"

	"github.com/samber/oops"
)

// Upstream is a member of the database group with the addresses of its
// PostgreSQL server and its control service. The templates use its fields.
type Upstream struct {
	Name     string
	Zone     string
	Postgres string
	Control  string
	// State is the VM's state in the VM list; empty means STATE_LIVE.
	State string
}

// Proxy is a proxy with the addresses on which it listens. The templates use
// its fields.
type Proxy struct {
	Name    string
	Zone    string
	Callers string
	Peers   string
	Health  string
}

// Layout holds the names and addresses that the templates use.
type Layout struct {
	Service   string
	Database  string
	Platform  string
	Upstreams []Upstream
	Proxies   []Proxy
}

// templates holds the templates of the VM list, the document and the settings of
// a proxy, in the formats that the platform and the proxy read.
//
//go:embed *.json.tmpl
var templates embed.FS

// Render executes the named template. self is the name of the proxy that the
// settings are for; other templates ignore it.
func (l *Layout) Render(name, self string) (string, error) {
	parsed, err := template.ParseFS(templates, name)
	if err != nil {
		return "", oops.In("demo").With("step", "parse template", "template", name).Wrap(err)
	}
	data := struct {
		*Layout
		Self Proxy
	}{Layout: l}
	for _, p := range l.Proxies {
		if p.Name == self {
			data.Self = p
		}
	}
	var out bytes.Buffer
	if err := parsed.Execute(&out, data); err != nil {
		return "", oops.In("demo").With("step", "fill in template", "template", name).Wrap(err)
	}
	return out.String(), nil
}
