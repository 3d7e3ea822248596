package kumquatlug

// Row is one row of the platform's [Table].
type Row struct {
	key     string
	value   []byte
	version int64
	era     int64
	readAt  Millis
}

// NewRow returns a row as stored in the table. Version zero means that the row is
// absent; versions increase with each write of the row.
func NewRow(key string, value []byte, version int64) Row {
	return Row{key: key, value: value, version: version}
}

// WithEra returns a copy of the row that was read in this era of the table.
func (r Row) WithEra(era int64) Row {
	r.era = era
	return r
}

// Era returns how often the table had been restored from an older copy when the row was
// read. Absent rows have an era, too.
func (r Row) Era() int64 { return r.era }

// WithReadAt returns a copy of the row that was read at this time of the table's clock.
func (r Row) WithReadAt(at Millis) Row {
	r.readAt = at
	return r
}

// ReadAt returns the time of the table's clock at which the row was read, zero if the table tells
// none. The clock runs on when the table is restored or a reader restarts. Absent rows have a
// time, too.
func (r Row) ReadAt() Millis { return r.readAt }

// Key returns the row's key.
func (r Row) Key() string { return r.key }

// Value returns the row's bytes; they must not be changed.
func (r Row) Value() []byte { return r.value }

// Version returns the row's version, zero when the row is absent.
func (r Row) Version() int64 { return r.version }

// Exists reports whether the row is in the table.
func (r Row) Exists() bool { return r.version != 0 }

// MaxTxEntries is the maximum number of conditions, writes and removals together in one
// transaction: the platform's table refuses more.
const MaxTxEntries = 100

// Tx is a transaction: conditions on row versions, and writes that take effect together
// or not at all.
type Tx struct {
	id         string
	conditions []Condition
	writes     []Write
}

// NewTx starts a transaction. The id is unique to this attempt, so that a writer whose
// response was lost can distinguish its own write from another one.
func NewTx(id string) Tx {
	return Tx{id: id}
}

// If returns the transaction with one more condition: the row at key has this version,
// zero for absent.
func (t Tx) If(key string, version int64) Tx {
	t.conditions = append(t.conditions[:len(t.conditions):len(t.conditions)], Condition{key: key, version: version})
	return t
}

// Put returns the transaction with one more row to write.
func (t Tx) Put(key string, value []byte) Tx {
	t.writes = append(t.writes[:len(t.writes):len(t.writes)], Write{key: key, value: value})
	return t
}

// Delete returns the transaction with one more row to remove.
func (t Tx) Delete(key string) Tx {
	t.writes = append(t.writes[:len(t.writes):len(t.writes)], Write{key: key, deleted: true})
	return t
}

// ID returns the id of the attempt.
func (t Tx) ID() string { return t.id }

// Conditions returns the conditions of the transaction.
func (t Tx) Conditions() []Condition { return t.conditions }

// Writes returns the rows to write or remove.
func (t Tx) Writes() []Write { return t.writes }

// Condition requires that a row has a version.
type Condition struct {
	key     string
	version int64
}

// Key returns the key of the checked row.
func (c Condition) Key() string { return c.key }

// Version returns the required version, zero for absent.
func (c Condition) Version() int64 { return c.version }

// Entries returns the number of conditions, writes and removals of the transaction, see
// [MaxTxEntries].
func (t Tx) Entries() int { return len(t.conditions) + len(t.writes) }

// Write puts or removes one row.
type Write struct {
	key     string
	value   []byte
	deleted bool
}

// Key returns the key of the row.
func (w Write) Key() string { return w.key }

// Value returns the bytes to store, nil when the row is removed.
func (w Write) Value() []byte { return w.value }

// Deleted reports whether the row is removed.
func (w Write) Deleted() bool { return w.deleted }
