package suspect

import (
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
)

type implicationMessage struct {
	_       struct{} `cbor:",toarray"`
	Part    uint64
	Request uint16
}

type crashMessage struct {
	_            struct{} `cbor:",toarray"`
	Server       uint32
	AgeMS        uint32
	Implications []implicationMessage
}

type clearanceMessage struct {
	_     struct{} `cbor:",toarray"`
	Part  uint64
	AgeMS uint32
}

type quarantineMessage struct {
	_           struct{} `cbor:",toarray"`
	Part        uint64
	RemainingMS uint32
	LastCrashMS uint32
	ProbeMS     uint32
	Times       uint8
}

type partReportMessage struct {
	_           struct{} `cbor:",toarray"`
	Crashes     []crashMessage
	Clearances  []clearanceMessage
	Quarantines []quarantineMessage
}

// EncodePartReport returns a report in CBOR form, and nil if there is nothing to report.
func EncodePartReport(report PartReport) ([]byte, error) {
	if len(report.Crashes)+len(report.Clearances)+len(report.Quarantines) == 0 {
		return nil, nil
	}
	var m partReportMessage
	for _, c := range report.Crashes {
		out := crashMessage{Server: uint32(c.Server), AgeMS: toMilliseconds(c.Age)}
		for _, i := range c.Implications {
			out.Implications = append(out.Implications, implicationMessage{Part: uint64(i.Part), Request: uint16(i.Request)})
		}
		m.Crashes = append(m.Crashes, out)
	}
	for _, c := range report.Clearances {
		m.Clearances = append(m.Clearances, clearanceMessage{Part: uint64(c.Part), AgeMS: toMilliseconds(c.Age)})
	}
	for _, c := range report.Quarantines {
		m.Quarantines = append(m.Quarantines, quarantineMessage{
			Part: uint64(c.Part), RemainingMS: toMilliseconds(c.Remaining), LastCrashMS: toMilliseconds(c.LastCrash), ProbeMS: toMilliseconds(c.Probe), Times: uint8(min(c.Times, 255)),
		})
	}
	return cbor.Marshal(m)
}

// DecodePartReport returns the report in CBOR form.
func DecodePartReport(data []byte) (PartReport, error) {
	var m partReportMessage
	if err := cbor.Unmarshal(data, &m); err != nil {
		return PartReport{}, &Error{Op: "decode", Kind: KindMessage, Err: err}
	}
	if len(m.Crashes) > maxReportedCrashes || len(m.Clearances) > maxReportedClearances || len(m.Quarantines) > maxReportedQuarantines {
		return PartReport{}, &Error{Op: "decode", Kind: KindMessage, Err: errors.New("report too long")}
	}
	var report PartReport
	for _, c := range m.Crashes {
		if len(c.Implications) > maxReportedImplications {
			return PartReport{}, &Error{Op: "decode", Kind: KindMessage, Err: errors.New("too many implications")}
		}
		out := CrashReport{Server: ServerKey(c.Server), Age: fromMilliseconds(c.AgeMS)}
		for _, i := range c.Implications {
			out.Implications = append(out.Implications, Implication{Part: Part(i.Part), Request: RequestTag(i.Request)})
		}
		report.Crashes = append(report.Crashes, out)
	}
	for _, c := range m.Clearances {
		report.Clearances = append(report.Clearances, Clearance{Part: Part(c.Part), Age: fromMilliseconds(c.AgeMS)})
	}
	for _, c := range m.Quarantines {
		report.Quarantines = append(report.Quarantines, QuarantineReport{
			Part: Part(c.Part), Remaining: fromMilliseconds(c.RemainingMS), LastCrash: fromMilliseconds(c.LastCrashMS), Probe: fromMilliseconds(c.ProbeMS), Times: int(c.Times),
		})
	}
	return report, nil
}

// toMilliseconds returns a duration in milliseconds, within the range of the message.
func toMilliseconds(d time.Duration) uint32 { return uint32(min(max(d.Milliseconds(), 0), 1<<32-1)) }

func fromMilliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
