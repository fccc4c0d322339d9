package membership

import "skylarkhinge.dev/skylarkhinge/core/entity"

// InHomeCell reports whether the database belongs to this VM's cell, so that this VM
// is a candidate for its owner. The result changes only with the list.
func (t *Table) InHomeCell(database entity.Database) bool {
	c := t.cellOf(databaseHash(database))
	return c.from == t.homeCell.from && c.to == t.homeCell.to
}
