package timeline

import "go.uber.org/zap"

// ErrorField is the log field of an error: its text alone. The library's own
// field adds stack traces of some two kilobytes, each second in an outage.
func ErrorField(err error) zap.Field {
	return zap.String("error", err.Error())
}
