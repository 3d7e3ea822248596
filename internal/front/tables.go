package front

import (
	"encoding/json"

	"github.com/kumquatlug/kumquatlug/internal/front/frontv1"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// AnnounceTables implements [kumquatlug.TableLink]: the states are attached to all datagrams.
func (l *Link) AnnounceTables(gateway string) { l.sendTo(gateway, &frontv1.Datagram{}) }

// AskTable implements [kumquatlug.TableLink].
func (l *Link) AskTable(gateway string, ask kumquatlug.TableAsk) {
	l.sendTo(gateway, &frontv1.Datagram{TableAsk: &frontv1.TableAsk{Table: ask.Table, Era: ask.Era, After: ask.After}})
}

// SendTablePart implements [kumquatlug.TableLink].
func (l *Link) SendTablePart(gateway string, p kumquatlug.TablePart) {
	part := &frontv1.TablePart{
		Table: p.Table, Era: p.Era, After: p.After, Version: p.Version, Part: uint32(p.Part), Parts: uint32(p.Parts),
	}
	for _, row := range p.Rows {
		part.Rows = append(part.Rows, &frontv1.TableRow{Key: row.Key, Value: row.Value, Version: row.Version, Removed: row.Removed})
	}
	l.sendTo(gateway, &frontv1.Datagram{TablePart: part})
}

// LinkRates implements [kumquatlug.TableLink].
func (*Link) LinkRates(rows map[string][]byte) map[string]float64 {
	rates := make(map[string]float64, len(rows))
	for name, data := range rows {
		var row peerRow
		// Invalid rows are reported by [Link.UpdatePeers].
		if err := json.Unmarshal(data, &row); err == nil {
			rates[name] = max(row.LinkBytesPerMs, 0)
		}
	}
	return rates
}

// encodeTableStates encodes the states of the tables of this gateway.
func encodeTableStates(states []kumquatlug.TableState) []*frontv1.TableState {
	var encoded []*frontv1.TableState
	for _, s := range states {
		encoded = append(encoded, &frontv1.TableState{Table: s.Table, Era: s.Era, Version: s.Version, AgeMs: int64(s.Age)})
	}
	return encoded
}

// handleTables passes the messages about tables in a datagram to the handler. The text of a
// config in the same datagram has been handled before: the state of the table of the config
// applies to it.
func handleTables(d *frontv1.Datagram, h kumquatlug.GatewayHandler) {
	var states []kumquatlug.TableState
	for _, s := range d.GetTables() {
		if s.GetEra() >= 0 && s.GetVersion() > 0 {
			states = append(states, kumquatlug.TableState{Table: s.GetTable(), Era: s.GetEra(), Version: s.GetVersion(), Age: kumquatlug.Millis(s.GetAgeMs())})
		}
	}
	if len(states) > 0 {
		h.TableStatesReceived(d.GetFrom(), decodeConfigState(d.GetConfig()), states)
	}
	if ask := d.GetTableAsk(); ask != nil {
		h.TableAsked(d.GetFrom(), kumquatlug.TableAsk{Table: ask.GetTable(), Era: ask.GetEra(), After: ask.GetAfter()})
	}
	if p := d.GetTablePart(); p != nil && p.GetEra() >= 0 && p.GetVersion() > 0 {
		part := kumquatlug.TablePart{
			Table: p.GetTable(), Era: p.GetEra(), After: p.GetAfter(), Version: p.GetVersion(),
			Part: int(min(p.GetPart(), maxConfigParts)), Parts: int(min(p.GetParts(), maxConfigParts)),
		}
		for _, row := range p.GetRows() {
			part.Rows = append(part.Rows, kumquatlug.TableRow{Key: row.GetKey(), Value: row.GetValue(), Version: row.GetVersion(), Removed: row.GetRemoved()})
		}
		h.TablePartReceived(d.GetFrom(), part)
	}
}
