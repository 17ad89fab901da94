package daemon

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
)

func TestRedactHookHidesKeys(t *testing.T) {
	const key = "bsk_abcdefghijklmnop-0123456789"
	var out bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&out)
	logger.AddHook(redactHook{})
	logger.WithField("model", key).WithError(errors.New("no model " + key)).Warn("refused " + key)
	if strings.Contains(out.String(), key) || strings.Count(out.String(), redacted) != 3 {
		t.Fatalf("key not redacted in all three places: %s", out.String())
	}
}
