// Package slugfault annotates errors with the step that failed and the peer involved.
//
// # Usage
//
//	if err != nil {
//		return slugfault.Wrap(err, "renew lease", "platform 127.0.0.1:7000")
//	}
//	...
//	if f, ok := slugfault.Find(err); ok {
//		log.WithField("peer", f.Peer)
//	}
package slugfault

import "github.com/cockroachdb/errors"

// Fault is an error with the step and the peer at which it occurred.
type Fault struct {
	// Step is the failed operation, as an imperative such as "renew lease".
	Step string
	// Peer is the address or name of the remote side; it may be empty.
	Peer string
	// Err is the cause.
	Err error
}

// Error returns the step, the peer if there is one, and the message of the cause.
func (f *Fault) Error() string {
	if f.Peer == "" {
		return f.Step + ": " + f.Err.Error()
	}
	return f.Step + " (" + f.Peer + "): " + f.Err.Error()
}

// Unwrap returns the cause.
func (f *Fault) Unwrap() error { return f.Err }

// Wrap annotates err with a step and a peer. It returns nil if err is nil.
func Wrap(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	return &Fault{Step: step, Peer: peer, Err: err}
}

// New returns a new error with a formatted message, annotated with a step and a peer.
func New(step, peer, format string, args ...any) error {
	return &Fault{Step: step, Peer: peer, Err: errors.Newf(format, args...)}
}

// Find returns the outermost Fault in err's chain.
func Find(err error) (*Fault, bool) {
	var f *Fault
	ok := errors.As(err, &f)
	return f, ok
}
