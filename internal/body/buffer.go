package body

import "io"

// firstSize is the size in bytes of the first memory for a body. An announced length is not trusted beyond it, because a peer
// may announce much and send nothing.
const firstSize = 4 << 10

// Buffer holds one body. It must be used by one goroutine at a time.
type Buffer struct {
	reservation *Reservation
	data        []byte
}

// NewBuffer returns an empty buffer within the budget.
func (b *Budget) NewBuffer() *Buffer { return &Buffer{reservation: b.Reserve()} }

// Read reads a body to its end. length is the announced length in bytes, -1 if there is none, and limit the largest length that is
// accepted. Read returns an Error of KindTooLarge or KindNoMemory, or the error of r, and then holds nothing.
func (b *Buffer) Read(r io.Reader, length, limit int64) error {
	if length > limit {
		return &Error{Op: "read", Kind: KindTooLarge, Size: length, Limit: limit}
	}
	err := b.read(r, length, limit)
	if err != nil {
		b.Release()
	}
	return err
}

func (b *Buffer) read(r io.Reader, length, limit int64) error {
	// The buffer has room for one byte beyond the body, with which the end of the body is found without growing.
	size := min(firstSize, limit+1)
	if length >= 0 {
		size = min(size, length+1)
	}
	for {
		if err := b.grow(size); err != nil {
			return err
		}
		for len(b.data) < cap(b.data) {
			n, err := r.Read(b.data[len(b.data):cap(b.data)])
			b.data = b.data[:len(b.data)+n]
			if int64(len(b.data)) > limit {
				return &Error{Op: "read", Kind: KindTooLarge, Size: int64(len(b.data)), Limit: limit}
			}
			if err == io.EOF {
				return nil
			}
			if err != nil {
				return err
			}
		}
		size = min(2*size, limit+1)
		if length >= 0 {
			size = min(size, length+1)
		}
		if size <= int64(cap(b.data)) {
			// The body is longer than announced, which net/http does not let happen.
			size = min(int64(cap(b.data))+firstSize, limit+1)
		}
	}
}

// grow replaces the memory by a larger one. Both are reserved while the data is copied.
func (b *Buffer) grow(size int64) error {
	held := int64(cap(b.data))
	if err := b.reservation.resize(held+size, size); err != nil {
		return err
	}
	data := make([]byte, len(b.data), size)
	copy(data, b.data)
	b.data = data
	return b.reservation.Resize(size)
}

// Bytes returns the body, which is valid until Release.
func (b *Buffer) Bytes() []byte { return b.data }

// Release gives the memory back to the budget. The buffer is empty then.
func (b *Buffer) Release() {
	b.data = nil
	b.reservation.Release()
}
