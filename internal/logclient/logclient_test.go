package logclient

import (
	"context"
	"net"
	"net/url"
	"os"
	"syscall"
	"testing"

	"github.com/go-faster/errors"
)

// TestAppendError checks which errors prove that an append had no effect. All others
// must be reported as ErrUnknownEffect.
func TestAppendError(t *testing.T) {
	netError := func(op string, cause error) error {
		return &url.Error{Op: "Post", URL: "http://127.0.0.1:1", Err: &net.OpError{Op: op, Net: "tcp", Err: cause}}
	}
	tests := []struct {
		name string
		err  error
		want error
	}{
		{"connection refused", netError("dial", os.NewSyscallError("connect", syscall.ECONNREFUSED)), ErrUnavailable},
		{"reset while connecting", netError("dial", os.NewSyscallError("connect", syscall.ECONNRESET)), ErrUnavailable},
		{"timeout while connecting", netError("dial", os.ErrDeadlineExceeded), ErrUnavailable},
		{"reset while reading the reply", netError("read", os.NewSyscallError("read", syscall.ECONNRESET)), ErrUnknownEffect},
		{"failed while writing", netError("write", os.NewSyscallError("write", syscall.EPIPE)), ErrUnknownEffect},
		{"no reply in time", context.DeadlineExceeded, ErrUnknownEffect},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := appendError(tt.err); !errors.Is(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
