// Package signals receives the signals that stop a process, tell it that its settings have
// changed, or report that the reader of its output has exited.
//
// The default action of each of them ends the process at once, with all requests in flight.
// They are therefore received from the first statement of main until the exit: none is given
// back to its default action, since signals repeat while a process shuts down.
package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Receiver receives the signals of a process. Create one with [Receive].
type Receiver struct {
	ctx     context.Context
	stop    context.CancelFunc
	hangups chan os.Signal
}

// Receive begins to receive SIGINT, SIGTERM and SIGHUP. A process calls it once, as the first
// statement of main. A SIGHUP that the parent process ignores stays ignored.
func Receive() *Receiver {
	r := &Receiver{hangups: make(chan os.Signal, 1)}
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, os.Interrupt, syscall.SIGTERM)
	if !signal.Ignored(syscall.SIGHUP) {
		signal.Notify(r.hangups, syscall.SIGHUP)
	}
	r.ctx, r.stop = context.WithCancel(context.Background())
	go func() {
		<-stops
		r.stop()
	}()
	return r
}

// Context ends with the first SIGINT or SIGTERM. Further ones have no effect.
func (r *Receiver) Context() context.Context { return r.ctx }

// Hangups delivers SIGHUP. Several that come before one is received count as one.
func (r *Receiver) Hangups() <-chan os.Signal { return r.hangups }

// StopOnHangup makes SIGHUP end the context, as SIGTERM does. It is for commands that belong
// to a terminal, which sends SIGHUP when it is closed.
func (r *Receiver) StopOnHangup() {
	go func() {
		<-r.hangups
		r.stop()
	}()
}

// IgnoreBrokenPipe makes writes to a standard output or standard error whose reader has exited
// fail instead of ending the process by SIGPIPE. It is for processes that serve requests: they
// outlive the reader of their log.
func IgnoreBrokenPipe() { signal.Ignore(syscall.SIGPIPE) }
