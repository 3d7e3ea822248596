package front

import (
	"github.com/kumquatlug/kumquatlug/internal/front/frontv1"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// SendQuarantine implements [kumquatlug.GatewayLink]. A message that does not fit a datagram is sent
// in several.
func (l *Link) SendQuarantine(gateway string, m kumquatlug.QuarantineMessage) {
	for _, part := range splitQuarantine(m) {
		l.sendTo(gateway, &frontv1.Datagram{Quarantine: part})
	}
}

// Limits of the parts of a message about crashes, in bytes. What else a datagram holds needs less than
// the rest of maxDatagramBytes.
const (
	maxQuarantineBytes = 800
	// maxEntryTexts bounds each list of an entry that is only there to be read by people.
	maxEntryTexts = 4
	// maxSuspectHashes bounds the hashes of one suspect in a datagram.
	maxSuspectHashes = 32
)

// splitQuarantine encodes a message in parts that fit a datagram each.
func splitQuarantine(m kumquatlug.QuarantineMessage) []*frontv1.Quarantine {
	var parts []*frontv1.Quarantine
	part, size := &frontv1.Quarantine{}, 0
	add := func(bytes int, put func()) {
		if size > 0 && size+bytes > maxQuarantineBytes {
			parts = append(parts, part)
			part, size = &frontv1.Quarantine{}, 0
		}
		size += bytes
		put()
	}
	for _, q := range m.Entries {
		encoded := encodeQuarantineEntry(q)
		add(textBytes(encoded.GetIdentities(), encoded.GetCrashes(), encoded.GetVersions(), encoded.GetServed(), encoded.GetTried()), func() { part.Entries = append(part.Entries, encoded) })
	}
	for _, c := range m.Clearances {
		for _, id := range c.Identities {
			add(textBytes([]string{id, c.Service, c.Version}), func() {
				if last := len(part.Clearances) - 1; last >= 0 && part.Clearances[last].GetService() == c.Service && part.Clearances[last].GetVersion() == c.Version {
					part.Clearances[last].Identities = append(part.Clearances[last].Identities, id)
					return
				}
				part.Clearances = append(part.Clearances, &frontv1.CrashClearance{Service: c.Service, Version: c.Version, Identities: []string{id}})
			})
		}
	}
	for _, r := range m.Reports {
		for _, s := range r.Suspects {
			encoded := &frontv1.CrashSuspect{Identity: s.Identity, Requests: s.Requests[:min(len(s.Requests), maxSuspectHashes)], Informed: s.Informed}
			add(textBytes([]string{s.Identity, r.Service, r.Worker, r.Version})+4*len(encoded.GetRequests()), func() {
				if last := len(part.Reports) - 1; last >= 0 && part.Reports[last].GetWorker() == r.Worker && part.Reports[last].GetStartedAt() == r.StartedAt {
					part.Reports[last].Suspects = append(part.Reports[last].Suspects, encoded)
					return
				}
				part.Reports = append(part.Reports, &frontv1.CrashReport{
					Service: r.Service, Worker: r.Worker, StartedAt: r.StartedAt, Version: r.Version, Suspects: []*frontv1.CrashSuspect{encoded},
				})
			})
		}
	}
	return append(parts, part)
}

// textBytes returns about how many bytes texts take.
func textBytes(lists ...[]string) int {
	const overhead = 4
	n := 0
	for _, list := range lists {
		for _, text := range list {
			n += len(text) + overhead
		}
	}
	return n
}

func encodeQuarantineEntry(q kumquatlug.QuarantineEntry) *frontv1.QuarantineEntry {
	return &frontv1.QuarantineEntry{
		Service: q.Service, Identities: q.Identities, Crashes: q.Crashes[:min(len(q.Crashes), maxEntryTexts)], Versions: q.Versions, Served: q.Served, Tried: q.Tried,
		Probes: uint32(max(q.Probes, 0)), Released: q.Released, Revision: q.Revision,
	}
}

func handleQuarantine(d *frontv1.Datagram, h kumquatlug.GatewayHandler) {
	received := d.GetQuarantine()
	if received == nil {
		return
	}
	var m kumquatlug.QuarantineMessage
	for _, r := range received.GetReports() {
		report := kumquatlug.CrashReport{Service: r.GetService(), Worker: r.GetWorker(), StartedAt: r.GetStartedAt(), Version: r.GetVersion()}
		for _, s := range r.GetSuspects() {
			report.Suspects = append(report.Suspects, kumquatlug.CrashSuspect{Identity: s.GetIdentity(), Requests: s.GetRequests(), Informed: s.GetInformed()})
		}
		m.Reports = append(m.Reports, report)
	}
	for _, c := range received.GetClearances() {
		m.Clearances = append(m.Clearances, kumquatlug.CrashClearance{Service: c.GetService(), Version: c.GetVersion(), Identities: c.GetIdentities()})
	}
	for _, q := range received.GetEntries() {
		m.Entries = append(m.Entries, kumquatlug.QuarantineEntry{
			Service: q.GetService(), Identities: q.GetIdentities(), Crashes: q.GetCrashes(), Versions: q.GetVersions(), Served: q.GetServed(), Tried: q.GetTried(),
			Probes: int(q.GetProbes()), Released: q.GetReleased(), Revision: q.GetRevision(),
		})
	}
	h.QuarantineReceived(d.GetFrom(), m)
}
