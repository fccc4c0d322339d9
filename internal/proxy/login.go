package proxy

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/internal/pgwire"
)

// login handles the startup messages, up to the first ReadyForQuery. It reports
// whether the caller is logged in; if not, the connection is to be closed.
func (c *callerConn) login() bool {
	c.conn.SetDeadline(time.Now().Add(startupTimeout))
	defer c.conn.SetDeadline(time.Time{})
	for {
		message, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return false
		}
		switch m := message.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.conn.Write([]byte{'N'}); err != nil {
				return false
			}
		case *pgproto3.CancelRequest:
			c.proxy.handleCancelRequest(m)
			return false
		case *pgproto3.StartupMessage:
			return c.handleStartup(m)
		default:
			return false
		}
	}
}

// handleStartup checks the startup parameters and registers the connection. It
// reports whether the caller is logged in; if not, it has sent the reason.
func (c *callerConn) handleStartup(m *pgproto3.StartupMessage) bool {
	p := c.proxy
	c.user, c.database = m.Parameters["user"], m.Parameters["database"]
	if c.database == "" {
		c.database = c.user
	}
	if err := c.applyStartupParameters(m.Parameters); err != nil {
		c.sendFatal("08004", err.Error())
		return false
	}
	if p.isDraining() {
		c.sendFatal("57P03", "the proxy is draining; connect again")
		return false
	}
	n := p.nextCaller.Add(1)
	c.id = entity.CallerID(xxhash.Sum64String(string(p.self))<<32 | n&0xffffffff)
	c.pid = processID(p.self, n)
	c.secret = randomSecret()
	if p.callers.add(c) > p.options.Settings.MaxCallerConnections {
		p.callers.remove(c)
		c.sendFatal("53300", "too many caller connections")
		return false
	}
	c.backend.Send(&pgproto3.AuthenticationOk{})
	for _, s := range serverParameters {
		c.backend.Send(&pgproto3.ParameterStatus{Name: s.name, Value: s.value})
	}
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret})
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return c.backend.Flush() == nil
}

type serverParameter struct{ name, value string }

// serverParameters are reported to callers at login, as a server would.
var serverParameters = []serverParameter{
	{"server_version", "15.0"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"TimeZone", "UTC"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
}

// applyStartupParameters applies the caller's declarations. Other settings can't
// be kept, since callers share upstream connections: the harmless ones that
// client libraries send are ignored, and the rest are errors.
func (c *callerConn) applyStartupParameters(parameters map[string]string) error {
	for name, value := range parameters {
		switch name {
		case "user", "database", "application_name", "client_encoding", "DateStyle", "TimeZone", "extra_float_digits":
			continue
		}
		var err error
		if name == "options" {
			err = c.applyStartupOptions(value)
		} else {
			err = c.applyStartupParameter(name, value)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *callerConn) applyStartupParameter(name, value string) error {
	declaration, ok := strings.CutPrefix(name, pgwire.ParameterPrefix)
	if !ok {
		return fmt.Errorf("startup parameter %q is not supported by the proxy", name)
	}
	return c.defaults.Set(declaration, value)
}

// applyStartupOptions applies declarations in the form "-c name=value", the only
// way to pass custom parameters through some client libraries.
func (c *callerConn) applyStartupOptions(options string) error {
	for word := range strings.FieldsSeq(options) {
		word = strings.TrimPrefix(strings.TrimPrefix(word, "-c"), "--")
		if word == "" {
			continue
		}
		name, value, _ := strings.Cut(word, "=")
		if err := c.applyStartupParameter(name, value); err != nil {
			return err
		}
	}
	return nil
}

// sendFatal sends an error of severity FATAL. The connection is closed after it.
func (c *callerConn) sendFatal(code, message string) {
	c.conn.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: code, Message: message})
	c.backend.Flush()
}
