// Package slugfault gives errors the step and the peer at which they arose.
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

// Fault is an error with its origin.
type Fault struct {
	// Step says what was being done, in the imperative.
	Step string
	// Peer is the address or name of the other side, empty when there is none.
	Peer string
	// Err is the cause.
	Err error
}

// Error returns the step, the peer and the cause.
func (f *Fault) Error() string {
	if f.Peer == "" {
		return f.Step + ": " + f.Err.Error()
	}
	return f.Step + " (" + f.Peer + "): " + f.Err.Error()
}

// Unwrap returns the cause.
func (f *Fault) Unwrap() error { return f.Err }

// Wrap returns err with its step and peer, and nil for a nil err.
func Wrap(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	return &Fault{Step: step, Peer: peer, Err: err}
}

// New returns an error with a message, a step and a peer.
func New(step, peer, format string, args ...any) error {
	return &Fault{Step: step, Peer: peer, Err: errors.Newf(format, args...)}
}

// Find returns the outermost Fault in err's chain.
func Find(err error) (*Fault, bool) {
	var f *Fault
	ok := errors.As(err, &f)
	return f, ok
}
