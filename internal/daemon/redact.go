package daemon

import (
	"regexp"

	"github.com/sirupsen/logrus"
)

// redacted is the replacement for callers' keys in logs.
const redacted = "bsk_REDACTED"

// keyPattern matches strings with the form of a caller's key.
var keyPattern = regexp.MustCompile(`bsk_[A-Za-z0-9_-]{8,}`)

// redactHook replaces callers' keys in log entries, in case a caller sent one in
// a field that is logged, such as the model name.
type redactHook struct{}

// Levels implements logrus.Hook.
func (redactHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (redactHook) Fire(entry *logrus.Entry) error {
	entry.Message = keyPattern.ReplaceAllString(entry.Message, redacted)
	for name, value := range entry.Data {
		switch v := value.(type) {
		case string:
			entry.Data[name] = keyPattern.ReplaceAllString(v, redacted)
		case error:
			entry.Data[name] = keyPattern.ReplaceAllString(v.Error(), redacted)
		}
	}
	return nil
}
