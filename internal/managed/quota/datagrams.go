package quota

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/samber/oops"

	core "skylarkhinge.dev/skylarkhinge/core/quota"
)

const (
	// maxDatagramBytes keeps a message within one packet. Longer ones use HTTP.
	maxDatagramBytes = 1200
	// datagramWait is the part of a request's time, 1/datagramWait, after which its datagram
	// or the answer counts as lost and the request is repeated over HTTP. Lost messages would
	// otherwise look like a limiter that has failed.
	datagramWait = 2
	// maxDatagramRequests bounds the requests that are answered at a time. Others are dropped.
	maxDatagramRequests = 256
	// datagramServeTime bounds the time to answer a request. Its sender gives up before.
	datagramServeTime = 200 * time.Millisecond
)

// The kinds of datagrams. A datagram has the kind, the id of the request and a JSON body.
const (
	datagramRequest byte = 'Q'
	datagramAnswer  byte = 'A'
	// datagramFailure answers a request that could not be relayed.
	datagramFailure byte = 'F'

	datagramHeaderBytes = 9
)

var (
	errDatagramLost  = errors.New("no answer to a datagram")
	errTooLong       = errors.New("the message does not fit a datagram")
	errRelayedFailed = errors.New("the proxy to relay to does not answer")
)

// datagrams carries requests between proxies over UDP: most of them are about one
// organisation, and the headers of HTTP would be several times their size.
type datagrams struct {
	conn  *net.UDPConn
	serve func(context.Context, *core.Request) (core.Answer, bool)
	slots chan struct{}

	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]chan []byte
}

// listenDatagrams opens a UDP socket and answers requests until it is closed.
func listenDatagrams(address string, serve func(context.Context, *core.Request) (core.Answer, bool)) (*datagrams, error) {
	local, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, oops.With("step", "listen_datagrams", "peer", address).Wrap(err)
	}
	conn, err := net.ListenUDP("udp4", local)
	if err != nil {
		return nil, oops.With("step", "listen_datagrams", "peer", address).Wrap(err)
	}
	d := &datagrams{conn: conn, serve: serve, slots: make(chan struct{}, maxDatagramRequests), pending: map[uint64]chan []byte{}}
	go d.receive()
	return d, nil
}

func (d *datagrams) close() error { return d.conn.Close() }

func encodeDatagram(kind byte, id uint64, body any) ([]byte, error) {
	message := binary.BigEndian.AppendUint64([]byte{kind}, id)
	if body == nil {
		return message, nil
	}
	text, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	if message = append(message, text...); len(message) > maxDatagramBytes {
		return nil, errTooLong
	}
	return message, nil
}

// ask sends a request and waits for its answer. errTooLong and errDatagramLost mean that it
// may be repeated by other means.
func (d *datagrams) ask(ctx context.Context, address string, request *core.Request) (core.Answer, error) {
	remote, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return core.Answer{}, err
	}
	received := make(chan []byte, 1)
	d.mu.Lock()
	d.lastID++
	id := d.lastID
	d.pending[id] = received
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.pending, id)
	}()
	message, err := encodeDatagram(datagramRequest, id, encodeRequest(request))
	if err != nil {
		return core.Answer{}, err
	}
	if _, err := d.conn.WriteToUDP(message, remote); err != nil {
		return core.Answer{}, err
	}
	wait := time.Duration(0)
	if deadline, ok := ctx.Deadline(); ok {
		wait = time.Until(deadline) / datagramWait
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case answer := <-received:
		return decodeDatagramAnswer(answer)
	case <-timer.C:
		return core.Answer{}, errDatagramLost
	case <-ctx.Done():
		return core.Answer{}, ctx.Err()
	}
}

func decodeDatagramAnswer(message []byte) (core.Answer, error) {
	if message[0] == datagramFailure {
		return core.Answer{}, errRelayedFailed
	}
	var body answerBody
	if err := json.Unmarshal(message[datagramHeaderBytes:], &body); err != nil {
		return core.Answer{}, err
	}
	return body.decode(), nil
}

// receive passes datagrams on until the socket is closed. Malformed ones are dropped; their
// sender repeats the request over HTTP.
func (d *datagrams) receive() {
	buffer := make([]byte, maxDatagramBytes+1)
	for {
		n, from, err := d.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n < datagramHeaderBytes || n > maxDatagramBytes {
			continue
		}
		message := append([]byte(nil), buffer[:n]...)
		id := binary.BigEndian.Uint64(message[1:])
		if message[0] != datagramRequest {
			d.deliver(id, message)
			continue
		}
		select {
		case d.slots <- struct{}{}:
			go d.answer(id, message[datagramHeaderBytes:], from)
		default:
		}
	}
}

func (d *datagrams) deliver(id uint64, message []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if received, ok := d.pending[id]; ok {
		delete(d.pending, id)
		received <- message
	}
}

func (d *datagrams) answer(id uint64, text []byte, to *net.UDPAddr) {
	defer func() { <-d.slots }()
	var body requestBody
	if json.Unmarshal(text, &body) != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), datagramServeTime)
	defer cancel()
	request := body.decode()
	answer, ok := d.serve(ctx, &request)
	kind, answerText := datagramAnswer, any(encodeAnswer(&answer))
	if !ok {
		kind, answerText = datagramFailure, nil
	}
	message, err := encodeDatagram(kind, id, answerText)
	if err != nil {
		return
	}
	// A lost answer is noticed by the sender of the request.
	_, _ = d.conn.WriteToUDP(message, to)
}
