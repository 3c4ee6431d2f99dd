package dial

import (
	"context"
	"errors"
	"net"
	"syscall"

	"amaranthvalve/pkg/reach"
)

// ResultOf classifies the error of a dial.
func ResultOf(err error) reach.Result {
	var ner net.Error
	switch {
	case err == nil:
		return reach.Connected
	case errors.Is(err, context.Canceled):
		return reach.Canceled
	case errors.Is(err, syscall.ECONNREFUSED):
		return reach.Refused
	case errors.As(err, &ner) && ner.Timeout():
		return reach.Unanswered
	}
	return reach.Unreachable
}
