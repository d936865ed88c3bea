package booking

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/google/uuid"

	"berylward.example/berylward/pkg/answer"
)

// Ticket is the right to run one call once at one incarnation of one worker.
type Ticket struct {
	Service string
	// Worker and Incarnation identify the issuer, the only one that runs the call.
	Worker      string
	Incarnation uuid.UUID
	// Sequence counts the issuer's tickets, from 1.
	Sequence uint64
	// Issued and Expires are read from the issuer's clock, in whole milliseconds.
	Issued, Expires time.Time
	// Token is the encoded and authenticated ticket that callers send.
	Token string
}

// Issue returns a new ticket. Any worker in service may issue one, regardless of the keys that it owns.
func (t *Table) Issue(now time.Time, service string) (Ticket, error) {
	if service != t.cfg.Service || len(t.opt.ticketKey) == 0 {
		return Ticket{}, &Error{Op: "issue", Kind: KindService}
	}
	if !t.inService() {
		return Ticket{}, &Error{Op: "issue", Kind: KindNotServing}
	}
	t.lastTicket++
	issued := now.Truncate(time.Millisecond)
	ticket := Ticket{
		Service: service, Worker: t.cfg.Worker, Incarnation: t.cfg.Incarnation, Sequence: t.lastTicket,
		Issued: issued, Expires: issued.Add(min(t.opt.ticketLife, t.opt.keyLifetime)),
	}
	var err error
	ticket.Token, err = encodeTicket(ticket, t.opt.ticketKey)
	return ticket, err
}

func (t *Table) inService() bool {
	self, ok := t.current.ownership.worker(t.cfg.Worker)
	return ok && self.InService && !self.Lost && !t.stopping
}

// offerTicket decides whether a call with a ticket may run. A ticket needs no seals: only the incarnation that issued
// it runs it, and that incarnation holds its entry.
func (t *Table) offerTicket(now time.Time, c Call) Decision {
	mac, payload, err := splitTicket(c.Ticket)
	if err != nil {
		return t.reject(answer.ReasonBadRequest, 0)
	}
	// Verify the MAC before decoding the payload.
	if len(t.opt.ticketKey) == 0 || !hmac.Equal(mac, sign(payload, t.opt.ticketKey)) {
		return t.reject(answer.ReasonUnauthorized, 0)
	}
	ticket, err := decodeTicket(payload)
	switch {
	case err != nil:
		return t.reject(answer.ReasonBadRequest, 0)
	case ticket.Service != t.cfg.Service || ticket.Worker != t.cfg.Worker:
		return t.reject(answer.ReasonNotServed, 0)
	case ticket.Incarnation != t.cfg.Incarnation:
		// An earlier incarnation of this worker issued the ticket and may have run it.
		return Unknown{answer.ReasonOwnerUnsure}
	}
	// Caller keys cannot contain control characters, so ticket entries never collide with keys.
	name := string(binary.BigEndian.AppendUint64([]byte("\x01ticket"), ticket.Sequence))
	if e, ok := t.lookup(now, name); ok {
		return t.decideRepeat(name, e, c)
	}
	if now.After(ticket.Expires) {
		if now.After(ticket.Issued.Add(t.opt.keyLifetime)) || t.mayHaveExpired(ticket.Issued) {
			return Unknown{answer.ReasonKeyTooOld}
		}
		// An entry is held for a key lifetime from its run, so a run of this ticket would still be known.
		return t.reject(answer.ReasonKeyTooOld, 0)
	}
	if !t.inService() {
		return t.reject(answer.ReasonDraining, 0)
	}
	return t.startRun(now, name, &entry{
		// A ticket that outlived its entry could run twice.
		state: stateRunning, fingerprint: c.Fingerprint, ticket: true, expiresAt: ticket.Expires.Add(time.Second),
	})
}

func sign(payload, key []byte) []byte {
	m := hmac.New(sha256.New, key)
	m.Write([]byte("berylward ticket v1\x00"))
	m.Write(payload)
	return m.Sum(nil)
}
