package peer

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"

// HeaderNotice carries the crash notice of a request that was in flight at a crash:
// from a gateway with the request, from an agent with a refusal or in the trailer of
// an incomplete response.
const HeaderNotice = "Kumquatlug-Notice"

// DecodeNotices decodes notices from their wire form. Notices that can't be decoded
// are omitted, since their sender repeats them.
func DecodeNotices(texts []string) []quarantine.Notice {
	notices := make([]quarantine.Notice, 0, len(texts))
	for _, text := range texts {
		var n quarantine.Notice
		if n.UnmarshalText([]byte(text)) == nil {
			notices = append(notices, n)
		}
	}
	return notices
}

// EncodeNotices encodes notices to their wire form.
func EncodeNotices(notices []quarantine.Notice) []string {
	texts := make([]string, 0, len(notices))
	for _, n := range notices {
		if text, err := n.MarshalText(); err == nil {
			texts = append(texts, string(text))
		}
	}
	return texts
}
