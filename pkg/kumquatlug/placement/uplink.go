package placement

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// Postpone sets when an attempt that has begun is sent to its worker, because its body
// waits for the gateway's link. The wait is not part of what the worker takes, and an
// attempt that was not sent is not overdue.
func (p *Placer) Postpone(sentAt kumquatlug.Millis, t *Attempt) { t.sentAt = sentAt }
