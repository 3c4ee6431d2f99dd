package dial

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/pkg/reach"
)

func TestResultOf(t *testing.T) {
	gom := gomega.NewWithT(t)
	wrap := func(err error) error { return &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", err)} }
	for _, tst := range []struct {
		err  error
		want reach.Result
	}{
		{nil, reach.Connected},
		{wrap(syscall.ECONNREFUSED), reach.Refused},
		{wrap(syscall.ETIMEDOUT), reach.Unanswered},
		{&net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}, reach.Unanswered},
		{context.DeadlineExceeded, reach.Unanswered},
		{wrap(syscall.EHOSTUNREACH), reach.Unreachable},
		{wrap(syscall.ECONNRESET), reach.Unreachable},
		{&net.OpError{Op: "dial", Err: context.Canceled}, reach.Canceled},
		{errors.New("any other"), reach.Unreachable},
	} {
		gom.Expect(ResultOf(tst.err)).To(gomega.Equal(tst.want), "%v", tst.err)
	}
}
