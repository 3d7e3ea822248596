package kumquatlug

// TableState is the version of a table of the store that is in force at a gateway,
// attached to all its messages.
type TableState struct {
	Table string
	// Era is the era of the store, Version the version up to which all changes of the
	// table are in force.
	Era, Version int64
	// Age is the time since the store confirmed to the sender itself that the table has
	// no newer changes; AgeUnconfirmed if it has not done so recently, AgeFailing if the
	// sender's last read failed.
	Age Millis
}

// Values of TableState.Age without a confirmation.
const (
	AgeUnconfirmed Millis = -1
	AgeFailing     Millis = -2
)

// TableAsk requests the rows of a table that changed after a version, and subscribes to
// its further changes.
type TableAsk struct {
	Table string
	// Era and After are the version in force at the sender; After zero requests the whole
	// table.
	Era, After int64
}

// TablePart is one datagram of the rows that changed after a version. Consecutive rows
// with the same key are pieces of one row.
type TablePart struct {
	Table string
	Era   int64
	// After is the version after which the rows changed, zero for the whole table;
	// Version is the version up to which they changed.
	After, Version int64
	// Part is the index of the part from zero, Parts the number of parts.
	Part, Parts int
	Rows        []TableRow
}

// TableRow is one changed row, or a piece of one.
type TableRow struct {
	Key     string
	Value   []byte
	Version int64
	// Removed says that the row was removed, at Version at the latest.
	Removed bool
}

// TableLink carries messages about the tables of the store.
type TableLink interface {
	// AnnounceTables sends a gateway the states of the tables.
	AnnounceTables(gateway string)
	// AskTable and SendTablePart send a message to a gateway.
	AskTable(gateway string, ask TableAsk)
	SendTablePart(gateway string, part TablePart)
	// LinkRates returns the bandwidths in bytes per ms that the rows of gateways state,
	// by name; zero if unknown.
	LinkRates(rows map[string][]byte) map[string]float64
}

// TableHandler handles messages about the tables of the store.
type TableHandler interface {
	// TableStates returns the states that are attached to all messages.
	TableStates() []TableState
	// TableStatesReceived handles the states of a gateway; config is the state of its
	// config that was sent with them.
	TableStatesReceived(gateway string, config ConfigState, states []TableState)
	TableAsked(gateway string, ask TableAsk)
	TablePartReceived(gateway string, part TablePart)
}
