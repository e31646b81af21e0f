package slugpeer

import "net"

// Stream is a stream of bytes between two processes.
type Stream interface {
	net.Conn
	// CloseWrite ends the bytes that this process sends. The peer reads all of them.
	CloseWrite() error
	// Abort ends the stream so that the peer does not take what it has read for complete.
	Abort()
}
