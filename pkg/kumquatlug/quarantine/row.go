package quarantine

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// EntryRowPrefix is the prefix of the keys of the rows of entries in the platform's store.
const EntryRowPrefix = "crash/entry/"

// EntryRowKey returns the key of the row of an entry.
func EntryRowKey(q kumquatlug.QuarantineEntry) string { return EntryRowPrefix + EntryKey(q) }

// entryRow is the JSON form of an entry in the platform's store.
type entryRow struct {
	Service    string   `json:"service"`
	Identities []string `json:"identities"`
	Crashes    []string `json:"crashes,omitempty"`
	Versions   []string `json:"versions,omitempty"`
	Served     []string `json:"served,omitempty"`
	Tried      []string `json:"tried,omitempty"`
	Probes     int      `json:"probes,omitempty"`
	Released   bool     `json:"released,omitempty"`
	Revision   int64    `json:"revision"`
}

// EncodeEntryRow encodes an entry for the platform's store.
func EncodeEntryRow(q kumquatlug.QuarantineEntry) []byte {
	// Strings and numbers always encode.
	data, _ := json.Marshal(entryRow(q))
	return data
}

// DecodeEntryRow decodes the row of an entry. It returns an error if the row is not JSON or names no
// service or identity.
func DecodeEntryRow(data []byte) (kumquatlug.QuarantineEntry, error) {
	var r entryRow
	if err := json.Unmarshal(data, &r); err != nil {
		return kumquatlug.QuarantineEntry{}, errors.Wrap(err, "decode a quarantine")
	}
	if r.Service == "" || len(r.Identities) == 0 {
		return kumquatlug.QuarantineEntry{}, errors.New("decode a quarantine: no service or no identity")
	}
	return kumquatlug.QuarantineEntry(r), nil
}

// maxRowSuspects bounds the suspects in a row: a row has at most 64 KiB.
const maxRowSuspects = 256

// reportRow is the JSON form of a crash report in the platform's store.
type reportRow struct {
	Service   string          `json:"service"`
	Worker    string          `json:"worker"`
	StartedAt int64           `json:"started_at,omitempty"`
	Version   string          `json:"version,omitempty"`
	Suspects  []reportSuspect `json:"suspects"`
}

type reportSuspect struct {
	Identity string   `json:"identity"`
	Requests []uint32 `json:"requests"`
	Informed bool     `json:"informed,omitempty"`
}

// EncodeReportRow encodes a crash report for the platform's store.
func EncodeReportRow(r kumquatlug.CrashReport) []byte {
	row := reportRow{Service: r.Service, Worker: r.Worker, StartedAt: r.StartedAt, Version: r.Version}
	for _, s := range r.Suspects[:min(len(r.Suspects), maxRowSuspects)] {
		row.Suspects = append(row.Suspects, reportSuspect{s.Identity, s.Requests[:min(len(s.Requests), maxMarkRequests)], s.Informed})
	}
	// Strings and numbers always encode.
	data, _ := json.Marshal(row)
	return data
}

// DecodeReportRow decodes the row of a crash report. It returns an error if the row is not JSON or names
// no service or worker.
func DecodeReportRow(data []byte) (kumquatlug.CrashReport, error) {
	var row reportRow
	if err := json.Unmarshal(data, &row); err != nil {
		return kumquatlug.CrashReport{}, errors.Wrap(err, "decode a crash report")
	}
	if row.Service == "" || row.Worker == "" {
		return kumquatlug.CrashReport{}, errors.New("decode a crash report: no service or no worker")
	}
	r := kumquatlug.CrashReport{Service: row.Service, Worker: row.Worker, StartedAt: row.StartedAt, Version: row.Version}
	for _, s := range row.Suspects {
		r.Suspects = append(r.Suspects, kumquatlug.CrashSuspect(s))
	}
	return r, nil
}
