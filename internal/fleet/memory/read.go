package memory

import (
	"io"

	"github.com/cockroachdb/errors"
)

var (
	// ErrTooLarge means that there is more to read than allowed.
	ErrTooLarge = errors.New("memory: more bytes than allowed")
	// ErrNoRoom means that the bound has no room for what there is to read.
	ErrNoRoom = errors.New("memory: no room for the bytes")
)

// firstPiece is the room for what has no known length when it begins, in bytes.
const firstPiece = 16 << 10

// ReadAll reads to the end, at most limit bytes. Their room is taken from a reservation before they are read,
// and stays taken. A length below 0 is not known. After an error the room is given back.
func ReadAll(from io.Reader, r *Reservation, length, limit int64) ([]byte, error) {
	b := buffer{reserved: r}
	var err error
	switch {
	case length > limit:
		return nil, ErrTooLarge
	case length >= 0:
		err = b.readLength(from, int(length))
	default:
		err = b.readToEnd(from, int(limit))
	}
	if err != nil {
		r.Shrink(int64(cap(b.data)))
		return nil, err
	}
	return b.data, nil
}

// buffer keeps what was read.
type buffer struct {
	reserved *Reservation
	data     []byte // its capacity is taken from reserved
}

// grow makes the capacity of the buffer size bytes. Until the data is copied, both old and new room is taken.
func (b *buffer) grow(size int) error {
	if !b.reserved.Grow(int64(size)) {
		return ErrNoRoom
	}
	data := make([]byte, len(b.data), size)
	copy(data, b.data)
	b.reserved.Shrink(int64(cap(b.data)))
	b.data = data
	return nil
}

// readLength reads a known number of bytes.
func (b *buffer) readLength(r io.Reader, length int) error {
	if err := b.grow(length); err != nil {
		return err
	}
	b.data = b.data[:length]
	_, err := io.ReadFull(r, b.data)
	return err
}

// readToEnd reads until the end. It fails with ErrTooLarge after limit bytes.
func (b *buffer) readToEnd(r io.Reader, limit int) error {
	for {
		if len(b.data) == cap(b.data) {
			size := max(2*cap(b.data), firstPiece)
			if size >= limit {
				size = limit + 1
			}
			if err := b.grow(size); err != nil {
				return err
			}
		}
		n, err := r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		switch {
		case len(b.data) > limit:
			return ErrTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}
