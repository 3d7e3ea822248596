package timeline

import "go.uber.org/zap"

// ErrorField returns a log field with the text of err. zap.Error also logs stack
// traces of about two kilobytes, which in an outage are written every second.
func ErrorField(err error) zap.Field {
	return zap.String("error", err.Error())
}
