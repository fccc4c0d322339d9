package upstream

import (
	"context"
	"fmt"
	"maps"
	"strconv"
	"strings"
	"time"
)

// result is the result of one statement. Rows have one column and are in text
// format.
type result struct {
	tag      string
	rowCount int
	rowText  func(i int) string
}

func commandResult(tag string) *result { return &result{tag: tag} }

func singleRow(value string) *result {
	return &result{tag: "SELECT 1", rowCount: 1, rowText: func(int) string { return value }}
}

// blockState is the state of the transaction block, as ReadyForQuery reports
// it.
type blockState byte

const (
	blockIdle   blockState = 'I'
	blockOpen   blockState = 'T'
	blockFailed blockState = 'E'
)

// executor executes the statements of one session.
type executor struct {
	member   *Member
	settings map[string]string
	// settingsBeforeTx are the settings at the start of the transaction, which
	// a rollback restores.
	settingsBeforeTx map[string]string
	// settingsAfterTx are the earlier values of settings changed by SET LOCAL,
	// which a commit restores.
	settingsAfterTx map[string]string
	block           blockState
	tx              *transaction
	// deallocate drops a prepared statement, or all if the name is empty.
	deallocate func(name string) error
}

// begin starts a transaction if none is open.
func (e *executor) begin() {
	if e.tx == nil {
		e.tx = &transaction{readOnly: isOn(e.settings["default_transaction_read_only"])}
		e.settingsBeforeTx = maps.Clone(e.settings)
		e.settingsAfterTx = nil
	}
}

func isOn(value string) bool {
	switch strings.ToLower(value) {
	case "on", "true", "1", "yes":
		return true
	}
	return false
}

// commit commits the transaction, explicit or implicit. If that fails, it rolls
// back.
func (e *executor) commit() error {
	if e.tx == nil {
		return nil
	}
	e.member.freezeGate.wait()
	err := e.member.state.commit(e.tx)
	if err != nil {
		e.rollback()
		return err
	}
	maps.Copy(e.settings, e.settingsAfterTx)
	e.tx, e.block = nil, blockIdle
	return nil
}

// rollback rolls the transaction back and leaves the transaction block.
func (e *executor) rollback() {
	e.discardChanges()
	e.tx, e.block = nil, blockIdle
}

// discardChanges drops the transaction's writes and locks and restores the
// settings. The transaction block stays.
func (e *executor) discardChanges() {
	if e.tx == nil {
		return
	}
	e.member.state.rollback(e.tx)
	if e.settingsBeforeTx != nil {
		e.settings = e.settingsBeforeTx
		e.settingsBeforeTx = nil
	}
}

// abort handles a failed statement: it rolls back an implicit transaction and
// marks an explicit one as failed.
func (e *executor) abort() {
	if e.block == blockIdle {
		e.rollback()
		return
	}
	e.discardChanges()
	e.block = blockFailed
}

// commitImplicit commits the implicit transaction, if any, at the end of a
// simple query or at Sync.
func (e *executor) commitImplicit() error {
	if e.block != blockIdle {
		return nil
	}
	return e.commit()
}

// run executes a statement. parameters are its bound parameters in text format.
func (e *executor) run(ctx context.Context, st *statement, parameters []string) (*result, error) {
	if e.block == blockFailed && st.kind != kindCommit && st.kind != kindRollback {
		return nil, errTransactionAborted
	}
	e.begin()
	if st.kind != kindCommit && st.kind != kindRollback && e.member.state.isRevoked(e.tx) {
		return nil, errRevoked
	}
	values := make([]string, len(st.operands))
	for i, o := range st.operands {
		values[i] = o.literal
		if o.parameter > 0 {
			values[i] = parameters[o.parameter-1]
		}
	}
	if r, err, ok := e.runUtility(st); ok {
		return r, err
	}
	return e.runData(ctx, st, values)
}

// runUtility executes empty statements and those on the transaction or the
// session, which occupy no slot. It returns false for any other statement.
func (e *executor) runUtility(st *statement) (*result, error, bool) {
	switch st.kind {
	case kindEmpty:
		return nil, nil, true
	case kindBegin:
		e.block = blockOpen
		e.setAccessMode(st.groups[0])
		return commandResult("BEGIN"), nil, true
	case kindCommit:
		if e.block == blockFailed {
			e.rollback()
			return commandResult("ROLLBACK"), nil, true
		}
		return commandResult("COMMIT"), e.commit(), true
	case kindRollback:
		e.rollback()
		return commandResult("ROLLBACK"), nil, true
	case kindSetTransaction:
		e.setAccessMode(st.groups[0])
		return commandResult("SET"), nil, true
	case kindSetSessionCharacteristics:
		e.setSetting("default_transaction_read_only", onOff(strings.Contains(strings.ToUpper(st.groups[0]), "ONLY")), false)
		return commandResult("SET"), nil, true
	case kindSet:
		e.setSetting(st.groups[1], unquote(strings.TrimSpace(st.groups[2])), strings.EqualFold(st.groups[0], "LOCAL"))
		return commandResult("SET"), nil, true
	case kindReset:
		e.resetSetting(st.groups[0])
		return commandResult("RESET"), nil, true
	case kindShow:
		r, err := e.runShow(strings.ToLower(st.groups[0]))
		return r, err, true
	case kindDiscard:
		r, err := e.runDiscard(strings.ToUpper(st.groups[0]))
		return r, err, true
	case kindDeallocate:
		r, err := e.runDeallocate(unquote(st.groups[0]))
		return r, err, true
	}
	return nil, nil, false
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

func (e *executor) setAccessMode(mode string) {
	mode = strings.ToUpper(mode)
	if strings.Contains(mode, "ONLY") {
		e.tx.readOnly = true
	}
	if strings.Contains(mode, "WRITE") {
		e.tx.readOnly = false
	}
}

func (e *executor) setSetting(name, value string, local bool) {
	name = strings.ToLower(name)
	if name == "transaction_read_only" {
		e.tx.readOnly = isOn(value)
		return
	}
	if local {
		if e.settingsAfterTx == nil {
			e.settingsAfterTx = map[string]string{}
		}
		if _, ok := e.settingsAfterTx[name]; !ok {
			e.settingsAfterTx[name] = e.settings[name]
		}
	}
	e.settings[name] = value
}

func (e *executor) resetSetting(name string) {
	if strings.EqualFold(name, "ALL") {
		e.settings = defaultSettings()
		return
	}
	name = strings.ToLower(name)
	value, ok := defaultSettings()[name]
	if !ok {
		delete(e.settings, name)
		return
	}
	e.settings[name] = value
}

func (e *executor) runShow(name string) (*result, error) {
	value, ok := e.settings[name]
	switch name {
	case "transaction_read_only":
		value, ok = onOff(e.tx.readOnly || !e.member.Status().Primary), true
	case "standin.member":
		value, ok = e.member.Name(), true
	case "standin.term":
		value, ok = strconv.FormatUint(e.member.Status().Term, 10), true
	}
	if !ok {
		return nil, &Error{Code: "42704", Message: fmt.Sprintf("unrecognized configuration parameter %q", name)}
	}
	r := singleRow(value)
	r.tag = "SHOW"
	return r, nil
}

func (e *executor) runDiscard(object string) (*result, error) {
	if object != "ALL" {
		return commandResult("DISCARD " + object), nil
	}
	if e.block != blockIdle {
		return nil, &Error{Code: "25001", Message: "DISCARD ALL cannot run inside a transaction block"}
	}
	e.settings = defaultSettings()
	e.settingsBeforeTx, e.settingsAfterTx = nil, nil
	return commandResult("DISCARD ALL"), e.deallocate("")
}

func (e *executor) runDeallocate(name string) (*result, error) {
	if strings.EqualFold(name, "ALL") {
		return commandResult("DEALLOCATE ALL"), e.deallocate("")
	}
	return commandResult("DEALLOCATE"), e.deallocate(name)
}

// runData executes the statements that occupy a slot. Writes lock their row
// first.
func (e *executor) runData(ctx context.Context, st *statement, values []string) (*result, error) {
	if name, ok := writeCommands[st.kind]; ok {
		table, key := targetRow(st.kind, values)
		if err := e.member.state.lockRow(ctx, e.tx, name, table, key); err != nil {
			return nil, err
		}
	}
	release, err := e.member.slots.acquire(ctx, e.member.serviceTime())
	if err != nil {
		return nil, err
	}
	defer release()
	e.member.freezeGate.wait()
	if _, ok := writeCommands[st.kind]; ok {
		return e.write(st, values)
	}
	return e.read(ctx, st, values)
}

// targetRow returns the row that a write statement changes.
func targetRow(kind statementKind, values []string) (table, key string) {
	switch kind {
	case kindInsertLedger:
		return TableLedger, values[0]
	case kindUpdate:
		return TableKV, values[1]
	}
	return TableKV, values[0]
}

func (e *executor) write(st *statement, values []string) (*result, error) {
	name := writeCommands[st.kind]
	table, key := targetRow(st.kind, values)
	changed, err := e.member.state.writeRow(e.tx, name, table, key, func(exists bool) (*Op, error) {
		return buildOp(st, values, exists)
	})
	if err != nil {
		return nil, err
	}
	rows := 0
	if changed {
		rows = 1
	}
	if name == "INSERT" {
		return commandResult(fmt.Sprintf("INSERT 0 %d", rows)), nil
	}
	return commandResult(fmt.Sprintf("%s %d", name, rows)), nil
}

// buildOp returns the change that a write statement makes to its row, or nil if
// it makes none.
func buildOp(st *statement, values []string, exists bool) (*Op, error) {
	table, key := targetRow(st.kind, values)
	op := &Op{Table: table, Key: key}
	switch st.kind {
	case kindInsert, kindInsertLedger:
		if st.kind == kindInsert {
			op.Value = values[1]
		}
		conflict := strings.ToUpper(st.groups[0])
		if !exists || strings.Contains(conflict, "UPDATE") {
			return op, nil
		}
		if strings.Contains(conflict, "NOTHING") {
			return nil, nil
		}
		return nil, uniqueViolation(table, key)
	case kindUpdate:
		op.Value = values[0]
	case kindDelete:
		op.Delete = true
	}
	if !exists {
		return nil, nil
	}
	return op, nil
}

func (e *executor) read(ctx context.Context, st *statement, values []string) (*result, error) {
	state := e.member.state
	switch st.kind {
	case kindSelectValue:
		value, ok := state.getRow(e.tx, TableKV, values[0])
		if !ok {
			return commandResult("SELECT 0"), nil
		}
		return singleRow(value), nil
	case kindCountRows:
		return singleRow(strconv.Itoa(state.countRows(e.tx, strings.ToLower(st.groups[0])))), nil
	case kindCountLedger:
		if _, ok := state.getRow(e.tx, TableLedger, values[0]); ok {
			return singleRow("1"), nil
		}
		return singleRow("0"), nil
	case kindSleep:
		seconds, err := strconv.ParseFloat(values[0], 64)
		if err != nil {
			return nil, invalidTextError("double precision", values[0])
		}
		return singleRow(""), sleep(ctx, time.Duration(seconds*float64(time.Second)))
	case kindSeries:
		n, err := strconv.Atoi(values[0])
		if err != nil || n < 0 {
			return nil, invalidTextError("integer", values[0])
		}
		return &result{tag: fmt.Sprintf("SELECT %d", n), rowCount: n, rowText: func(i int) string { return strconv.Itoa(i + 1) }}, nil
	case kindInRecovery:
		if e.member.Status().Primary {
			return singleRow("f"), nil
		}
		return singleRow("t"), nil
	}
	return singleRow("1"), nil
}

func invalidTextError(typeName, value string) *Error {
	return &Error{Code: "22P02", Message: fmt.Sprintf("invalid input syntax for type %s: %q", typeName, value)}
}

// sleep waits for d or until the context ends; then it returns contextError.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return contextError(ctx)
	}
}
