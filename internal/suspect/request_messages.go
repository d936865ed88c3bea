package suspect

import (
	"errors"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
)

type endMessage struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint Fingerprint
	Incarnation uuid.UUID
	Sequence    uint64
	AgeMS       uint32
	Probe       bool
}

type requestTimeMessage struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint Fingerprint
	MS          uint32
}

type requestReportMessage struct {
	_       struct{} `cbor:",toarray"`
	Ends    []endMessage
	Answers []requestTimeMessage
	Probes  []requestTimeMessage
}

// EncodeRequestReport returns a report in CBOR form, and nil if there is nothing to report.
func EncodeRequestReport(report RequestReport) ([]byte, error) {
	if len(report.Ends)+len(report.Answers)+len(report.Probes) == 0 {
		return nil, nil
	}
	var m requestReportMessage
	for _, e := range report.Ends {
		m.Ends = append(m.Ends, endMessage{
			Fingerprint: e.Fingerprint, Incarnation: e.Crash.Incarnation, Sequence: e.Crash.Sequence,
			AgeMS: toMilliseconds(e.Age), Probe: e.Probe,
		})
	}
	for _, a := range report.Answers {
		m.Answers = append(m.Answers, requestTimeMessage{Fingerprint: a.Fingerprint, MS: toMilliseconds(a.Age)})
	}
	for _, p := range report.Probes {
		m.Probes = append(m.Probes, requestTimeMessage{Fingerprint: p.Fingerprint, MS: toMilliseconds(p.Remaining)})
	}
	return cbor.Marshal(m)
}

// DecodeRequestReport returns the report in CBOR form.
func DecodeRequestReport(data []byte) (RequestReport, error) {
	var m requestReportMessage
	if err := cbor.Unmarshal(data, &m); err != nil {
		return RequestReport{}, &Error{Op: "decode", Kind: KindMessage, Err: err}
	}
	if len(m.Ends) > maxReportedEnds || len(m.Answers) > maxReportedAnswers || len(m.Probes) > maxReportedProbes {
		return RequestReport{}, &Error{Op: "decode", Kind: KindMessage, Err: errors.New("report too long")}
	}
	var report RequestReport
	for _, e := range m.Ends {
		report.Ends = append(report.Ends, EndReport{
			Crash: CrashID{Incarnation: e.Incarnation, Sequence: e.Sequence}, Age: fromMilliseconds(e.AgeMS),
			LostRequest: LostRequest{Fingerprint: e.Fingerprint, Probe: e.Probe},
		})
	}
	for _, a := range m.Answers {
		report.Answers = append(report.Answers, RequestAnswerReport{Fingerprint: a.Fingerprint, Age: fromMilliseconds(a.MS)})
	}
	for _, p := range m.Probes {
		report.Probes = append(report.Probes, RequestProbeReport{Fingerprint: p.Fingerprint, Remaining: fromMilliseconds(p.MS)})
	}
	return report, nil
}
