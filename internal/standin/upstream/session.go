package upstream

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// flushBytes is the amount of buffered row data at which a result is flushed
// before its end.
const flushBytes = 64 << 10

// maxMessageBytes bounds a message from a client.
const maxMessageBytes = 16 << 20

// defaultSettings returns the run-time parameters of a new session.
func defaultSettings() map[string]string {
	return map[string]string{
		"server_version":                "16.0",
		"server_encoding":               "UTF8",
		"client_encoding":               "UTF8",
		"standard_conforming_strings":   "on",
		"integer_datetimes":             "on",
		"datestyle":                     "ISO, MDY",
		"timezone":                      "UTC",
		"application_name":              "",
		"search_path":                   "public",
		"statement_timeout":             "0",
		"default_transaction_read_only": "off",
	}
}

// reportedSettings are the settings that the server reports in ParameterStatus
// at the start and after a change; label is the name on the wire.
var reportedSettings = []struct{ name, label string }{
	{"server_version", "server_version"},
	{"server_encoding", "server_encoding"},
	{"client_encoding", "client_encoding"},
	{"standard_conforming_strings", "standard_conforming_strings"},
	{"integer_datetimes", "integer_datetimes"},
	{"datestyle", "DateStyle"},
	{"timezone", "TimeZone"},
	{"application_name", "application_name"},
	{"default_transaction_read_only", "default_transaction_read_only"},
}

// preparedStatement is a parsed statement with the OIDs of its parameters.
type preparedStatement struct {
	statement *statement
	types     []uint32
}

// portal is a bound statement; result is set once it was executed, sentRows
// counts the rows sent so far.
type portal struct {
	prepared   *preparedStatement
	parameters []string
	formats    []int16
	result     *result
	sentRows   int
}

// session is one connection of a client.
type session struct {
	executor
	conn       net.Conn
	backend    *pgproto3.Backend
	pid        uint32
	secret     []byte
	statements map[string]*preparedStatement
	portals    map[string]*portal
	// sentParameters are the values of the reported settings that the client
	// received last.
	sentParameters map[string]string
	// lastQuery is the text of the last query. The truncation and failure
	// switches match it.
	lastQuery string
	// skipUntilSync is set after an error in the extended protocol.
	skipUntilSync bool

	mu sync.Mutex
	// cancel cancels the running statement; nil if none runs.
	cancel context.CancelCauseFunc
}

func newSession(member *Member, conn net.Conn, pid uint32) *session {
	s := &session{
		conn:           conn,
		pid:            pid,
		secret:         make([]byte, 4),
		statements:     map[string]*preparedStatement{},
		portals:        map[string]*portal{},
		sentParameters: map[string]string{},
	}
	_, _ = rand.Read(s.secret)
	s.executor = executor{member: member, settings: defaultSettings(), block: blockIdle, deallocate: s.dropStatement}
	s.backend = pgproto3.NewBackend(conn, &truncatingWriter{session: s})
	s.backend.SetMaxBodyLen(maxMessageBytes)
	return s
}

// truncatingWriter applies the truncation switch to what a session sends.
type truncatingWriter struct{ session *session }

func (w *truncatingWriter) Write(p []byte) (int, error) {
	s := w.session
	n, ok := s.member.takeTruncation(s.lastQuery)
	if !ok {
		return s.conn.Write(p)
	}
	_, _ = s.conn.Write(p[:min(n, len(p))])
	_ = s.conn.Close()
	return 0, net.ErrClosed
}

// serve handles the connection until it ends.
func (s *session) serve() {
	defer func() { _ = s.conn.Close() }()
	ready, err := s.start()
	if err != nil || !ready {
		return
	}
	defer s.member.removeSession(s)
	defer s.rollback()
	for {
		if err := s.conn.SetReadDeadline(s.idleDeadline()); err != nil {
			return
		}
		message, err := s.backend.Receive()
		if err != nil {
			return
		}
		if _, end := message.(*pgproto3.Terminate); end {
			return
		}
		if err := s.handle(message); err != nil {
			return
		}
	}
}

// idleDeadline returns the time by which the next message must arrive, zero for none:
// the setting idle_in_transaction_session_timeout, in milliseconds, bounds the wait in a
// transaction block.
func (s *session) idleDeadline() time.Time {
	timeout, err := strconv.Atoi(s.settings["idle_in_transaction_session_timeout"])
	if s.block == blockIdle || err != nil || timeout <= 0 {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(timeout) * time.Millisecond)
}

// start handles the startup phase. ready is false if the connection was refused
// or carried a cancel request.
func (s *session) start() (ready bool, err error) {
	for {
		message, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return false, err
		}
		switch m := message.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return false, err
			}
		case *pgproto3.CancelRequest:
			s.member.cancelSession(m.ProcessID, m.SecretKey)
			return false, nil
		case *pgproto3.StartupMessage:
			return s.authenticate(m)
		}
	}
}

// authenticate registers the session and accepts any user without a password.
func (s *session) authenticate(m *pgproto3.StartupMessage) (bool, error) {
	if err := s.member.addSession(s, m.Parameters["database"]); err != nil {
		s.backend.Send(errorResponse(err))
		return false, s.backend.Flush()
	}
	for name, value := range m.Parameters {
		switch name {
		case "user", "database", "options", "replication":
		default:
			s.settings[strings.ToLower(name)] = value
		}
	}
	s.backend.Send(&pgproto3.AuthenticationOk{})
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: s.secret})
	err := s.sendReady()
	if err != nil {
		s.member.removeSession(s)
	}
	return err == nil, err
}

// sendReady sends the changed settings and ReadyForQuery.
func (s *session) sendReady() error {
	for _, setting := range reportedSettings {
		value := s.settings[setting.name]
		if last, known := s.sentParameters[setting.name]; known && last == value {
			continue
		}
		s.sentParameters[setting.name] = value
		s.backend.Send(&pgproto3.ParameterStatus{Name: setting.label, Value: value})
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: byte(s.block)})
	return s.backend.Flush()
}

// handle handles one message. An error closes the connection.
func (s *session) handle(message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Query:
		return s.handleSimpleQuery(m.String)
	case *pgproto3.Sync:
		return s.sync()
	case *pgproto3.Flush:
		return s.backend.Flush()
	}
	if s.skipUntilSync {
		return nil
	}
	err := s.handleExtended(message)
	if err == nil {
		return nil
	}
	s.skipUntilSync = true
	return s.sendError(err)
}

// sendError sends the error and aborts the transaction. It returns the error if
// that is fatal or the connection failed.
func (s *session) sendError(err error) error {
	var pgErr *Error
	if !errors.As(err, &pgErr) {
		return err
	}
	s.abort()
	s.backend.Send(errorResponse(err))
	if pgErr.Fatal {
		_ = s.backend.Flush()
		return err
	}
	return nil
}

// sync ends a pipeline: it commits the implicit transaction and sends
// ReadyForQuery.
func (s *session) sync() error {
	s.skipUntilSync = false
	if err := s.commitImplicit(); err != nil {
		if err := s.sendError(err); err != nil {
			return err
		}
	}
	if s.block == blockIdle {
		clear(s.portals)
	}
	return s.sendReady()
}

// handleSimpleQuery executes a simple query. Its statements share one implicit
// transaction.
func (s *session) handleSimpleQuery(query string) error {
	s.lastQuery = query
	s.skipUntilSync = false
	delete(s.statements, "")
	if err := s.runSimpleStatements(query); err != nil {
		if err := s.sendError(err); err != nil {
			return err
		}
	}
	return s.sendReady()
}

func (s *session) runSimpleStatements(query string) error {
	parsed, err := parseAll(query)
	if err != nil {
		return err
	}
	for i, st := range parsed {
		if len(st.types) > 0 {
			return &Error{Code: "42P02", Message: "there is no parameter $1"}
		}
		p := &portal{prepared: &preparedStatement{statement: st}}
		if err := s.runPortal(p); err != nil {
			return err
		}
		if len(st.columns) > 0 {
			s.backend.Send(rowDescription(st.columns, nil))
		}
		if err := s.sendRows(p, 0); err != nil {
			return err
		}
		// Commits before CommandComplete of the last statement is sent.
		if i == len(parsed)-1 {
			if err := s.commitImplicit(); err != nil {
				return err
			}
		}
		s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(p.result.tag)})
	}
	if len(parsed) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	return nil
}

func parseAll(query string) ([]*statement, error) {
	var parsed []*statement
	for _, part := range splitStatements(query) {
		st, err := matchStatement(part)
		if err != nil {
			return nil, err
		}
		if st.kind != kindEmpty {
			parsed = append(parsed, st)
		}
	}
	return parsed, nil
}

// runPortal executes a portal's statement. A cancel request cancels its
// context.
func (s *session) runPortal(p *portal) error {
	if err := s.member.takeFailure(s.lastQuery); err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(s.member.ctx)
	s.mu.Lock()
	s.cancel = cancel
	s.mu.Unlock()
	r, err := s.run(ctx, p.prepared.statement, p.parameters)
	s.mu.Lock()
	s.cancel = nil
	s.mu.Unlock()
	cancel(nil)
	p.result = r
	return err
}

// cancelStatement cancels the running statement if the secret matches.
func (s *session) cancelStatement(secret []byte) {
	if subtle.ConstantTimeCompare(secret, s.secret) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel(errCanceled)
	}
}

// handleExtended handles a message of the extended protocol.
func (s *session) handleExtended(message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Parse:
		return s.parse(m)
	case *pgproto3.Bind:
		return s.bind(m)
	case *pgproto3.Describe:
		return s.describe(m)
	case *pgproto3.Execute:
		return s.execute(m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(s.statements, m.Name)
		} else {
			delete(s.portals, m.Name)
		}
		s.backend.Send(&pgproto3.CloseComplete{})
		return nil
	}
	return &Error{Code: "08P01", Message: fmt.Sprintf("the stand-in does not serve %T", message)}
}

func (s *session) parse(m *pgproto3.Parse) error {
	if _, exists := s.statements[m.Name]; exists && m.Name != "" {
		return &Error{Code: "42P05", Message: fmt.Sprintf("prepared statement %q already exists", m.Name)}
	}
	if len(splitStatements(skipComments(m.Query))) > 1 {
		return &Error{Code: "42601", Message: "cannot insert multiple commands into a prepared statement"}
	}
	st, err := matchStatement(m.Query)
	if err != nil {
		return err
	}
	if s.block == blockFailed && st.kind != kindCommit && st.kind != kindRollback {
		return errTransactionAborted
	}
	p := &preparedStatement{statement: st, types: append([]uint32(nil), st.types...)}
	for i, oid := range m.ParameterOIDs {
		if i < len(p.types) && oid != 0 {
			p.types[i] = oid
		}
	}
	st.query = m.Query
	s.statements[m.Name] = p
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (s *session) lookupStatement(name string) (*preparedStatement, error) {
	p, ok := s.statements[name]
	if !ok {
		return nil, &Error{Code: "26000", Message: fmt.Sprintf("prepared statement %q does not exist", name)}
	}
	return p, nil
}

func (s *session) lookupPortal(name string) (*portal, error) {
	p, ok := s.portals[name]
	if !ok {
		return nil, &Error{Code: "34000", Message: fmt.Sprintf("portal %q does not exist", name)}
	}
	return p, nil
}

func (s *session) bind(m *pgproto3.Bind) error {
	p, err := s.lookupStatement(m.PreparedStatement)
	if err != nil {
		return err
	}
	if len(m.Parameters) != len(p.types) {
		return &Error{Code: "08P01", Message: fmt.Sprintf("bind message supplies %d parameters, but prepared statement requires %d", len(m.Parameters), len(p.types))}
	}
	bound := &portal{prepared: p, formats: append([]int16(nil), m.ResultFormatCodes...)}
	for i, raw := range m.Parameters {
		value, err := decodeParameter(raw, p.types[i], formatCode(m.ParameterFormatCodes, i))
		if err != nil {
			return err
		}
		bound.parameters = append(bound.parameters, value)
	}
	s.portals[m.DestinationPortal] = bound
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'P' {
		p, err := s.lookupPortal(m.Name)
		if err != nil {
			return err
		}
		s.sendColumns(p.prepared.statement.columns, p.formats)
		return nil
	}
	p, err := s.lookupStatement(m.Name)
	if err != nil {
		return err
	}
	s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.types})
	s.sendColumns(p.statement.columns, nil)
	return nil
}

func (s *session) sendColumns(columns []column, formats []int16) {
	if len(columns) == 0 {
		s.backend.Send(&pgproto3.NoData{})
		return
	}
	s.backend.Send(rowDescription(columns, formats))
}

func (s *session) execute(m *pgproto3.Execute) error {
	p, err := s.lookupPortal(m.Portal)
	if err != nil {
		return err
	}
	s.lastQuery = p.prepared.statement.query
	if p.result == nil {
		if err := s.runPortal(p); err != nil {
			return err
		}
	}
	if p.result == nil {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if err := s.sendRows(p, int(m.MaxRows)); err != nil {
		return err
	}
	if p.sentRows < p.result.rowCount {
		s.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(p.result.tag)})
	return nil
}

// sendRows sends the next rows of a portal, at most limit; 0 means all.
func (s *session) sendRows(p *portal, limit int) error {
	buffered := 0
	for sent := 0; p.sentRows < p.result.rowCount && (limit == 0 || sent < limit); sent++ {
		c := p.prepared.statement.columns[0]
		value := encodeValue(p.result.rowText(p.sentRows), c.oid, formatCode(p.formats, 0))
		s.backend.Send(&pgproto3.DataRow{Values: [][]byte{value}})
		p.sentRows++
		buffered += len(value) + 11 // 11 bytes frame a DataRow of one column
		if buffered < flushBytes {
			continue
		}
		buffered = 0
		if err := s.backend.Flush(); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) dropStatement(name string) error {
	if name == "" {
		clear(s.statements)
		return nil
	}
	if _, err := s.lookupStatement(name); err != nil {
		return err
	}
	delete(s.statements, name)
	return nil
}

func rowDescription(columns []column, formats []int16) *pgproto3.RowDescription {
	out := &pgproto3.RowDescription{}
	for i, c := range columns {
		out.Fields = append(out.Fields, pgproto3.FieldDescription{
			Name:         []byte(c.name),
			DataTypeOID:  c.oid,
			DataTypeSize: typeSize(c.oid),
			TypeModifier: -1,
			Format:       formatCode(formats, i),
		})
	}
	return out
}

func typeSize(oid uint32) int16 {
	switch oid {
	case oidInt8:
		return 8
	case oidInt4:
		return 4
	case oidBool:
		return 1
	}
	return -1
}

// formatCode returns the format code of column or parameter i. A single code
// applies to all; without a code the format is text.
func formatCode(codes []int16, i int) int16 {
	switch {
	case len(codes) == 1:
		return codes[0]
	case i < len(codes):
		return codes[i]
	}
	return pgproto3.TextFormat
}

// encodeValue converts a value from text to the format of the code.
func encodeValue(text string, oid uint32, code int16) []byte {
	if code == pgproto3.TextFormat {
		return []byte(text)
	}
	switch oid {
	case oidInt8, oidInt4:
		n, _ := strconv.ParseInt(text, 10, 64)
		if oid == oidInt4 {
			return binary.BigEndian.AppendUint32(nil, uint32(n))
		}
		return binary.BigEndian.AppendUint64(nil, uint64(n))
	case oidBool:
		if text == "t" {
			return []byte{1}
		}
		return []byte{0}
	}
	return []byte(text)
}

// decodeParameter converts a bound parameter to text.
func decodeParameter(raw []byte, oid uint32, code int16) (string, error) {
	if raw == nil {
		return "", &Error{Code: "22004", Message: "the stand-in takes no null parameters"}
	}
	if code == pgproto3.TextFormat {
		return string(raw), nil
	}
	switch {
	case oid == oidInt8 && len(raw) == 8:
		return strconv.FormatInt(int64(binary.BigEndian.Uint64(raw)), 10), nil
	case oid == oidInt4 && len(raw) == 4:
		return strconv.FormatInt(int64(int32(binary.BigEndian.Uint32(raw))), 10), nil
	case oid == oidFloat8 && len(raw) == 8:
		return strconv.FormatFloat(math.Float64frombits(binary.BigEndian.Uint64(raw)), 'g', -1, 64), nil
	case oid == oidInt8 || oid == oidInt4 || oid == oidFloat8:
		return "", &Error{Code: "22P03", Message: "incorrect binary data format in bind parameter"}
	}
	return string(raw), nil
}
