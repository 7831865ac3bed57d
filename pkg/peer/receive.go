package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/zinnialadder/zinnialadder/internal/peerpb"
	"github.com/zinnialadder/zinnialadder/pkg/holding"
)

const (
	// callMemoryFraction is the fraction of the memory limit of the process that calls of peers
	// may take beyond callReserve each, and that limits the number of their streams, which
	// take streamMemory each.
	callMemoryFraction = 0.125
	callReserve        = 16 << 10
	streamMemory       = 16 << 10
	// callCopies is how often the bytes of a call are in memory while it is decoded.
	callCopies = 2
	// fieldMemory is an upper estimate of the memory that a field of a call takes beside its bytes,
	// once it is decoded and copied for the store.
	fieldMemory = 192
	// callPeerShare is the share of the memory for calls that one peer may have while others
	// hold or request some of it.
	callPeerShare = 0.5
	// receiveTimeout limits the time for receiving a call. Its caller gives up sooner.
	receiveTimeout = 10 * time.Second
	// receiveChunk is the first size, in bytes, of the buffer for a call, which grows as the call
	// arrives.
	receiveChunk = 4 << 10
)

var (
	errTooLarge  = errors.New("peer: call exceeds its limit")
	errTooMany   = errors.New("peer: too many streams")
	errMalformed = errors.New("peer: malformed call")
)

// receiver receives calls of peers and limits the memory that they take. Its peers may be any
// clients that reach the address.
type receiver struct {
	budget     *holding.Budget[netip.Addr] // by the peer's address; nil for no limit
	maxStreams int64
	streams    atomic.Int64
}

func newReceiver(memoryLimit int64) *receiver {
	if memoryLimit == 0 {
		return &receiver{}
	}
	fraction := int64(callMemoryFraction * float64(memoryLimit))
	return &receiver{maxStreams: fraction / streamMemory, budget: holding.New[netip.Addr](holding.Config{Limit: fraction, Reserve: callReserve, CustomerShare: callPeerShare})}
}

// receive reads the call of a stream into call. The caller calls release when the call has been
// answered, also after an error.
func (r *receiver) receive(stream net.Conn, call *peerpb.StoreCall) (release func(), err error) {
	streams := r.streams.Add(1)
	var hold *holding.Hold[netip.Addr]
	release = func() {
		hold.Release()
		r.streams.Add(-1)
	}
	if r.budget != nil {
		if streams > r.maxStreams {
			return release, errTooMany
		}
		if hold, err = r.budget.Hold(peerIP(stream), 0, 0, time.Now()); err != nil {
			return release, err
		}
		if err = hold.MarkSent(); err != nil { // memory that is in use cannot be given to another call
			return release, err
		}
	}
	if err = stream.SetReadDeadline(time.Now().Add(receiveTimeout)); err != nil {
		return release, err
	}
	b, err := readDelimited(newByteReader(stream), hold)
	if err != nil {
		return release, err
	}
	fields, err := countFields(b, call.ProtoReflect().Descriptor())
	if err != nil {
		return release, err
	}
	if err = hold.TryGrow(int64(fields) * fieldMemory); err != nil {
		return release, err
	}
	if err = proto.Unmarshal(b, call); err != nil {
		return release, fmt.Errorf("%w: %w", errMalformed, err)
	}
	return release, stream.SetReadDeadline(time.Time{})
}

// limitError returns err, an error of receive, if the caller has exceeded a limit. Otherwise it
// returns nil: the caller has closed the stream, or the session has ended.
func limitError(err error) error {
	for _, exceeded := range []error{errTooLarge, errTooMany, errMalformed, holding.ErrNoRoom, yamux.ErrTimeout} {
		if errors.Is(err, exceeded) {
			return err
		}
	}
	return nil
}

// readDelimited reads a message with its length before it. The bytes of the message, and of the
// copy that is made of them, are part of hold.
func readDelimited(r *byteReader, hold *holding.Hold[netip.Addr]) ([]byte, error) {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, err
	}
	if size > maxMessage {
		return nil, fmt.Errorf("%w: %d bytes, want at most %d", errTooLarge, size, maxMessage)
	}
	var b []byte
	for uint64(len(b)) < size {
		more := min(int(size)-len(b), max(len(b), receiveChunk))
		if err := hold.TryGrow(int64(callCopies * more)); err != nil {
			return nil, err
		}
		grown := make([]byte, len(b)+more)
		copy(grown, b)
		if _, err := io.ReadFull(r, grown[len(b):]); err != nil {
			return nil, err
		}
		b = grown
	}
	return b, nil
}

// countFields returns the number of fields in b, an encoded message, and in the messages that it
// contains.
func countFields(b []byte, message protoreflect.MessageDescriptor) (int, error) {
	count := 0
	for len(b) > 0 {
		number, wireType, n := protowire.ConsumeTag(b)
		if n < 0 {
			return 0, fmt.Errorf("%w: %w", errMalformed, protowire.ParseError(n))
		}
		b = b[n:]
		if n = protowire.ConsumeFieldValue(number, wireType, b); n < 0 {
			return 0, fmt.Errorf("%w: %w", errMalformed, protowire.ParseError(n))
		}
		count++
		if field := message.Fields().ByNumber(number); field != nil && field.Message() != nil && wireType == protowire.BytesType {
			value, _ := protowire.ConsumeBytes(b)
			inner, err := countFields(value, field.Message())
			if err != nil {
				return 0, err
			}
			count += inner
		}
		b = b[n:]
	}
	return count, nil
}

// peerIP returns the address of the peer of a stream.
func peerIP(stream net.Conn) netip.Addr {
	if a, ok := stream.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr()
	}
	return netip.Addr{}
}
