package slugsocket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// stateEnded is the state of a socket whose peer has ended its direction, or both.
const stateEnded = unix.BPF_TCP_CLOSE_WAIT

// State is what the kernel has received on a connection, whether or not it was read.
type State struct {
	// Ended is set if the peer has ended its direction. It may still read.
	Ended bool
	// Closed is set if the connection was reset, or was closed on this side.
	Closed bool
	// DataAge is the least time since the last data arrived, and SegmentAge that since the last
	// segment, which includes acknowledgements and the end of a direction. Both may be up to two
	// maxTicks longer.
	DataAge, SegmentAge time.Duration
	// RoundTrip is the usual time until an acknowledgement arrives.
	RoundTrip time.Duration
	// Received is the number of bytes that have arrived so far, 0 if that is not known.
	Received int64
}

// Stateful is a connection that tells its own State, for tests without sockets. What was written has
// arrived as soon as Write has returned.
type Stateful interface{ State() (State, error) }

// unwrap returns the innermost connection.
func unwrap(c net.Conn) net.Conn {
	for {
		outer, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = outer.NetConn()
	}
}

// StateOf returns the State of a connection. It fails if the connection has none.
func StateOf(c net.Conn) (State, error) {
	switch c := unwrap(c).(type) {
	case Stateful:
		return c.State()
	case *net.TCPConn:
		info, err := tcpInfo(c)
		if err != nil {
			return State{}, err
		}
		return State{
			Ended: info.State == stateEnded, Closed: info.State == stateClosed,
			DataAge: age(info.Last_data_recv), SegmentAge: age(info.Last_ack_recv), RoundTrip: time.Duration(info.Rtt) * time.Microsecond,
			Received: int64(info.Bytes_received),
		}, nil
	}
	return State{}, syscall.ENOTSOCK
}

// maxTick is the longest time between two ticks of the kernel's clock, by which it counts ages.
const maxTick = 10 * time.Millisecond

// age returns the least age for one that the kernel states in milliseconds. What arrived right before
// a tick counts as one tick old right after it.
func age(n uint32) time.Duration { return max(0, time.Duration(n)*time.Millisecond-maxTick) }

// tcpInfo returns what the kernel tells of a connection.
func tcpInfo(c *net.TCPConn) (*unix.TCPInfo, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	var info *unix.TCPInfo
	var infoErr error
	if err := raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
		return nil, err
	}
	return info, infoErr
}

// Unread returns the number of bytes that have arrived and were not read.
func Unread(c net.Conn) (int, error) { return queued(c, unix.SIOCINQ) }

// Unacknowledged returns the number of bytes that were written and that the peer has not
// acknowledged.
func Unacknowledged(c net.Conn) (int, error) {
	if _, ok := unwrap(c).(Stateful); ok {
		return 0, nil
	}
	return queued(c, unix.SIOCOUTQ)
}

// queued returns the length of a queue of a socket.
func queued(c net.Conn, request uint) (n int, err error) {
	t, ok := unwrap(c).(*net.TCPConn)
	if !ok {
		return 0, syscall.ENOTSOCK
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return 0, err
	}
	if controlErr := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), request) }); controlErr != nil {
		return 0, controlErr
	}
	return n, err
}
