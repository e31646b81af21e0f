package slugdispatch

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// newTestStandby returns a standby with a preparation in progress, and the contexts of its
// silent attempt and of the preparation.
func newTestStandby(t *testing.T) (s *standby, silent, preparation context.Context) {
	t.Helper()
	silent, cancelSilent := context.WithCancelCause(t.Context())
	preparation, abandon := context.WithCancelCause(t.Context())
	timer := time.AfterFunc(time.Hour, func() {})
	t.Cleanup(func() { timer.Stop(); cancelSilent(nil); abandon(nil) })
	return &standby{ctx: t.Context(), attempt: &decodeAttempt{cancel: cancelSilent}, timer: timer, waiting: true, abandon: abandon}, silent, preparation
}

// TestBothAttemptsAreCanceled guards against a preparation that is abandoned for an event
// that was read after the silent attempt had been canceled.
func TestBothAttemptsAreCanceled(t *testing.T) {
	s, silent, preparation := newTestStandby(t)
	s.replace(t.Context(), s.events)
	assert.Assert(t, errors.Is(context.Cause(silent), errReplaced))
	assert.Assert(t, !s.Heard())
	assert.NilError(t, preparation.Err())
}
