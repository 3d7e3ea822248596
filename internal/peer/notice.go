package peer

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"

// HeaderNotice carries a notice of a request that was in hand at a crash: from
// an entry along with the request, from an agent along with its refusal or
// behind an answer that was cut.
const HeaderNotice = "Kumquatlug-Notice"

// NoticesFrom reads notices from their wire form; one that can't be read is
// left out, since its sender will repeat it.
func NoticesFrom(texts []string) []quarantine.Notice {
	notices := make([]quarantine.Notice, 0, len(texts))
	for _, text := range texts {
		var n quarantine.Notice
		if n.UnmarshalText([]byte(text)) == nil {
			notices = append(notices, n)
		}
	}
	return notices
}

// NoticesTo returns the wire form of notices.
func NoticesTo(notices []quarantine.Notice) []string {
	texts := make([]string, 0, len(notices))
	for _, n := range notices {
		if text, err := n.MarshalText(); err == nil {
			texts = append(texts, string(text))
		}
	}
	return texts
}
