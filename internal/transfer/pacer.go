package transfer

import "time"

const (
	// responseShare is the share of the link that the bodies of large responses may
	// take together. The rest is left for short responses, requests and control
	// messages, and keeps the queue at the proxy, where short responses pass it,
	// instead of in the link.
	responseShare = 0.8
	// pieceTime is the time that one piece of a body takes on the link, which is how
	// long a short response waits behind it: little against targets of 80 ms and more.
	pieceTime = 6500 * time.Microsecond
	// minPieceBytes and maxPieceBytes bound a piece: below, the headers of packets and
	// the wake-ups cost more than the shorter wait is worth; above, it takes memory.
	minPieceBytes = 4 << 10
	maxPieceBytes = 64 << 10
	// maxCatchUp is how much of the time that was lost because a piece left late is made
	// up for. It bounds the pieces that leave at once to two.
	maxCatchUp = pieceTime
	// LargeResponseBytes is the length above which a response is paced and its link time
	// planned. Up to it, a response fits into the buffers of a connection.
	LargeResponseBytes = 16 << 10
)

// Pacer shares a link among the bodies of large responses. Each body asks for one piece
// at a time, and pieces leave in the order in which they were asked for. All bodies in
// progress so have equal shares, and one whose receiver does not read asks for none. It
// is not safe for concurrent use.
type Pacer struct {
	bytesPerSecond float64
	pieceBytes     int
	// freeAt is when the next piece may leave.
	freeAt  time.Time
	waiting []piece
}

// piece is the next piece of a body.
type piece struct {
	body  uint64
	bytes int
}

// NewPacer returns the pacer of a link with the given bandwidth in Mbit/s, nil if that
// is 0, which means unknown.
func NewPacer(linkMbps float64) *Pacer {
	if linkMbps <= 0 {
		return nil
	}
	link := linkMbps * 1e6 / 8
	return &Pacer{
		bytesPerSecond: responseShare * link,
		pieceBytes:     min(max(int(link*pieceTime.Seconds()), minPieceBytes), maxPieceBytes),
	}
}

// PieceBytes returns the maximum length of a piece.
func (p *Pacer) PieceBytes() int { return p.pieceBytes }

// Ask adds the next piece of a body, which must have no other one waiting.
func (p *Pacer) Ask(body uint64, bytes int) {
	p.waiting = append(p.waiting, piece{body: body, bytes: bytes})
}

// Withdraw removes the waiting piece of a body, if there is one.
func (p *Pacer) Withdraw(body uint64) {
	for i, w := range p.waiting {
		if w.body == body {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return
		}
	}
}

// Next returns the body whose piece may leave now and removes that piece. Otherwise it
// returns the time until one may leave, 0 if none waits.
func (p *Pacer) Next(now time.Time) (body uint64, wait time.Duration, ok bool) {
	if len(p.waiting) == 0 {
		return 0, 0, false
	}
	if wait := p.freeAt.Sub(now); wait > 0 {
		return 0, wait, false
	}
	first := p.waiting[0]
	p.waiting = p.waiting[1:]
	if earliest := now.Add(-maxCatchUp); p.freeAt.Before(earliest) {
		p.freeAt = earliest
	}
	p.freeAt = p.freeAt.Add(linkTime(int64(first.bytes), p.bytesPerSecond))
	return first.body, 0, true
}

func linkTime(bytes int64, bytesPerSecond float64) time.Duration {
	return time.Duration(float64(bytes) / bytesPerSecond * float64(time.Second))
}
