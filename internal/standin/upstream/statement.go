package upstream

import (
	"regexp"
	"strings"
)

// PostgreSQL type OIDs that the stand-in uses.
const (
	oidInt8   = 20
	oidInt4   = 23
	oidText   = 25
	oidFloat8 = 701
	oidBool   = 16
	oidVoid   = 2278
)

// statementKind identifies a supported statement.
type statementKind int

const (
	kindEmpty statementKind = iota
	kindInsert
	kindInsertLedger
	kindUpdate
	kindDelete
	kindSelectValue
	kindCountRows
	kindCountLedger
	kindSleep
	kindSeries
	kindSelectOne
	kindInRecovery
	kindBegin
	kindSetTransaction
	kindSetSessionCharacteristics
	kindCommit
	kindRollback
	kindSet
	kindReset
	kindShow
	kindDiscard
	kindDeallocate
)

// operand is a literal or the number of a parameter, which counts from 1.
type operand struct {
	parameter int
	literal   string
}

// statement is a parsed statement.
type statement struct {
	kind     statementKind
	query    string
	operands []operand
	// groups are the submatches that are not operands: names, modes, clauses.
	groups []string
	// types are the OIDs of the parameters.
	types   []uint32
	columns []column
}

type column struct {
	name string
	oid  uint32
}

// pattern matches one kind of statement. The groups of operands come first in
// the expression.
type pattern struct {
	kind         statementKind
	expr         *regexp.Regexp
	operandCount int
	operandOID   uint32
	columns      []column
}

// An upsert always sets the value of its VALUES clause, whatever its SET clause
// says.
const (
	operandExpr  = `\(?\s*('(?:[^']|'')*'|\$\d+|-?\d+(?:\.\d+)?)(?:\s*::\s*\w+)?\s*\)?`
	conflictExpr = `(\s+ON\s+CONFLICT(?:\s*\(\s*\w+\s*\))?\s+DO\s+(?:NOTHING|UPDATE\s+SET\s+v\s*=\s*.+))?`
)

// compilePattern compiles an anchored, case-insensitive expression. It expands
// OPERAND and CONFLICT; a space matches any white space.
func compilePattern(expr string) *regexp.Regexp {
	expr = strings.ReplaceAll(expr, "OPERAND", operandExpr)
	expr = strings.ReplaceAll(expr, "CONFLICT", conflictExpr)
	expr = strings.ReplaceAll(expr, " ", `\s+`)
	return regexp.MustCompile(`(?is)^` + expr + `$`)
}

var patterns = []pattern{
	{kindInsert, compilePattern(`INSERT INTO kv\s*\(\s*k\s*,\s*v\s*\)\s*VALUES\s*\(\s*OPERAND\s*,\s*OPERAND\s*\)CONFLICT`), 2, oidText, nil},
	{kindInsertLedger, compilePattern(`INSERT INTO skylarkhinge_ledger\s*\(\s*request_id\s*\)\s*VALUES\s*\(\s*OPERAND\s*\)CONFLICT`), 1, oidText, nil},
	{kindUpdate, compilePattern(`UPDATE kv SET v\s*=\s*OPERAND WHERE k\s*=\s*OPERAND`), 2, oidText, nil},
	{kindDelete, compilePattern(`DELETE FROM kv WHERE k\s*=\s*OPERAND`), 1, oidText, nil},
	{kindSelectValue, compilePattern(`SELECT v FROM kv WHERE k\s*=\s*OPERAND`), 1, oidText, []column{{"v", oidText}}},
	{kindCountRows, compilePattern(`SELECT count\(\s*\*\s*\) FROM (kv|skylarkhinge_ledger)`), 0, 0, []column{{"count", oidInt8}}},
	{kindCountLedger, compilePattern(`SELECT count\(\s*\*\s*\) FROM skylarkhinge_ledger WHERE request_id\s*=\s*OPERAND`), 1, oidText, []column{{"count", oidInt8}}},
	{kindSleep, compilePattern(`SELECT pg_sleep\(\s*OPERAND\s*\)`), 1, oidFloat8, []column{{"pg_sleep", oidVoid}}},
	{kindSeries, compilePattern(`SELECT generate_series\(\s*1\s*,\s*OPERAND\s*\)`), 1, oidInt4, []column{{"generate_series", oidInt4}}},
	{kindSelectOne, compilePattern(`SELECT 1`), 0, 0, []column{{"?column?", oidInt4}}},
	{kindInRecovery, compilePattern(`SELECT pg_is_in_recovery\(\s*\)`), 0, 0, []column{{"pg_is_in_recovery", oidBool}}},
	{kindBegin, compilePattern(`(?:BEGIN|START TRANSACTION)(?: (?:WORK|TRANSACTION))?((?:\s*,?\s*(?:ISOLATION LEVEL (?:READ COMMITTED|READ UNCOMMITTED|REPEATABLE READ|SERIALIZABLE)|READ ONLY|READ WRITE|(?:NOT )?DEFERRABLE))*)`), 0, 0, nil},
	{kindSetTransaction, compilePattern(`SET (?:LOCAL )?TRANSACTION (READ ONLY|READ WRITE|ISOLATION LEVEL .+)`), 0, 0, nil},
	{kindSetSessionCharacteristics, compilePattern(`SET SESSION CHARACTERISTICS AS TRANSACTION (READ ONLY|READ WRITE)`), 0, 0, nil},
	{kindCommit, compilePattern(`(?:COMMIT|END)(?: (?:WORK|TRANSACTION))?`), 0, 0, nil},
	{kindRollback, compilePattern(`(?:ROLLBACK|ABORT)(?: (?:WORK|TRANSACTION))?`), 0, 0, nil},
	{kindSet, compilePattern(`SET (?:(LOCAL|SESSION) )?([\w.]+)(?:\s*=\s*| TO )(.+)`), 0, 0, nil},
	{kindReset, compilePattern(`RESET ([\w.]+)`), 0, 0, nil},
	{kindShow, compilePattern(`SHOW ([\w.]+)`), 0, 0, []column{{"", oidText}}},
	{kindDiscard, compilePattern(`DISCARD (ALL|PLANS|SEQUENCES|TEMP)`), 0, 0, nil},
	{kindDeallocate, compilePattern(`DEALLOCATE (?:PREPARE )?("[^"]*"|\w+)`), 0, 0, nil},
}

// writeCommands are the command names of the write statements in errors and
// command tags.
var writeCommands = map[statementKind]string{
	kindInsert:       "INSERT",
	kindInsertLedger: "INSERT",
	kindUpdate:       "UPDATE",
	kindDelete:       "DELETE",
}

// matchStatement parses a single statement.
func matchStatement(query string) (*statement, error) {
	query = skipComments(query)
	if query == "" {
		return &statement{kind: kindEmpty}, nil
	}
	for i := range patterns {
		if groups := patterns[i].expr.FindStringSubmatch(query); groups != nil {
			return newStatement(&patterns[i], query, groups[1:]), nil
		}
	}
	return nil, syntaxError(query)
}

func newStatement(p *pattern, query string, groups []string) *statement {
	out := &statement{kind: p.kind, query: query, groups: groups[p.operandCount:], columns: p.columns}
	for _, text := range groups[:p.operandCount] {
		o := newOperand(text)
		out.operands = append(out.operands, o)
		for len(out.types) < o.parameter {
			out.types = append(out.types, p.operandOID)
		}
	}
	if p.kind == kindShow {
		out.columns = []column{{strings.ToLower(groups[0]), oidText}}
	}
	return out
}

func newOperand(text string) operand {
	if number, ok := strings.CutPrefix(text, "$"); ok {
		n := 0
		for _, digit := range number {
			n = min(n*10+int(digit-'0'), maxParameters)
		}
		return operand{parameter: n}
	}
	return operand{literal: unquote(text)}
}

// maxParameters is the maximum number of parameters in a Bind message.
const maxParameters = 65535

func unquote(text string) string {
	if len(text) >= 2 && text[0] == '\'' {
		return strings.ReplaceAll(text[1:len(text)-1], "''", "'")
	}
	return strings.Trim(text, `"`)
}

// skipComments strips white space and semicolons around a statement, and
// comments before it.
func skipComments(query string) string {
	for {
		query = strings.TrimLeft(query, " \t\r\n;")
		switch {
		case strings.HasPrefix(query, "/*"):
			_, query, _ = strings.Cut(query, "*/")
		case strings.HasPrefix(query, "--"):
			_, query, _ = strings.Cut(query, "\n")
		default:
			return strings.TrimRight(query, " \t\r\n;")
		}
	}
}

// splitStatements splits a simple query at semicolons outside of literals,
// quoted names and comments.
func splitStatements(query string) []string {
	var parts []string
	start := 0
	for i := 0; i < len(query); i++ {
		switch {
		case query[i] == '\'' || query[i] == '"':
			i += lengthThrough(query[i+1:], query[i:i+1])
		case strings.HasPrefix(query[i:], "/*"):
			i += 1 + lengthThrough(query[i+2:], "*/")
		case strings.HasPrefix(query[i:], "--"):
			i += 1 + lengthThrough(query[i+2:], "\n")
		case query[i] == ';':
			parts = append(parts, query[start:i])
			start = i + 1
		}
	}
	parts = append(parts, query[start:])
	return parts
}

// lengthThrough returns the length of rest up to and including the mark, or all
// of it if there is none.
func lengthThrough(rest, mark string) int {
	if at := strings.Index(rest, mark); at >= 0 {
		return at + len(mark)
	}
	return len(rest)
}
