package load

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"berylward.example/berylward/internal/demo"
	"berylward.example/berylward/pkg/site"
)

// Phase describes the service in one phase of a zone change.
type Phase struct {
	Name string `json:"name"`
	Counts
	ShortFirstToken Quantiles `json:"short-first-token-ms"`
	// Bookings counts the booking calls of this phase by outcome.
	Bookings Bookings `json:"bookings"`
}

// Bookings holds the number of booking calls by outcome.
type Bookings struct {
	Sent    int `json:"sent"`
	Done    int `json:"done"`
	NotRun  int `json:"not-run"`
	Unknown int `json:"unknown"`
}

// ZoneRun is the result of one zone change. Duplicates is the number of idempotency keys that ran more than once.
type ZoneRun struct {
	Seed       uint64  `json:"seed"`
	Phases     []Phase `json:"phases"`
	Duplicates int     `json:"duplicated-bookings"`
	// Lost is the number of bookings that were confirmed but did not run.
	Lost int `json:"lost-bookings"`
}

// ZoneReport describes the service while a zone is taken out and returned.
type ZoneReport struct {
	Load float64   `json:"load"`
	Runs []ZoneRun `json:"runs"`
}

const (
	bookingsPerSecond = 5
	bookingTimeout    = 10 * time.Second
	// bookingKey is the API key of a workspace that may make bookings.
	bookingKey = "cuenca-counter-centro-key"
)

// booking is one booking call and its outcome.
type booking struct {
	at      time.Duration
	key     string
	outcome string
}

func (o Options) zone(ctx context.Context) (Report, error) {
	shortLimit, err := o.shortLimit()
	if err != nil {
		return nil, err
	}
	report := &ZoneReport{Load: o.Loads[0]}
	f := o.Fleet
	f.KeepServices, f.ColdStart = true, true
	for _, seed := range o.Seeds {
		// The first quarter of the run warms the engines up. The other phases have the same length.
		arrivals := generateArrivals(seed, o.Mix, f.Rate(o.Mix, o.Loads[0]), o.Duration)
		phaseLength := o.Duration / 4
		run := ZoneRun{Seed: seed}
		err := f.withFleet(ctx, DefaultPolicy, func(fleet *demo.Fleet, d *driver) error {
			results, bookings, err := o.changeZone(ctx, fleet, d, arrivals, phaseLength)
			if err != nil {
				return err
			}
			run.Phases = summarizePhases(results, bookings, phaseLength, shortLimit)
			runs := map[string]int{}
			for _, s := range fleet.Services {
				for key, n := range s.Runs() {
					runs[key] += n
				}
			}
			for _, b := range bookings {
				if runs[b.key] > 1 {
					run.Duplicates++
				}
				if b.outcome == "done" && runs[b.key] == 0 {
					run.Lost++
				}
			}
			return nil
		})
		if err != nil {
			return nil, err
		}
		report.Runs = append(report.Runs, run)
		for _, p := range run.Phases {
			o.Progress(fmt.Sprintf("seed %d %-7s served %d of %d, missed %d, refused %d, short first token p99 %.0f ms, bookings %+v",
				seed, p.Name, p.Done, p.Sent, p.Missed, p.Refused, p.ShortFirstToken.P99, p.Bookings))
		}
	}
	return report, nil
}

// changeZone sends the load, takes one zone out after two phases and returns it after three.
func (o Options) changeZone(ctx context.Context, fleet *demo.Fleet, d *driver, arrivals []Arrival, phaseLength time.Duration) ([]Result, []booking, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var results []Result
	var bookings []booking
	var pending sync.WaitGroup
	pending.Go(func() { results = d.Run(ctx, arrivals) })
	pending.Go(func() { bookings = d.sendBookings(ctx, 4*phaseLength) })
	var publishErr error
	for _, outOfService := range []bool{true, false} {
		wait := phaseLength
		if outOfService {
			wait = 2 * phaseLength
		}
		select {
		case <-d.clock.After(wait):
			if publishErr = fleet.Publish(setFirstZoneOut(fleet.Declarations(), outOfService)); publishErr != nil {
				cancel()
			}
		case <-ctx.Done():
		}
	}
	pending.Wait()
	return results, bookings, publishErr
}

// setFirstZoneOut returns declarations in which the first zone by name is out of service, or in service when
// outOfService is false.
func setFirstZoneOut(d *site.Declarations, outOfService bool) *site.Declarations {
	next := *d
	next.Zones = maps.Clone(d.Zones)
	firstZone := ""
	for name := range next.Zones {
		if firstZone == "" || name < firstZone {
			firstZone = name
		}
	}
	zone := next.Zones[firstZone]
	zone.Out = outOfService
	next.Zones[firstZone] = zone
	return &next
}

func summarizePhases(results []Result, bookings []booking, phaseLength time.Duration, shortLimit int64) []Phase {
	phases := []Phase{{Name: "warm-up"}, {Name: "before"}, {Name: "during"}, {Name: "after"}}
	shortFirst := make([]histogram, len(phases))
	for i := range shortFirst {
		shortFirst[i] = newHistogram()
	}
	phaseIndex := func(d time.Duration) int { return min(int(d/phaseLength), len(phases)-1) }
	for _, r := range results {
		i := phaseIndex(r.Due)
		class := r.outcomeClass()
		phases[i].add(class)
		if class == outcomeDone && r.Tokens <= shortLimit {
			shortFirst[i].AddTime(r.FirstToken)
		}
	}
	for _, b := range bookings {
		counts := &phases[phaseIndex(b.at)].Bookings
		counts.Sent++
		switch b.outcome {
		case "done":
			counts.Done++
		case "not-run":
			counts.NotRun++
		default:
			counts.Unknown++
		}
	}
	for i := range phases {
		phases[i].ShortFirstToken = shortFirst[i].Quantiles()
	}
	return phases
}

// sendBookings sends bookings at a steady rate, each with a unique idempotency key.
func (d *driver) sendBookings(ctx context.Context, duration time.Duration) []booking {
	n := int(duration.Seconds() * bookingsPerSecond)
	bookings := make([]booking, n)
	start := d.clock.Now()
	var pending sync.WaitGroup
	for i := range bookings {
		at := time.Duration(i) * time.Second / bookingsPerSecond
		select {
		case <-d.clock.After(start.Add(at).Sub(d.clock.Now())):
		case <-ctx.Done():
		}
		pending.Go(func() {
			key := uuid.Must(uuid.NewV7()).String()
			bookings[i] = booking{at: at, key: key, outcome: d.sendBooking(ctx, d.Entries[i%len(d.Entries)], key)}
		})
	}
	pending.Wait()
	return bookings
}

// sendBooking sends one booking and returns the outcome that the entry reports, or "unknown" when it reports none.
func (d *driver) sendBooking(ctx context.Context, entry netip.AddrPort, key string) string {
	ctx, cancel := context.WithTimeout(ctx, 2*bookingTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.String()+"/v1/services/booking-desk/bookings",
		strings.NewReader(`{"room":7}`))
	if err != nil {
		return "unknown"
	}
	req.Header.Set("Authorization", "Bearer "+bookingKey)
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("Berylward-Timeout", bookingTimeout.String())
	resp, err := d.client.Do(req)
	if err != nil {
		return "unknown"
	}
	defer func() { _ = resp.Body.Close() }()
	if o := resp.Header.Get("Berylward-Outcome"); o != "" {
		return o
	}
	return "unknown"
}
